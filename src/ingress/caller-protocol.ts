import type {IncomingMessage} from 'node:http';
import type {HeaderList, RefusalReason, RequestOrigin} from '../call/index.js';
import type {Millis} from '../clock/index.js';
import type {CallPolicy, DeclarationIndex, ServicePolicy} from '../declaration/index.js';
import type {Call, CallEnd} from '../exchange/index.js';

/** Parameters of a call, as read from the head of the request. */
export interface CallParameters {
	readonly service: ServicePolicy;
	readonly policy: CallPolicy;
	readonly isIdempotent: boolean;
	/** The caller's idempotency key, if it sent one. */
	readonly key: string | undefined;
	readonly origin: RequestOrigin;
	/** How long the caller waits for the answer, in ms. */
	readonly timeout: Millis;
	/** Latency objective in ms from the caller's first request; a later answer is late. */
	readonly objective: Millis;
	/** Time since the caller's first request, in ms; above 0 if the caller returns after a refusal. */
	readonly elapsed: Millis;
	/** Whether the request has a large body, which is forwarded while it arrives. */
	readonly isUpload?: boolean | undefined;
	/** Headers forwarded to the backend server. */
	readonly headers: HeaderList;
	/** Regions that the request may be sent to; undefined for any. */
	readonly allowedRegions?: readonly string[] | undefined;
}

/** A refusal as reported to the caller. */
export interface RefusalNotice {
	readonly reason: RefusalReason;
	/** When to send the request again, in ms from now; undefined where this does not help. */
	readonly retryAfter: Millis | undefined;
}

/** Reads and writes the headers exchanged between callers and the ingress. */
export interface CallerProtocol {
	/**
	 * @param req - a request.
	 * @param index - the configuration in force.
	 * @returns the parameters of the call.
	 * @throws {@link RefusedRequestError} when the request is invalid or not allowed.
	 */
	readParameters(req: IncomingMessage, index: DeclarationIndex): CallParameters;
	/** @returns headers added to the answer of a backend server. */
	answerHeaders(call: Call, end: CallEnd): HeaderList;
	/** @returns headers added to a refusal. */
	refusalHeaders(notice: RefusalNotice): HeaderList;
	/**
	 * @param req - a refused request.
	 * @param reason - why it was refused.
	 * @returns the reason to report, which depends on the request's own headers.
	 */
	refineReason(req: IncomingMessage, reason: RefusalReason): RefusalReason;
}

/** Thrown for a request that is refused before it becomes a call. */
export class RefusedRequestError extends Error {
	override name = 'RefusedRequestError';

	constructor(
		readonly reason: RefusalReason,
		/** When to send the request again, in ms from now; undefined for the usual time of the reason. */
		readonly retryAfter?: Millis,
	) {
		super(reason);
	}
}
