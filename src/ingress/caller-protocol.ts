import type {IncomingMessage} from 'node:http';
import type {HeaderList, RefusalReason, RequestOrigin} from '../call/index.js';
import type {Millis} from '../clock/index.js';
import type {CallPolicy, DeclarationIndex, ServicePolicy} from '../declaration/index.js';
import type {Call, CallEnd} from '../exchange/index.js';

/** What a request asks for, before its body is read. */
export interface CallParameters {
	readonly service: ServicePolicy;
	readonly policy: CallPolicy;
	readonly isIdempotent: boolean;
	/** The caller's idempotency key, if it sent one. */
	readonly key: string | undefined;
	readonly origin: RequestOrigin;
	/** How long the caller waits, in ms. */
	readonly timeout: Millis;
	/** How long an answer is in time, in ms. */
	readonly objective: Millis;
	/** Headers that go on to the backend server. */
	readonly headers: HeaderList;
}

/** A refusal as the caller is told of it. */
export interface RefusalNotice {
	readonly reason: RefusalReason;
	/** When to come back, in ms from now; undefined where sending again does not help. */
	readonly retryAfter: Millis | undefined;
}

/** What callers and the ingress tell each other in headers. */
export interface CallerProtocol {
	/**
	 * @param req - a request.
	 * @param index - the configuration in force.
	 * @returns what the request asks for.
	 * @throws {@link RefusedRequestError} when it cannot become a call.
	 */
	readParameters(req: IncomingMessage, index: DeclarationIndex): CallParameters;
	/** @returns headers that go with a backend server's answer. */
	answerHeaders(call: Call, end: CallEnd): HeaderList;
	/** @returns headers of a refusal. */
	refusalHeaders(notice: RefusalNotice): HeaderList;
	/** @returns why a request was refused, with what the caller may conclude from its own headers. */
	refineReason(req: IncomingMessage, reason: RefusalReason): RefusalReason;
}

/** A request that cannot become a call. */
export class RefusedRequestError extends Error {
	override name = 'RefusedRequestError';

	constructor(readonly reason: RefusalReason) {
		super(reason);
	}
}
