import type {Millis} from '../clock/index.js';

/** Load of a backend server as known to its executor; sent with every answer. */
export interface LoadReport {
	/** Number of calls running at the backend server. */
	readonly inFlight: number;
	/** Number of calls waiting for a slot. */
	readonly queued: number;
	/** Maximum number of concurrent calls. */
	readonly slots: number;
	/** Recent service time of a call at the backend server, in ms. */
	readonly serviceTime: Millis;
	/** Share of recent calls that failed, from 0 to 1. */
	readonly failureShare: number;
	/** Current duration of work relative to its usual duration; 1 is usual. */
	readonly slowdown: number;
}
