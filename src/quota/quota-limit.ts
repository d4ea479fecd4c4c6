import {second, type Millis} from '../clock/index.js';

/** Tolerance of the operators' count of a customer's requests over all nodes. */
export interface QuotaSettings {
	/** Length of the window in which requests are counted, in ms. */
	readonly window: Millis;
	/** Share by which the requests of a window may exceed the limit. */
	readonly overage: number;
	/** Requests by which those of a window may exceed the limit, in addition to the share. */
	readonly slack: number;
}

/** Limit of a customer over all nodes. */
export interface CustomerLimit {
	/** Requests per second. */
	readonly rate: number;
	/** Requests that may run at once in addition to the rate. */
	readonly burst: number;
}

export const defaultQuotaSettings: QuotaSettings = {window: 5 * second, overage: 0.1, slack: 20};

/**
 * Share of the tolerance that requests may use as an overdraft of the bucket. It keeps the random spread of arrivals
 * and of the nodes' decisions from refusing requests within the limit. The rest covers requests that run before the
 * news of a higher demand has arrived.
 */
const overdraftShare = 0.15;

/**
 * @param limit - limit of a customer.
 * @param settings - tolerance of the count.
 * @returns the requests by which a window may exceed the limit.
 */
export function toleranceOf(limit: CustomerLimit, settings: QuotaSettings): number {
	const allowed = (limit.rate * settings.window) / second + limit.burst;
	return allowed * settings.overage + settings.slack;
}

/**
 * @param limit - limit of a customer.
 * @param settings - tolerance of the count.
 * @returns the tokens that the customer's bucket may be overdrawn by.
 */
export function overdraftOf(limit: CustomerLimit, settings: QuotaSettings): number {
	return toleranceOf(limit, settings) * overdraftShare;
}
