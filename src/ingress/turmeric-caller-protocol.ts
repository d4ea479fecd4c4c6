import type {IncomingMessage} from 'node:http';
import {Outcome, RefusalReason, refusals, type HeaderList} from '../call/index.js';
import {second, type Millis} from '../clock/index.js';
import {isIdempotent, type CallPolicy, type DeclarationIndex} from '../declaration/index.js';
import type {Call, CallEnd} from '../exchange/index.js';
import {stripHeaders} from '../executor/index.js';
import {
	RefusedRequestError,
	type CallerProtocol,
	type CallParameters,
	type RefusalNotice,
} from './caller-protocol.js';
import {
	attemptsHeader,
	customerHeader,
	keyHeader,
	outcomeHeader,
	reasonHeader,
	requestIdHeader,
	revisionHeader,
	serviceHeader,
	timeoutHeader,
} from './response-headers.js';

const maxKeyLength = 255;

/** Turmeric's own caller protocol, in which headers name the service and the customer. */
export class TurmericCallerProtocol implements CallerProtocol {
	private requestCount = 0;

	constructor(private readonly instance: string) {}

	readParameters(req: IncomingMessage, index: DeclarationIndex): CallParameters {
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

		const key = readHeader(req, keyHeader);
		if (key !== undefined && (key === '' || key.length > maxKeyLength)) {
			throw new RefusedRequestError(RefusalReason.BadRequest);
		}

		const timeout = readTimeout(req, policy);
		this.requestCount += 1;
		const requestId = readHeader(req, requestIdHeader) ?? `${this.instance}.${this.requestCount}`;
		return {
			service,
			policy,
			isIdempotent: isIdempotent(policy, req.method ?? 'GET', req.url ?? '/'),
			key,
			origin: {requestId, caller: '', route: '', priority: 0},
			timeout,
			objective: timeout,
			elapsed: 0,
			headers: stripHeaders(req.rawHeaders),
		};
	}

	answerHeaders(call: Call, end: CallEnd): HeaderList {
		return [
			outcomeHeader,
			Outcome.Answered,
			attemptsHeader,
			String(end.attempts),
			revisionHeader,
			String(call.index.revision),
		];
	}

	refusalHeaders({reason, retryAfter}: RefusalNotice): HeaderList {
		const headers = [outcomeHeader, refusals[reason].outcome, reasonHeader, reason];
		if (retryAfter !== undefined) {
			headers.push('retry-after', String(Math.ceil(retryAfter / second)));
		}

		return headers;
	}

	// A refusal before the owner of an idempotency key was queried does not show whether an earlier
	// request with the same key has run.
	refineReason(req: IncomingMessage, reason: RefusalReason): RefusalReason {
		const hasKey = readHeader(req, keyHeader) !== undefined;
		return hasKey && reason !== RefusalReason.BadRequest ? RefusalReason.KeyNotChecked : reason;
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
	if (text === '' || !Number.isFinite(timeout)) {
		throw new RefusedRequestError(RefusalReason.BadRequest);
	}

	// A caller on a slow VM may send a request after its own deadline; the request is valid nevertheless.
	if (timeout <= 0) {
		throw new RefusedRequestError(RefusalReason.DeadlinePassed);
	}

	return Math.min(timeout, policy.maxDeadline);
}
