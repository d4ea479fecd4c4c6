import type {Millis} from '../clock/index.js';

/** Decision on a request of a customer with a limit. */
export interface CallQuotaVerdict {
	readonly isAdmitted: boolean;
	/** When a refused request is expected to be admitted, in ms from now. */
	readonly wait: Millis;
}

/** Limits the requests of customers over all nodes. */
export interface CallQuota {
	/**
	 * Decides on a request once for all its attempts.
	 * @param customer - name of the customer; empty for none.
	 * @returns whether it may run; undefined if the customer has no limit.
	 */
	admit(customer: string): CallQuotaVerdict | Promise<CallQuotaVerdict> | undefined;
	/**
	 * Returns the token of an admitted request that has certainly not run.
	 * @param customer - name of the customer.
	 */
	giveBack(customer: string): void;
}
