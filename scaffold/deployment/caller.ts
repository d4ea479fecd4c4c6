import {Agent, request, type Dispatcher} from 'undici';

/** What a caller sends. */
export interface CallerRequest {
	/** IP:port of the node that is called. */
	readonly node: string;
	/** IP number from which the caller calls; undefined for any. */
	readonly from?: string;
	readonly service: string;
	readonly customer: string;
	readonly method?: string;
	readonly path?: string;
	readonly callId: string;
	readonly key?: string;
	/** How long the caller waits, in ms. */
	readonly timeout?: number;
	readonly body?: string | Buffer;
}

/** What a caller was told. */
export interface CallerAnswer {
	/** 0 when the connection broke. */
	readonly status: number;
	/** `answered`, `not-run`, `unknown`, or `broken` when the connection broke. */
	readonly outcome: string;
	readonly reason: string;
	readonly attempts: number;
	readonly revision: number;
	/** Backend server that answered. */
	readonly backend: string;
	readonly body: string;
	/** Time until the end of the answer, in ms. */
	readonly duration: number;
}

const agent = new Agent({connections: 256, pipelining: 1, headersTimeout: 0, bodyTimeout: 0});

function headerOf(headers: Dispatcher.ResponseData['headers'], name: string): string {
	return String(headers[name] ?? '');
}

/**
 * Sends a request as a caller would, over a kept connection.
 * @param call - what to send.
 * @returns what the caller was told.
 */
export async function sendCall(call: CallerRequest): Promise<CallerAnswer> {
	const startedAt = performance.now();
	const headers: Record<string, string> = {
		'turmeric-service': call.service,
		'turmeric-customer': call.customer,
		'x-call-id': call.callId,
	};
	if (call.key !== undefined) {
		headers['idempotency-key'] = call.key;
	}

	if (call.timeout !== undefined) {
		headers['turmeric-timeout-ms'] = String(call.timeout);
	}

	try {
		const res = await request(`http://${call.node}${call.path ?? '/'}`, {
			dispatcher: agent,
			method: call.method ?? 'GET',
			headers,
			body: call.body,
		});
		const body = await res.body.text();
		return {
			status: res.statusCode,
			outcome: headerOf(res.headers, 'turmeric-outcome'),
			reason: headerOf(res.headers, 'turmeric-reason'),
			attempts: Number(headerOf(res.headers, 'turmeric-attempts')),
			revision: Number(headerOf(res.headers, 'turmeric-revision')),
			backend: headerOf(res.headers, 'x-backend'),
			body,
			duration: performance.now() - startedAt,
		};
	} catch (err) {
		return {
			status: 0,
			outcome: 'broken',
			reason: String(err),
			attempts: 0,
			revision: 0,
			backend: '',
			body: '',
			duration: performance.now() - startedAt,
		};
	}
}
