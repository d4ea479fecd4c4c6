import {second, type Millis} from '../clock/index.js';
import type {CustomerLimit} from './quota-limit.js';
import type {QuotaCount} from './quota-message.js';

type Use = {level: number; at: Millis; isAbove: boolean};

/** Share of the burst that all zones together may have used without telling the other regions. */
const untoldBurstShare = 0.25;
/** Least requests of a zone that are worth a message; fewer say nothing about the rate. */
const minUntold = 4;
/** A customer stays above its fraction for this long after its use has fallen to the fraction. */
const holdTime: Millis = 2 * second;

/**
 * Selects the customers whose counts are sent to other regions: those of which the own zone uses more than its equal
 * part. If no zone does, all of them together are within the limit without a message.
 */
export class FarFilter {
	private readonly uses = new Map<string, Use>();

	/**
	 * @param count - requests counted in the own zone.
	 * @param limit - limit of the customer.
	 * @param zones - number of zones.
	 * @param now - monotonic time in ms.
	 * @returns the count to send, with what was held back before; undefined if it is not worth sending.
	 */
	pass(
		count: QuotaCount,
		limit: CustomerLimit,
		zones: number,
		now: Millis,
	): QuotaCount | undefined {
		const {customer, requested} = count;
		const use = this.uses.get(customer) ?? {level: 0, at: now, isAbove: false};
		this.uses.set(customer, use);
		const drain = limit.rate / zones / second;
		const threshold = Math.max(minUntold, (limit.burst * untoldBurstShare) / zones);
		const heldBack = Math.max(0, use.level - drain * (now - use.at));
		use.at = now;
		use.level = Math.min(heldBack + requested, threshold + drain * holdTime + requested);
		const wasAbove = use.isAbove;
		use.isAbove = use.level > threshold;
		if (!use.isAbove) {
			return undefined;
		}

		// Requests below the threshold were admitted as a rule.
		const untold = wasAbove ? 0 : Math.floor(heldBack);
		return {customer, admitted: count.admitted + untold, requested: requested + untold};
	}

	/**
	 * @param customer - name of a customer that is no longer active.
	 */
	forget(customer: string): void {
		this.uses.delete(customer);
	}
}
