import {createServer, type IncomingMessage, type Server, type ServerResponse} from 'node:http';
import type {Duplex} from 'node:stream';
import type {KeyedCalls} from '../claims/index.js';
import {
	Deadline,
	Outcome,
	RefusalReason,
	refusals,
	type HeaderList,
	type RequestHead,
} from '../call/index.js';
import {second, type Clock, type Millis} from '../clock/index.js';
import {isIdempotent, type CallPolicy, type DeclarationIndex} from '../declaration/index.js';
import {AttemptEnd, Cancellation, type AnsweredAttempt, type Body} from '../exchange/index.js';
import {stripHeaders} from '../executor/index.js';
import {logEvents, type Logger, type Metrics} from '../telemetry/index.js';
import {bound} from '../net/index.js';
import {withResolvers} from '../util/index.js';
import type {Call, CallEnd} from './call.js';
import {fingerprint} from './fingerprint.js';
import {readRequestBody, RequestBodyError} from './request-body.js';
import {
	attemptsHeader,
	customerHeader,
	keyHeader,
	outcomeHeader,
	reasonHeader,
	revisionHeader,
	serviceHeader,
	timeoutHeader,
} from './response-headers.js';

/** What an ingress is made of. */
export interface IngressParts {
	readonly clock: Clock;
	readonly metrics: Metrics;
	readonly logger: Logger;
	readonly keyedCalls: KeyedCalls;
	/** @returns the configuration in force; undefined while the node is not ready. */
	configuration(): DeclarationIndex | undefined;
	/** Runs a call without a key. */
	runCall(call: Call): Promise<CallEnd>;
}

/** A request that cannot become a call. */
class RefusedRequestError extends Error {
	override name = 'RefusedRequestError';

	constructor(readonly reason: RefusalReason) {
		super(reason);
	}
}

const maxHeaderBytes = 16_384;
const maxInFlight = 4000;
const headTimeout: Millis = 10 * second;
const requestTimeout: Millis = 60 * second;
const idleTimeout: Millis = 15 * second;
const maxKeyLength = 255;
/** Path that hands out an idempotency key of this node. */
const issuePath = '/turmeric/keys';

/** Takes callers' requests over HTTP and answers them. */
export class Ingress {
	private readonly server: Server;
	private readonly calls = new Set<ServerResponse>();
	private isDraining = false;

	constructor(private readonly parts: IngressParts) {
		this.server = createServer(
			{
				maxHeaderSize: maxHeaderBytes,
				headersTimeout: headTimeout,
				requestTimeout,
				keepAliveTimeout: idleTimeout,
				requireHostHeader: true,
				insecureHTTPParser: false,
				noDelay: true,
			},
			(req, res) => {
				void this.handle(req, res);
			},
		);
		this.server.on('checkContinue', (req: IncomingMessage, res: ServerResponse) => {
			res.writeContinue();
			void this.handle(req, res);
		});
		this.server.on('clientError', (err: NodeJS.ErrnoException, socket: Duplex) => {
			this.refuseBadRequest(err, socket);
		});
	}

	/** Calls that have not been answered. */
	get inFlight(): number {
		return this.calls.size;
	}

	/**
	 * @param address - IP number.
	 * @param port - TCP port.
	 */
	async listen(address: string, port: number): Promise<void> {
		await bound(this.server, (done) => {
			this.server.listen(port, address, done);
		});
	}

	/** Asks callers to go elsewhere: each connection ends with its next answer. */
	drain(): void {
		this.isDraining = true;
	}

	/** Takes no more connections. */
	close(): void {
		this.server.close();
		this.server.closeIdleConnections();
	}

