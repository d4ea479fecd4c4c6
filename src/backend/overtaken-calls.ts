import type {Millis} from '../clock/index.js';
import type {DispatchOrder, OrderedCall} from './dispatch-order.js';
import {canMeetObjective} from './queue-order.js';

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

	/**
	 * @param call - a call that is queued.
	 * @param now - monotonic time in ms.
	 */
	add(call: OrderedCall, now: Millis): void {
		if (call.customer !== '') {
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
	 * @param queue - the queued calls, in order of their arrival.
	 * @param order - order in which they start.
	 * @param now - monotonic time in ms.
	 * @returns the calls that have waited too long behind newer calls of their customer. They are all of the customer
	 * whose calls start last, if that one has used its share: what the others need is not taken from them.
	 */
	find<T extends OrderedCall>(queue: readonly T[], order: DispatchOrder, now: Millis): T[] {
		const inTime = queue.filter((call) => canMeetObjective(call, now));
		let last = inTime[0];
		for (const call of inTime) {
			last = last && order.compare(call, last, now) > 0 ? call : last;
		}

		if (!last || !order.hasUsedShare(last)) {
			return [];
		}

		const own = inTime.filter(({customer}) => customer === last.customer);
		return own.slice(0, -1).filter((call) => (this.refuseAt.get(call) ?? now + 1) <= now);
	}
}
