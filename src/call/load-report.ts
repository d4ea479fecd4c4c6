import type {Millis} from '../clock/index.js';

/** What an executor knows about its backend server; rides on every answer. */
export interface LoadReport {
	/** Calls that run at the backend server now. */
	readonly inFlight: number;
	/** Calls that wait for a slot. */
	readonly queued: number;
	/** Calls that may run at once. */
	readonly slots: number;
	/** Recent time that the backend server needs for a call, in ms. */
	readonly serviceTime: Millis;
	/** Share of recent calls that failed, from 0 to 1. */
	readonly failureShare: number;
	/** How many times longer than usual work takes at this moment; 1 is usual. */
	readonly slowdown: number;
}
