import type {Millis} from '../clock/index.js';

/** A call that competes with the calls of other customers. */
export interface SharedCall {
	/** Name of the customer; empty for calls without one. */
	readonly customer: string;
	/** Weight of the customer when several compete for slots. */
	readonly share: number;
	/** Expected run time, in ms. */
	readonly work: Millis;
}

/**
 * Run time by which a customer that has used less than its share goes ahead of the others; about eight calls. With two
 * calls, customers that sent no more than usual lost up to 2 % of their calls to the bursts of their own arrivals.
 */
const creditWork: Millis = 1600;
/** Lower bound of the run time that a start is charged with, as the work of a first call is not known. */
const minWork: Millis = 1;
/** Lower bound of a weight, which a peer may send as 0. */
const minShare = 1e-6;
/** Customers that are remembered; those that have used the least of their share are forgotten first. */
const maxAccounts = 512;

function costOf({share, work}: SharedCall): number {
	return Math.max(minWork, work) / Math.max(minShare, share);
}

/**
 * Weighted max-min shares of customers by virtual start times (start-time fair queueing): each start advances the tag of
 * its customer by the run time per weight, and the call with the lowest tag starts next. The virtual time is the highest
 * tag that has started, so that capacity that was idle is not made up for, and a customer that has used more than its
 * share while nobody else wanted it owes nothing.
 */
export class FairShares {
	private readonly tags = new Map<string, number>();
	private virtualTime = 0;

	/** Number of customers that are remembered. */
	get size(): number {
		return this.tags.size;
	}

	/**
	 * @param call - a call that has not started.
	 * @param ahead - calls of the same customer that start first.
	 * @returns the virtual time at which the call starts; calls with lower values start earlier.
	 */
	startTag(call: SharedCall, ahead = 0): number {
		const earliest = this.virtualTime - creditWork / Math.max(minShare, call.share);
		const tag = this.tags.get(call.customer);
		const start = tag === undefined ? earliest : Math.max(tag, earliest);
		return start + ahead * costOf(call);
	}

	/**
	 * @param call - a call that has not started.
	 * @returns whether its customer has used all of its share.
	 */
	hasUsedShare(call: SharedCall): boolean {
		return this.startTag(call) >= this.virtualTime;
	}

	/**
	 * @param call - a call that starts.
	 */
	recordStart(call: SharedCall): void {
		const start = this.startTag(call);
		this.virtualTime = Math.max(this.virtualTime, start);
		this.tags.set(call.customer, start + costOf(call));
		if (this.tags.size > maxAccounts) {
			this.removeLowest();
		}
	}

	/**
	 * @param call - a call that has not started.
	 * @param count - number of calls of its customer.
	 * @param tag - virtual start time of a call of another customer.
	 * @returns how many of them start ahead of that call.
	 */
	countUpTo(call: SharedCall, count: number, tag: number): number {
		const lead = tag - this.startTag(call);
		return lead < 0 ? 0 : Math.min(count, Math.floor(lead / costOf(call)) + 1);
	}

	/** Forgets all customers, as nothing runs or waits any more. */
	reset(): void {
		this.tags.clear();
		this.virtualTime = 0;
	}

	private removeLowest(): void {
		const sorted = [...this.tags].toSorted(([, a], [, b]) => a - b);
		for (const [customer] of sorted.slice(0, maxAccounts / 2)) {
			this.tags.delete(customer);
		}
	}
}
