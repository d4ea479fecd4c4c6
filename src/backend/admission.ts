import {RefusalReason, type LoadReport} from '../call/index.js';
import type {Clock, Millis} from '../clock/index.js';
import {invariant} from '../util/index.js';
import {compareUrgency, type Urgency} from './queue-order.js';
import {ServiceTime} from './service-time.js';

/** A call that asks for a slot. Exactly one of `start` and `refuse` is called, once. */
export interface AdmissionRequest extends Urgency {
	readonly customer: string;
	/** Weight of the customer when calls compete. */
	readonly share: number;
	/** Whether the call would rather be refused than wait, as it can try elsewhere. */
	readonly canRetryElsewhere: boolean;
	/** @returns how long the call should better wait though a slot is free, in ms; 0 to start. */
	startDelay?(): Millis;
	/** The slot is the caller's own until it is released. */
	start(): void;
	/**
	 * The call does not get a slot.
	 * @param reason - why.
	 */
	refuse(reason: RefusalReason): void;
}

/** Limits of a backend server. */
export interface AdmissionLimits {
	/** Calls that may run at once. */
	readonly slots: number;
	/** Calls that may wait. */
	readonly queue: number;
}

/** The shorter runs last about so many times their mean. Source: the spread on the users' sheets. */
const shortRun = 0.7;

type Usage = {running: number; queued: number; share: number};

/**
 * Decides which calls run at the backend server. Its slots are never exceeded; who waits is served
 * by fair shares between customers and by urgency within a customer; who cannot be served in time
 * is refused at once.
 */
export class Admission {
	private readonly running = new Map<AdmissionRequest, Millis>();
	private readonly queue: AdmissionRequest[] = [];
	private readonly usage = new Map<string, Usage>();
	private readonly serviceTime = new ServiceTime();

	constructor(
		private readonly clock: Pick<Clock, 'now'>,
		private limits: AdmissionLimits,
	) {}

	get inFlight(): number {
		return this.running.size;
	}

	get queued(): number {
		return this.queue.length;
	}

	/**
	 * @param limits - what holds from now on; calls that run keep their slots.
	 */
	setLimits(limits: AdmissionLimits): void {
		this.limits = limits;
		this.dispatch();
	}

	/**
	 * Asks for a slot; the answer may come before this returns.
	 * @param ticket - who asks.
	 */
	submit(ticket: AdmissionRequest): void {
		const reason = this.refusalFor(ticket);
		if (reason !== undefined) {
			ticket.refuse(reason);
		} else if (this.running.size < this.limits.slots && !isHeld(ticket)) {
			this.begin(ticket);
		} else {
			this.enqueue(ticket);
		}
	}

	/**
	 * Takes a waiting call out of the queue without a word to it.
	 * @param ticket - who no longer waits.
	 * @returns whether it was waiting.
	 */
	withdraw(ticket: AdmissionRequest): boolean {
		const index = this.queue.indexOf(ticket);
		if (index === -1) {
			return false;
		}

		this.queue.splice(index, 1);
		this.use(ticket).queued -= 1;
		this.dropUnused(ticket.customer);
		return true;
	}

	/**
	 * Gives a slot back.
	 * @param ticket - whose slot it was.
	 * @param isFailure - whether the backend server failed.
	 */
	release(ticket: AdmissionRequest, isFailure: boolean): void {
		const startedAt = this.running.get(ticket);
		invariant(startedAt !== undefined, 'a slot is released once, by who holds it');
		this.running.delete(ticket);
		this.use(ticket).running -= 1;
		this.dropUnused(ticket.customer);
		this.serviceTime.add(this.clock.now() - startedAt, isFailure);
		this.dispatch();
	}

	/** Refuses those whose time has become too short; called every few ms. */
	sweep(): void {
		const now = this.clock.now();
		const late = this.queue.filter(
			(ticket) => ticket.deadline.timeLeft(now) < this.minimumTime(ticket),
		);
		for (const ticket of late) {
			this.withdraw(ticket);
			ticket.refuse(RefusalReason.DeadlineTooShort);
		}
	}

	/**
	 * Refuses all that wait.
	 * @param reason - why.
	 */
	refuseQueue(reason: RefusalReason): void {
		const waiting = [...this.queue];
		for (const ticket of waiting) {
			this.withdraw(ticket);
			ticket.refuse(reason);
		}
	}

	/** Starts what may start; called when the backend server has become fast again. */
	dispatch(): void {
		this.sweep();
		while (this.running.size < this.limits.slots) {
			const ticket = this.nextTicket();
			if (!ticket) {
				return;
			}

			this.withdraw(ticket);
			this.begin(ticket);
		}
	}

	/** @returns the load at this moment. */
	report(): Omit<LoadReport, 'slowdown'> {
		return {
			inFlight: this.running.size,
			queued: this.queue.length,
			slots: this.limits.slots,
			serviceTime: this.currentServiceTime(),
			failureShare: this.serviceTime.failureShare,
		};
	}

