import type {
	AttemptId,
	Deadline,
	HeaderList,
	LoadReport,
	RefusalReason,
	RequestHead,
} from '../call/index.js';
import type {Millis} from '../clock/index.js';
import type {Body} from './body.js';
import type {Cancellation} from './cancellation.js';

/** How an attempt ended. */
export enum AttemptEnd {
	/** The backend server answered. */
	Answered = 'answered',
	/** The backend server has certainly not run the attempt. */
	Refused = 'refused',
	/** The attempt may or may not have run. */
	Unknown = 'unknown',
}

/** One attempt to run a call on a backend server. */
export interface Attempt {
	readonly id: AttemptId;
	readonly head: RequestHead;
	/** Weight of the customer when calls of several customers compete for slots. */
	readonly share: number;
	readonly deadline: Deadline;
	/** Latency objective: an answer after this time is late, even though the caller still waits. */
	readonly objective: Deadline;
	/** Whether a busy executor may refuse the attempt instead of queueing it, for a retry elsewhere. */
	readonly canRetryElsewhere: boolean;
	readonly body: Body;
	/** Expected time for the transfer of a streamed body to the executor, in ms; undefined if there is none. */
	readonly transferTime?: Millis | undefined;
	readonly cancellation: Cancellation;
}

export interface AnsweredAttempt {
	readonly end: AttemptEnd.Answered;
	readonly status: number;
	readonly headers: HeaderList;
	readonly body: Body;
	readonly load: LoadReport | undefined;
}

export interface RefusedAttempt {
	readonly end: AttemptEnd.Refused;
	readonly reason: RefusalReason;
	readonly load: LoadReport | undefined;
}

export interface UnknownAttempt {
	readonly end: AttemptEnd.Unknown;
	readonly reason: RefusalReason;
}

export type AttemptResult = AnsweredAttempt | RefusedAttempt | UnknownAttempt;

/** Runs attempts on the local executor or, over a link, on a remote one. */
export interface AttemptRunner {
	/**
	 * @param attempt - the attempt to run.
	 * @returns the result of the attempt; never rejects.
	 */
	run(attempt: Attempt): Promise<AttemptResult>;
}

/**
 * @param reason - why the attempt did not run.
 * @param load - current load of the executor, if known.
 * @returns the result of an attempt that has certainly not run.
 */
export function createRefused(reason: RefusalReason, load?: LoadReport): RefusedAttempt {
	return {end: AttemptEnd.Refused, reason, load};
}

/**
 * @param reason - why the outcome is unknown.
 * @returns the result of an attempt that may have run.
 */
export function createUnknown(reason: RefusalReason): UnknownAttempt {
	return {end: AttemptEnd.Unknown, reason};
}
