import type {Millis} from '../clock/index.js';

/** One line of a caller's book: what it sent and what it was told. */
export interface CallerEntry {
	/** Same for every copy of a request that its caller sent again. */
	readonly callId: string;
	/** Time since the start, in ms. */
	readonly sentAt: Millis;
	/** Time until the end of the answer, in ms. */
	readonly duration: Millis;
	readonly service: string;
	readonly isIdempotent: boolean;
	/** Whether a copy carries a key that is the same for all copies. */
	readonly hasKey: boolean;
	/** How long the caller waits, in ms. */
	readonly timeout: Millis;
	/** 0 when the connection broke. */
	readonly status: number;
	/** `answered`, `not-run`, `unknown`, or `broken` when the connection broke. */
	readonly outcome: string;
	readonly reason: string;
	readonly attempts: number;
	readonly revision: number;
	/** Call id that the answer carries; empty for none. */
	readonly answeredCallId: string;
	/** Whether the answer is as long as the backend server made it. */
	readonly isWhole: boolean;
}

/** One line of a backend server's book. */
export interface BackendEntry {
	readonly callId: string;
	/** Name of the backend server. */
	readonly backend: string;
	/** Time since the start, in ms. */
	readonly startedAt: Millis;
}

/** What one backend server reached at the most. */
export interface BackendPeak {
	readonly backend: string;
	readonly mostRunning: number;
	readonly slots: number;
}

/** A departure that was known from some time on. */
export interface Departure {
	readonly backend: string;
	/** Time since the start, in ms. */
	readonly knownAt: Millis;
	/** Time since the start at which it was started anew, in ms; undefined if it was not. */
	backAt: Millis | undefined;
}

/** The books of a run. */
export interface Books {
	readonly callers: readonly CallerEntry[];
	readonly backends: readonly BackendEntry[];
	readonly peaks: readonly BackendPeak[];
	readonly departures: readonly Departure[];
	/** Processes that ended on request, with their exit codes. */
	readonly stops: ReadonlyArray<{readonly name: string; readonly exitCode: number | undefined}>;
}