	private refusalFor(ticket: AdmissionRequest): RefusalReason | undefined {
		const timeLeft = ticket.deadline.timeLeft(this.clock.now());
		if (timeLeft <= 0) {
			return RefusalReason.DeadlinePassed;
		}

		const isFull = this.running.size >= this.limits.slots;
		const mustWait = isFull || isHeld(ticket);
		if (!mustWait) {
			return undefined;
		}

		if (ticket.canRetryElsewhere) {
			return isFull ? RefusalReason.Busy : RefusalReason.BackendSlow;
		}

		if (this.isOverShare(ticket, ticket)) {
			return RefusalReason.CustomerShare;
		}

		if (this.predictedTime(ticket) > timeLeft) {
			return RefusalReason.DeadlineTooShort;
		}

		return this.hasRoomFor(ticket) ? undefined : RefusalReason.QueueFull;
	}

	// A full queue makes room for a customer within its share at the cost of one beyond its own.
	private hasRoomFor(ticket: AdmissionRequest): boolean {
		if (this.queue.length < this.limits.queue) {
			return true;
		}

		const victim = this.queue.findLast(
			(other) => other.customer !== ticket.customer && this.isOverShare(other, ticket),
		);
		if (!victim) {
			return false;
		}

		this.withdraw(victim);
		victim.refuse(RefusalReason.CustomerShare);
		return true;
	}

	// A customer may use all that is free, but not more than its share once others compete.
	private isOverShare(ticket: AdmissionRequest, newcomer: AdmissionRequest): boolean {
		const usage = this.usage.get(ticket.customer);
		const used = (usage?.running ?? 0) + (usage?.queued ?? 0);
		const capacity = this.limits.slots + this.limits.queue;
		return used >= Math.max(1, (capacity * ticket.share) / this.totalShare(newcomer));
	}

	private totalShare(newcomer: AdmissionRequest): number {
		let total = newcomer.share;
		for (const [customer, usage] of this.usage) {
			total += customer === newcomer.customer ? 0 : usage.share;
		}

		return total;
	}

	private predictedTime(ticket: AdmissionRequest): Millis {
		let ahead = 1;
		let ownAhead = 1;
		for (const other of this.queue) {
			const isAhead = this.compare(other, ticket) <= 0;
			ahead += isAhead ? 1 : 0;
			ownAhead += isAhead && other.customer === ticket.customer ? 1 : 0;
		}

		// Customers are served in turn by their shares, however many calls another has waiting.
		const fairAhead = (ownAhead * this.totalShare(ticket)) / ticket.share;
		const excess = Math.max(0, this.running.size - this.limits.slots);
		const places = Math.min(ahead, fairAhead) + excess;
		const current = this.currentServiceTime();
		const serviceTime = this.serviceTime.isKnown ? current : Math.max(current, ticket.work);
		const hold = ticket.startDelay?.() ?? 0;
		return hold + (places / Math.max(1, this.limits.slots)) * serviceTime + serviceTime;
	}

	// Calls that run for longer than usual tell of a slow backend server before they end.
	private currentServiceTime(): Millis {
		const now = this.clock.now();
		let age = 0;
		for (const startedAt of this.running.values()) {
			age += now - startedAt;
		}

		const meanAge = this.running.size > 0 ? age / this.running.size : 0;
		return Math.max(this.serviceTime.average, meanAge);
	}

	// What can no longer be served is refused at once, while its caller has time to come back.
	private minimumTime(ticket: AdmissionRequest): Millis {
		const hold = ticket.startDelay?.() ?? 0;
		return Math.max(this.serviceTime.average / 2, hold + ticket.work * shortRun);
	}

	private begin(ticket: AdmissionRequest): void {
		this.running.set(ticket, this.clock.now());
		this.use(ticket).running += 1;
		ticket.start();
	}

	private enqueue(ticket: AdmissionRequest): void {
		this.queue.push(ticket);
		this.use(ticket).queued += 1;
	}

	private nextTicket(): AdmissionRequest | undefined {
		let best: AdmissionRequest | undefined;
		for (const ticket of this.queue) {
			if (isHeld(ticket)) {
				continue;
			}

			if (!best) {
				best = ticket;
				continue;
			}

			const byShare = this.pressure(ticket) - this.pressure(best);
			if (byShare < 0 || (byShare === 0 && this.compare(ticket, best) < 0)) {
				best = ticket;
			}
		}

		return best;
	}

	private compare(a: AdmissionRequest, b: AdmissionRequest): number {
		return compareUrgency(a, b, this.clock.now());
	}

	private pressure(ticket: AdmissionRequest): number {
		return (this.usage.get(ticket.customer)?.running ?? 0) / ticket.share;
	}

	private use(ticket: AdmissionRequest): Usage {
		let usage = this.usage.get(ticket.customer);
		if (!usage) {
			usage = {running: 0, queued: 0, share: ticket.share};
			this.usage.set(ticket.customer, usage);
		}

		return usage;
	}

	private dropUnused(customer: string): void {
		const usage = this.usage.get(customer);
		if (usage && usage.running + usage.queued === 0) {
			this.usage.delete(customer);
		}
	}
}

function isHeld(ticket: AdmissionRequest): boolean {
	return (ticket.startDelay?.() ?? 0) > 0;
}
