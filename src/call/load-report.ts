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
	 * Bandwidth of the link of the executor's VM, in Mbit/s. Undefined if it is not known, or if no streamed
	 * body has arrived lately, so that reports stay short.
	 */
	readonly linkRate?: number | undefined;
	/** Figures on which calls of other availability zones are decided; undefined if these are not decided on. */
	readonly zone?: ZoneReport | undefined;
}

/** Load of an executor and of its service in its availability zone; all per slot. */
export interface ZoneReport {
	/**
	 * Free share of the zone's slots for callers of other zones, from -1 to 1; -1 while the zone has too little
	 * capacity for its own callers.
	 */
	readonly room: number;
	/** Recent mean of the calls that are running or queued at the executor. */
	readonly load: number;
	/** The part of `load` that nodes of other availability zones have sent. */
	readonly otherLoad: number;
	/** The same as `load` for all executors of the service in the zone. */
	readonly zoneLoad: number;
	/** The same as `otherLoad` for all executors of the service in the zone. */
	readonly zoneOtherLoad: number;
}
