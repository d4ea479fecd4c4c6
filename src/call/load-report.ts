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
	/** Calls per second that the backend server takes; undefined if it names no limit. */
	readonly rateLimit?: number | undefined;
	/** Time until another call can start under the rate limit, in ms; undefined if there is no limit. */
	readonly untilStart?: Millis | undefined;
	/**
	 * Free share of the slots of the service in the executor's availability zone for callers of other zones, from -1
	 * to 1; -1 while the zone has too little capacity for its own callers. Undefined if it is not known.
	 */
	readonly zoneRoom?: number | undefined;
	/** Number of the calls here that nodes of other availability zones have sent; undefined for none. */
	readonly otherZoneCalls?: number | undefined;
}
