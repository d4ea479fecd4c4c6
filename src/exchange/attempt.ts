import type {
	AttemptId,
	Deadline,
	HeaderList,
	LoadReport,
	RefusalReason,
	RequestHead,
} from '../call/index.js';
import type {Body} from './body.js';
import type {Cancellation} from './cancellation.js';

/** How an attempt ended. */
export enum AttemptEnd {
	/** The backend server answered. */
	Answered = 'answered',
	/** It is proved that the backend server did not run the attempt. */
	Refused = 'refused',
	/** The attempt may have run. */
	Unknown = 'unknown',
}

/** One attempt of a call, on its way to a backend server. */
export interface Attempt {
	readonly id: AttemptId;
	readonly head: RequestHead;
	/** Weight of the customer when calls compete for slots. */
	readonly share: number;
	readonly deadline: Deadline;
	/** When the answer is late, though its caller still waits. */
	readonly objective: Deadline;
	/** Whether the call would rather be refused than wait, as it can try elsewhere. */
	readonly canRetryElsewhere: boolean;
	readonly body: Body;
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

/** Runs attempts; here, or at the executor behind a link. */
export interface AttemptRunner {
	/**
	 * @param attempt - what to run.
	 * @returns how it ended; never rejects.
	 */
	run(attempt: Attempt): Promise<AttemptResult>;
}

/**
 * @param reason - why the attempt did not run.
 * @param load - fresh load of the executor, where known.
 * @returns a proof that the attempt did not run.
 */
export function createRefused(reason: RefusalReason, load?: LoadReport): RefusedAttempt {
	return {end: AttemptEnd.Refused, reason, load};
}

/**
 * @param reason - why nothing is known.
 * @returns the end of an attempt that may have run.
 */
export function createUnknown(reason: RefusalReason): UnknownAttempt {
	return {end: AttemptEnd.Unknown, reason};
}
