import type {Millis} from '../clock/index.js';
import type {DispatchOrder, OrderedCall} from './dispatch-order.js';

/**
 * Time for which an overtaken call waits, as a share of the time to its objective. A refusal after an eighth of the
 * objective counts as late, and calls are checked every 20 ms.
 */
const maxWaitShare = 0.09;

/**
 * Queued calls of customers that newer calls of the same customer overtake. Under overload the call with the most time
 * left starts first, so that the older calls of a customer that sends more than its share wait until they are late.
 */
export class OvertakenCalls {
	private readonly refuseAt = new Map<OrderedCall, Millis>();
	/** When a call of each customer last became late in the queue. */
	private readonly missedAt = new Map<string, Millis>();

	/**
	 * @param call - a call that is queued.
	 * @param now - monotonic time in ms.
	 */
	add(call: OrderedCall, now: Millis): void {
		// Without an objective before the deadline, a call that waits may still be served after a short overload.
		if (call.customer !== '' && call.objective.at < call.deadline.at) {
			this.refuseAt.set(call, now + Math.max(0, call.objective.at - now) * maxWaitShare);
		}
	}

	/**
	 * @param call - a call that is no longer queued.
	 */
	remove(call: OrderedCall): void {
		this.refuseAt.delete(call);
	}

	/**
	 * @param call - a queued call that can no longer meet its objective.
	 * @param now - monotonic time in ms.
	 */
	recordMiss(call: OrderedCall, now: Millis): void {
		if (call.customer !== '') {
			this.missedAt.set(call.customer, now);
		}
	}

	/**
	 * @param queue - the queued calls, in order of their arrival.
	 * @param order - order in which they start.
	 * @param now - monotonic time in ms.
	 * @param missMemory - how long a customer counts as one that misses objectives, in ms.
	 * @returns the calls that have waited too long behind newer calls of their customer, of customers that have used
	 * their share and whose calls have become late before.
	 */
	find<T extends OrderedCall>(
		queue: readonly T[],
		order: DispatchOrder,
		now: Millis,
		missMemory: Millis,
	): T[] {
		for (const [customer, missedAt] of this.missedAt) {
			if (now - missedAt > missMemory) {
				this.missedAt.delete(customer);
			}
		}

		if (this.missedAt.size === 0) {
			return [];
		}

		const found: T[] = [];
		const newer = new Set<string>();
		for (const call of queue.toReversed()) {
			const {customer} = call;
			const isEligible = newer.has(customer) && this.missedAt.has(customer);
			const isDue = (this.refuseAt.get(call) ?? now + 1) <= now;
			if (isEligible && isDue && order.hasUsedShare(call)) {
				found.push(call);
			}

			newer.add(customer);
		}

		return found;
	}
}
