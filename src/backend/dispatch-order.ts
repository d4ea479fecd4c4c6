import type {Millis} from '../clock/index.js';
import {FairShares, type SharedCall} from './fair-shares.js';
import {canMeetObjective, compareUrgency, type Urgency} from './queue-order.js';
import {ServiceFloor} from './service-floor.js';

/** A call with all properties that determine its position in the queue. */
export interface OrderedCall extends Urgency, SharedCall {
	/** Whether a backend server made the call while it ran another one. */
	readonly isNested?: boolean | undefined;
}

type ScheduledCall<T> = {readonly call: T; readonly tag: number};

/**
 * Order in which queued calls start: calls that can meet their objective first, then nested calls and those of customers
 * that are owed a start, then by priority, then by the fair shares of customers within the priority, then by urgency. A
 * nested call goes ahead of others, as the call that waits for it holds a slot elsewhere, whose customer has been charged
 * for it. The whole part of a priority is that of the customer, its fraction that of the route, which orders the calls
 * of one customer.
 */
export class DispatchOrder {
	private readonly sharesByPriority = new Map<number, FairShares>();
	private readonly floor = new ServiceFloor();

	/**
	 * @param a - one call.
	 * @param b - another call.
	 * @param now - monotonic time in ms.
	 * @param isOverloaded - whether some of the calls must miss their objective.
	 * @returns a negative number if `a` starts first.
	 */
	compare(a: OrderedCall, b: OrderedCall, now: Millis, isOverloaded = false): number {
		if (isSameAccount(a, b)) {
			return compareUrgency(a, b, now, isOverloaded);
		}

		return (
			compareLateness(a, b, now) ||
			this.compareOwed(a, b) ||
			comparePriority(a, b) ||
			this.tagOf(a) - this.tagOf(b) ||
			compareUrgency(a, b, now, isOverloaded)
		);
	}

	/**
	 * @param call - a call that is not queued yet.
	 * @param queue - the queued calls.
	 * @param now - monotonic time in ms.
	 * @returns how many queued calls start before the call.
	 */
	countAhead(call: OrderedCall, queue: readonly OrderedCall[], now: Millis): number {
		let ahead = 0;
		let own = 0;
		const rivals = new Map<string, {first: OrderedCall; count: number}>();
		for (const other of queue) {
			if (isSameAccount(other, call)) {
				own += compareUrgency(other, call, now) <= 0 ? 1 : 0;
				continue;
			}

			const rank = compareRank(other, call, now);
			if (rank < 0) {
				ahead += 1;
			} else if (rank === 0) {
				const rival = rivals.get(other.customer);
				rivals.set(other.customer, {first: other, count: (rival?.count ?? 0) + 1});
			}
		}

		if (own === 0 && this.floor.isOwed(call)) {
			return 0;
		}

		if (rivals.size === 0) {
			return ahead + own;
		}

		const shares = this.sharesOf(call);
		const tag = shares.startTag(call, own);
		for (const {first, count} of rivals.values()) {
			ahead += shares.countUpTo(first, count, tag);
		}

		return ahead + own;
	}

	/**
	 * @param call - a call for which there is no room in the queue.
	 * @param queue - the queued calls.
	 * @param now - monotonic time in ms.
	 * @returns the queued call of another customer that would start last; undefined if the call itself would.
	 */
	findLast<T extends OrderedCall>(
		call: OrderedCall,
		queue: readonly T[],
		now: Millis,
	): T | undefined {
		const own = queue.filter((other) => isSameAccount(other, call)).length;
		let last: ScheduledCall<OrderedCall> = {call, tag: this.tagOf(call, own)};
		let found: T | undefined;
		const counts = new Map<string, number>();
		for (const other of queue.toSorted((a, b) => compareUrgency(a, b, now))) {
			const ahead = counts.get(other.customer) ?? 0;
			counts.set(other.customer, ahead + 1);
			const tag = this.tagOf(other, ahead);
			const difference = compareRank(other, last.call, now) || tag - last.tag;
			const isOwed = ahead === 0 && this.floor.isOwed(other);
			if (other.customer !== call.customer && !isOwed && difference > 0) {
				last = {call: other, tag};
				found = other;
			}
		}

		return found;
	}

	/**
	 * @param call - a queued call.
	 * @returns whether its customer has used all of its share; never for nested calls.
	 */
	hasUsedShare(call: OrderedCall): boolean {
		return !call.isNested && this.sharesOf(call).hasUsedShare(call);
	}

	/**
	 * @param call - a call that starts.
	 */
	recordStart(call: OrderedCall): void {
		if (!call.isNested) {
			this.sharesOf(call).recordStart(call);
			this.floor.recordStart(call);
		}
	}

	/**
	 * @param call - a call that does not start at once and is queued or refused.
	 */
	recordArrival(call: OrderedCall): void {
		this.floor.recordArrival(call);
	}

	/**
	 * @param call - a call that is refused for want of a slot.
	 */
	recordRefused(call: OrderedCall): void {
		this.floor.recordRefused(call);
	}

	/** Forgets what customers have used, as nothing runs or waits any more. */
	reset(): void {
		this.sharesByPriority.clear();
	}

	// A nested call goes ahead of a call that is owed a start.
	private compareOwed(a: OrderedCall, b: OrderedCall): number {
		const isPreferred = (call: OrderedCall) => call.isNested === true || this.floor.isOwed(call);
		return Number(!isPreferred(a)) - Number(!isPreferred(b));
	}

	private tagOf(call: OrderedCall, ahead = 0): number {
		return call.isNested ? 0 : this.sharesOf(call).startTag(call, ahead);
	}

	private sharesOf({priority}: OrderedCall): FairShares {
		const level = Math.floor(priority);
		let shares = this.sharesByPriority.get(level);
		if (!shares) {
			shares = new FairShares();
			this.sharesByPriority.set(level, shares);
		}

		return shares;
	}
}

function isSameAccount(a: OrderedCall, b: OrderedCall): boolean {
	return a.customer === b.customer && Boolean(a.isNested) === Boolean(b.isNested);
}

function compareLateness(a: OrderedCall, b: OrderedCall, now: Millis): number {
	return Number(!canMeetObjective(a, now)) - Number(!canMeetObjective(b, now));
}

function comparePriority(a: OrderedCall, b: OrderedCall): number {
	return (
		Number(!a.isNested) - Number(!b.isNested) || Math.floor(a.priority) - Math.floor(b.priority)
	);
}

// Calls of equal rank share the slots by the weights of their customers.
function compareRank(a: OrderedCall, b: OrderedCall, now: Millis): number {
	return compareLateness(a, b, now) || comparePriority(a, b);
}