	private async handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
		const startedAt = this.parts.clock.now();
		this.calls.add(res);
		this.parts.metrics.inFlight.set(this.calls.size);
		let outcome = Outcome.NotRun;
		try {
			outcome = await this.answer(req, res);
		} catch (err) {
			outcome = this.answerError(err, res);
		} finally {
			this.calls.delete(res);
			const {metrics, clock} = this.parts;
			metrics.inFlight.set(this.calls.size);
			metrics.calls.inc({outcome});
			metrics.duration.observe({outcome}, (clock.now() - startedAt) / second);
		}
	}

	private async answer(req: IncomingMessage, res: ServerResponse): Promise<Outcome> {
		if (this.calls.size > maxInFlight) {
			throw new RefusedRequestError(RefusalReason.TooManyCalls);
		}

		const index = this.parts.configuration();
		if (!index) {
			throw new RefusedRequestError(RefusalReason.NotReady);
		}

		if (req.url === issuePath && req.method === 'POST') {
			return this.issueKey(req, res);
		}

		const call = await this.createCall(req, res, index);
		const end = await this.run(call);
		return this.sendEnd(res, call, end);
	}

	private async run(call: Call): Promise<CallEnd> {
		const {key} = call.head;
		if (key === undefined || call.head.isIdempotent) {
			return this.parts.runCall(call);
		}

		return this.parts.keyedCalls.run(call, key);
	}

	private issueKey(req: IncomingMessage, res: ServerResponse): Outcome {
		req.resume();
		const key = this.parts.keyedCalls.issueKey();
		this.writeHead(res, 201, ['content-type', 'application/json']);
		res.end(`${JSON.stringify({key})}\n`);
		return Outcome.Answered;
	}

	private async createCall(
		req: IncomingMessage,
		res: ServerResponse,
		index: DeclarationIndex,
	): Promise<Call> {
		const startedAt = this.parts.clock.now();
		const serviceName = readService(req);
		const service = index.service(serviceName);
		if (!service) {
			throw new RefusedRequestError(RefusalReason.NoService);
		}

		const customer = readHeader(req, customerHeader) ?? '';
		const policy = index.call(serviceName, customer);
		if (!policy) {
			throw new RefusedRequestError(RefusalReason.UnknownCustomer);
		}

		const deadline = Deadline.in(startedAt, readTimeout(req, policy));
		const body = await readRequestBody(req);
		const head = this.createHead(req, policy, body);
		const cancellation = new Cancellation();
		// A call with a key goes on when its caller is lost, as the caller will send it again.
		if (head.key === undefined || head.isIdempotent) {
			res.once('close', () => {
				if (!res.writableFinished) {
					cancellation.cancel();
				}
			});
		}

		return {head, policy, service, index, deadline, body, cancellation};
	}

	private createHead(req: IncomingMessage, policy: CallPolicy, body: Body): RequestHead {
		const {service, customer} = policy;
		const method = req.method ?? 'GET';
		const path = req.url ?? '/';
		const key = readHeader(req, keyHeader);
		if (key !== undefined && (key === '' || key.length > maxKeyLength)) {
			throw new RefusedRequestError(RefusalReason.BadRequest);
		}

		return {
			service,
			customer,
			method,
			path,
			headers: stripHeaders(req.rawHeaders),
			isIdempotent: isIdempotent(policy, method, path),
			key,
			fingerprint: fingerprint({service, customer, method, path, key, body}),
		};
	}

	private async sendEnd(res: ServerResponse, call: Call, end: CallEnd): Promise<Outcome> {
		const {result} = end;
		const headers = [
			attemptsHeader,
			String(end.attempts),
			revisionHeader,
			String(call.index.revision),
		];
		if (result.end === AttemptEnd.Answered) {
			return this.sendAnswer(res, result, headers);
		}

		return this.sendRefusal(res, result.reason, headers);
	}

	private async sendAnswer(
		res: ServerResponse,
		result: AnsweredAttempt,
		extra: HeaderList,
	): Promise<Outcome> {
		const {body, status, headers} = result;
		this.writeHead(res, status, [...headers, outcomeHeader, Outcome.Answered, ...extra]);
		if (body.bytes) {
			res.end(body.bytes);
			return Outcome.Answered;
		}

		const {promise, resolve} = withResolvers<Outcome>();
		const {stream} = body;
		stream?.once('end', () => {
			addTrailers(res, body.trailers);
			res.end();
			resolve(Outcome.Answered);
		});
		stream?.once('error', () => {
			// The caller must see that the answer is not whole.
			res.destroy();
			resolve(Outcome.Unknown);
		});
		res.once('close', () => {
			if (!res.writableFinished) {
				stream?.destroy();
				resolve(Outcome.Unknown);
			}
		});
		stream?.pipe(res, {end: false});
		return promise;
	}

	private sendRefusal(res: ServerResponse, reason: RefusalReason, extra: HeaderList): Outcome {
		const refusal = refusals[reason];
		this.parts.metrics.refusals.inc({reason});
		const text = `${JSON.stringify({outcome: refusal.outcome, reason})}\n`;
		const headers = refusalHeaders(reason, text.length);
		this.writeHead(res, refusal.status, [...headers, ...extra]);
		res.end(text);
		return refusal.outcome;
	}

	private answerError(err: unknown, res: ServerResponse): Outcome {
		if (err instanceof RequestBodyError) {
			res.destroy();
			return Outcome.NotRun;
		}

		if (err instanceof RefusedRequestError && !res.headersSent) {
			// What is left of the request is not read: the connection ends with the refusal.
			res.shouldKeepAlive = res.req.complete;
			return this.sendRefusal(res, reasonFor(res.req, err.reason), []);
		}

		this.parts.logger.log(logEvents.unexpectedError, {error: String(err)});
		res.destroy();
		return Outcome.Unknown;
	}

	private refuseBadRequest(err: NodeJS.ErrnoException, socket: Duplex): void {
		if (err.code === 'ECONNRESET' || !socket.writable) {
			socket.destroy();
			return;
		}

		const reason = RefusalReason.BadRequest;
		this.parts.metrics.refusals.inc({reason});
		this.parts.metrics.calls.inc({outcome: Outcome.NotRun});
		const text = `${JSON.stringify({outcome: Outcome.NotRun, reason, detail: err.code})}\n`;
		const headers = refusalHeaders(reason, text.length);
		const lines: string[] = [];
		for (let i = 0; i < headers.length; i += 2) {
			lines.push(`${headers[i]}: ${headers[i + 1]}\r\n`);
		}

		socket.end(
			`HTTP/1.1 ${badRequestStatus(err)}\r\nConnection: close\r\n${lines.join('')}\r\n${text}`,
		);
	}

	private writeHead(res: ServerResponse, status: number, headers: HeaderList): void {
		if (this.isDraining) {
			res.shouldKeepAlive = false;
		}

		res.sendDate = !hasDate(headers);
		res.writeHead(status, headers);
	}
}

