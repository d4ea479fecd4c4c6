import type {Millis} from '../clock/index.js';

/** Record of one request that a caller sent, and of the answer that it received. */
export interface CallerEntry {
	/** Shared by all copies of a request that the caller sent more than once. */
	readonly callId: string;
	/** Time since the start of the run, in ms. */
	readonly sentAt: Millis;
	/** Time from sending the request to the end of the answer, in ms. */
	readonly duration: Millis;
	readonly service: string;
	readonly isIdempotent: boolean;
	/** Whether the request carries an idempotency key, which all copies share. */
	readonly hasKey: boolean;
	/** Time that the caller waits for the answer, in ms. */
	readonly timeout: Millis;
	/** HTTP status; 0 if the connection broke. */
	readonly status: number;
	/** `answered`, `not-run`, `unknown`, or `broken` if the connection broke. */
	readonly outcome: string;
	readonly reason: string;
	readonly attempts: number;
	readonly revision: number;
	/** Call id in the body of the answer; empty if there is none. */
	readonly answeredCallId: string;
	/** Whether the body of the answer is complete, as the backend server sent it. */
	readonly isWhole: boolean;
}

/** Record of one call that a backend server ran. */
export interface BackendEntry {
	readonly callId: string;
	/** Name of the backend server. */
	readonly backend: string;
	/** Time since the start of the run, in ms. */
	readonly startedAt: Millis;
}

/** Highest concurrency of one backend server during a run. */
export interface BackendPeak {
	readonly backend: string;
	/** Highest number of calls that ran at the same time. */
	readonly mostRunning: number;
	/** Number of calls that the backend server may run at the same time. */
	readonly slots: number;
}

/** Departure of a backend server, from the time at which it became known. */
export interface Departure {
	readonly backend: string;
	/** Time since the start of the run, in ms. */
	readonly knownAt: Millis;
	/** Time since the start of the run at which it was restarted, in ms; undefined if it was not. */
	backAt: Millis | undefined;
}

/** The records of a run. */
export interface Books {
	readonly callers: readonly CallerEntry[];
	readonly backends: readonly BackendEntry[];
	readonly peaks: readonly BackendPeak[];
	readonly departures: readonly Departure[];
	/** Processes that were asked to stop, with their exit codes. */
	readonly stops: ReadonlyArray<{readonly name: string; readonly exitCode: number | undefined}>;
}