// With a key, a refusal before its home was asked says nothing of earlier copies.
function reasonFor(req: IncomingMessage, reason: RefusalReason): RefusalReason {
	const hasKey = readHeader(req, keyHeader) !== undefined;
	return hasKey && reason !== RefusalReason.BadRequest ? RefusalReason.KeyNotChecked : reason;
}

function badRequestStatus(err: NodeJS.ErrnoException): string {
	switch (err.code) {
		case 'HPE_HEADER_OVERFLOW': {
			return '431 Request Header Fields Too Large';
		}

		case 'ERR_HTTP_REQUEST_TIMEOUT': {
			return '408 Request Timeout';
		}

		default: {
			return '400 Bad Request';
		}
	}
}

function refusalHeaders(reason: RefusalReason, length: number): HeaderList {
	const {outcome, retryAfter} = refusals[reason];
	const headers = [
		'content-type',
		'application/json',
		'content-length',
		String(length),
		outcomeHeader,
		outcome,
		reasonHeader,
		reason,
	];
	if (retryAfter !== undefined) {
		headers.push('retry-after', String(Math.ceil(retryAfter / second)));
	}

	return headers;
}

function hasDate(headers: HeaderList): boolean {
	for (let i = 0; i < headers.length; i += 2) {
		if (headers[i]!.toLowerCase() === 'date') {
			return true;
		}
	}

	return false;
}

function addTrailers(res: ServerResponse, trailers: HeaderList): void {
	const pairs: Array<[string, string]> = [];
	for (let i = 0; i < trailers.length; i += 2) {
		pairs.push([trailers[i]!, trailers[i + 1]!]);
	}

	if (pairs.length > 0) {
		res.addTrailers(pairs);
	}
}

function readHeader(req: IncomingMessage, name: string): string | undefined {
	const value = req.headers[name];
	return typeof value === 'string' ? value : undefined;
}

function readService(req: IncomingMessage): string {
	const host = req.headers.host ?? '';
	return readHeader(req, serviceHeader) ?? host.split(/[.:]/v, 1)[0] ?? '';
}

function readTimeout(req: IncomingMessage, policy: CallPolicy): Millis {
	const text = readHeader(req, timeoutHeader);
	if (text === undefined) {
		return policy.deadline;
	}

	const timeout = Number(text);
	if (text === '' || !Number.isFinite(timeout) || timeout < 0) {
		throw new RefusedRequestError(RefusalReason.BadRequest);
	}

	return Math.min(timeout, policy.maxDeadline);
}
