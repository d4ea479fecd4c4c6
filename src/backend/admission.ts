import {RefusalReason, type LoadReport} from '../call/index.js';
import {second, type Clock, type Millis} from '../clock/index.js';
import {Mechanism, noneDisabled, type DisabledMechanisms} from '../experiment/index.js';
import {invariant} from '../util/index.js';
import {LateCapacity} from './late-capacity.js';
import {canMeetObjective, compareUrgency, mustMissObjectives, type Urgency} from './queue-order.js';
import {RateLimit} from './rate-limit.js';
import {ServiceTime} from './service-time.js';
import {reportLimit, type StartLimit} from './start-limit.js';

/** A request for a slot at the backend server. Either `start` or `refuse` is called, once, unless it is withdrawn first. */
export interface AdmissionRequest extends Urgency {
	readonly customer: string;
	/** Relative weight of the customer when several customers compete for slots. */
	readonly share: number;
	/** Whether to refuse the call instead of queueing it, so that the ingress retries elsewhere. */
	readonly canRetryElsewhere: boolean;
	/** @returns how long to delay the call although a slot is free, in ms; 0 to start it now. */
	startDelay?(): Millis;
	/** Starts the call, which holds its slot until {@link Admission.release}. */
	start(): void;
	/**
	 * Rejects the call, which gets no slot.
	 * @param reason - reason that is reported to the caller.
	 */
	refuse(reason: RefusalReason): void;
}

/** Limits of a backend server. */
export interface AdmissionLimits {
	/** Maximum number of concurrent calls. */
	readonly slots: number;
	/** Maximum number of queued calls. */
	readonly queue: number;
}

/** Duration of a short run relative to the mean: run times vary by about 30 % around it. */
const shortRunFactor = 0.7;
/**
 * Factor of the expected wait for a start under a paced limit. Calls that start just before they become
 * late miss their objective when they run longer than usual or more urgent calls arrive.
 */
const pacedWaitMargin = 2;

type Usage = {running: number; queued: number; share: number};

/**
 * Controls admission to the slots of the backend server. New calls never start beyond the slots and the start limit.
 * Queued calls are dispatched by fair shares between customers and by urgency within a customer. A
 * call that cannot be served in time is refused at once.
 */
export class Admission {
	private readonly running = new Map<AdmissionRequest, Millis>();
	private readonly queue: AdmissionRequest[] = [];
	private readonly usage = new Map<string, Usage>();
	private readonly serviceTime = new ServiceTime();
	private readonly lateCapacity = new LateCapacity();
	/** Queued calls that could meet their objective when they were queued. */
	private readonly queuedInTime = new Set<AdmissionRequest>();

	constructor(
		private readonly clock: Pick<Clock, 'now'>,
		private limits: AdmissionLimits,
		private readonly disabled: DisabledMechanisms = noneDisabled,
		private readonly startLimit: StartLimit = new RateLimit(clock),
	) {}

	get inFlight(): number {
		return this.running.size;
	}

	get queued(): number {
		return this.queue.length;
	}

	/**
	 * @param limits - new limits; running calls keep their slots even beyond them.
	 */
	setLimits(limits: AdmissionLimits): void {
		this.limits = limits;
		this.dispatch();
	}

	/**
	 * Starts, queues or refuses a call; `start` or `refuse` may be called before this returns.
	 * @param request - the call that needs a slot.
	 */
	submit(request: AdmissionRequest): void {
		// A paced limit opens with time, without an event that starts a queued call.
		if (this.startLimit.isPaced) {
			this.dispatch(request);
		}

		const reason = this.refusalFor(request);
		if (reason !== undefined) {
			request.refuse(reason);
		} else if (this.isOpen && this.mayStart(request)) {
			this.startRequest(request);
		} else {
			this.enqueue(request);
		}
	}

	/**
	 * Removes a call from the queue without calling `start` or `refuse`.
	 * @param request - the call to remove.
	 * @returns whether the call was queued.
	 */
	withdraw(request: AdmissionRequest): boolean {
		const index = this.queue.indexOf(request);
		if (index === -1) {
			return false;
		}

		this.queue.splice(index, 1);
		this.queuedInTime.delete(request);
		this.usageOf(request).queued -= 1;
		this.removeIdleUsage(request.customer);
		return true;
	}

	/**
	 * Releases the slot of a call and dispatches queued calls.
	 * @param request - the call that held the slot.
	 * @param isFailure - whether the backend server failed.
	 * @throws {InvariantError} if the call holds no slot.
	 */
	release(request: AdmissionRequest, isFailure: boolean): void {
		const startedAt = this.running.get(request);
		invariant(
			startedAt !== undefined,
			'a slot must be released exactly once, by the call that holds it',
		);
		this.running.delete(request);
		this.usageOf(request).running -= 1;
		this.removeIdleUsage(request.customer);
		this.serviceTime.add(this.clock.now() - startedAt, isFailure);
		this.dispatch();
	}

	/** Refuses queued calls that will not be answered before their deadline; called every few ms. */
	sweep(): void {
		const now = this.clock.now();
		this.recordMisses(now);
		this.refuseUnservableLate(now);
		const tooLate = this.queue.filter(
			(request) => request.deadline.timeLeft(now) < this.minimumTime(request),
		);
		for (const request of tooLate) {
			this.withdraw(request);
			request.refuse(RefusalReason.DeadlineTooShort);
		}
	}

	/**
	 * Refuses all queued calls.
	 * @param reason - reason that is reported to their callers.
	 */
	refuseQueue(reason: RefusalReason): void {
		const waiting = [...this.queue];
		for (const request of waiting) {
			this.withdraw(request);
			request.refuse(reason);
		}
	}

	/**
	 * Starts queued calls while slots are free; also called when the backend server is fast again.
	 * @param newcomer - call that is not queued; calls that go after it are not started.
	 */
	dispatch(newcomer?: AdmissionRequest): void {
		this.sweep();
		while (this.isOpen) {
			const request = this.nextRequest();
			if (!request || (newcomer && this.compare(newcomer, request) < 0)) {
				return;
			}

			this.withdraw(request);
			this.startRequest(request);
		}
	}

	/** @returns the current load. */
	report(): Omit<LoadReport, 'slowdown'> {
		return {
			inFlight: this.running.size,
			queued: this.queue.length,
			slots: this.limits.slots,
			serviceTime: this.currentServiceTime(),
			failureShare: this.serviceTime.failureShare,
			...reportLimit(this.startLimit, this.queue.length),
		};
	}

	// Whether another call may start: a slot is free and the start limit is not used up.
	private get isOpen(): boolean {
		return this.running.size < this.limits.slots && this.startLimit.untilStart() === 0;
	}

	// Queued calls that have become late because no slot was free.
	private recordMisses(now: Millis): void {
		for (const request of this.queuedInTime) {
			if (!canMeetObjective(request, now)) {
				this.queuedInTime.delete(request);
				if (!isDelayed(request)) {
					this.lateCapacity.recordMiss(now);
				}
			}
		}
	}

	private refuseUnservableLate(now: Millis): void {
		const late = this.queue.filter((request) => !canMeetObjective(request, now));
		late.sort((a, b) => this.compare(a, b));
		let lateBefore = 0;
		for (const request of late) {
			if (this.isServableLate(request, lateBefore)) {
				lateBefore += 1;
			} else {
				this.withdraw(request);
				request.refuse(RefusalReason.DeadlineTooShort);
			}
		}
	}

	// May evict a queued call to make room for the new one.
	private refusalFor(request: AdmissionRequest): RefusalReason | undefined {
		const timeLeft = request.deadline.timeLeft(this.clock.now());
		if (timeLeft <= 0) {
			return RefusalReason.DeadlinePassed;
		}

		const isFull = !this.isOpen;
		if (!isFull && this.mayStart(request)) {
			return undefined;
		}

		if (request.canRetryElsewhere && (isFull || isDelayed(request))) {
			return isFull ? this.fullReason : RefusalReason.BackendSlow;
		}

		if (this.hasUsedShare(request, request)) {
			return RefusalReason.CustomerShare;
		}

		if (this.predictedTime(request) > timeLeft) {
			return this.startLimit.lateRefusal;
		}

		if (this.willBeLate(request)) {
			const isMiss = isFull && canMeetObjective(request, this.clock.now());
			if (isMiss) {
				this.lateCapacity.recordMiss(this.clock.now());
			}

			const isServable = this.isServableLate(request, this.countLateBefore(request));
			if (!isServable || (isMiss && this.startLimit.isPaced)) {
				return this.startLimit.lateRefusal;
			}
		}

		return this.makeRoomFor(request) ? undefined : RefusalReason.QueueFull;
	}

	private get fullReason(): RefusalReason {
		const hasSlot = this.running.size < this.limits.slots;
		return hasSlot ? this.startLimit.refusal : RefusalReason.Busy;
	}

	private willBeLate(request: AdmissionRequest): boolean {
		const margin = this.startLimit.isPaced ? pacedWaitMargin : 1;
		const run = this.currentServiceTime() + (request.transferTime ?? 0);
		const wait = (this.predictedTime(request) - run) * margin;
		return !canMeetObjective(request, this.clock.now() + wait);
	}

	private countLateBefore(request: AdmissionRequest): number {
		const now = this.clock.now();
		let count = 0;
		for (const other of this.queue) {
			const isBefore = !canMeetObjective(other, now) && this.compare(other, request) <= 0;
			count += isBefore ? 1 : 0;
		}

		return count;
	}

	// Whether a late call is answered before its deadline in the capacity that the others leave.
	private isServableLate(request: AdmissionRequest, lateBefore: number): boolean {
		if (this.disabled.has(Mechanism.LateRefusal)) {
			return true;
		}

		const serviceTime = this.currentServiceTime();
		const wait = ((lateBefore + 1) / this.lateCapacity.share) * this.startInterval();
		const run = serviceTime + (request.transferTime ?? 0);
		return wait + run <= request.deadline.timeLeft(this.clock.now());
	}

	// When the queue is full, a call of another customer that has used up its share is evicted. A customer
	// that has used up its own share was refused before.
	private makeRoomFor(request: AdmissionRequest): boolean {
		if (this.queue.length < this.limits.queue) {
			return true;
		}

		const evicted = this.queue.findLast(
			(other) => other.customer !== request.customer && this.hasUsedShare(other, request),
		);
		if (!evicted) {
			return false;
		}

		this.withdraw(evicted);
		evicted.refuse(RefusalReason.CustomerShare);
		return true;
	}

	// A customer alone may use the whole capacity, but only its share while others compete.
	private hasUsedShare(request: AdmissionRequest, newRequest: AdmissionRequest): boolean {
		const usage = this.usage.get(request.customer);
		const occupied = (usage?.running ?? 0) + (usage?.queued ?? 0);
		const capacity = this.limits.slots + this.limits.queue;
		return occupied >= Math.max(1, (capacity * request.share) / this.totalShare(newRequest));
	}

	private totalShare(newRequest: AdmissionRequest): number {
		let total = newRequest.share;
		for (const [customer, usage] of this.usage) {
			total += customer === newRequest.customer ? 0 : usage.share;
		}

		return total;
	}

	private predictedTime(request: AdmissionRequest): Millis {
		// Both positions count the call itself.
		let position = 1;
		let ownPosition = 1;
		for (const other of this.queue) {
			const isAhead = this.compare(other, request) <= 0;
			position += isAhead ? 1 : 0;
			ownPosition += isAhead && other.customer === request.customer ? 1 : 0;
		}

		// Fair sharing bounds the wait by the customer's own queued calls, however many others have queued:
		// the customer gets its share of the starts, so its calls start once per total share / own share.
		const fairPosition = (ownPosition * this.totalShare(request)) / request.share;
		const excess = Math.max(0, this.running.size - this.limits.slots);
		const positions = Math.min(position, fairPosition) + excess;
		const current = this.currentServiceTime();
		const serviceTime = this.serviceTime.isKnown ? current : Math.max(current, request.work);
		const run = serviceTime + (request.transferTime ?? 0);
		const delay = request.startDelay?.() ?? 0;
		const slotWait = (positions / Math.max(1, this.limits.slots)) * serviceTime;
		const rateWait = this.startLimit.untilStart(Math.min(position, fairPosition) - 1);
		return delay + Math.max(slotWait, rateWait) + run;
	}

	// Mean time between two starts while calls are queued.
	private startInterval(): Millis {
		const {rate} = this.startLimit;
		const slotInterval = this.currentServiceTime() / Math.max(1, this.limits.slots);
		return rate === undefined ? slotInterval : Math.max(slotInterval, second / rate);
	}

	// Calls in progress that already exceed the average reveal a slow backend server before they end.
	private currentServiceTime(): Millis {
		const now = this.clock.now();
		let age = 0;
		for (const startedAt of this.running.values()) {
			age += now - startedAt;
		}

		const meanAge = this.running.size > 0 ? age / this.running.size : 0;
		return Math.max(this.serviceTime.average, meanAge);
	}

	// Least time in which a queued call could still be answered: its delay and a short run, but at least half
	// the average service time. A call with less time left is refused early, so that its caller can retry.
	private minimumTime(request: AdmissionRequest): Millis {
		const delay = (request.startDelay?.() ?? 0) + (request.transferTime ?? 0);
		return Math.max(this.serviceTime.average / 2, delay + request.work * shortRunFactor);
	}

	private mayStart(request: AdmissionRequest): boolean {
		const now = this.clock.now();
		return !isDelayed(request) && (canMeetObjective(request, now) || this.isOpenToLate(now));
	}

	private isOpenToLate(now: Millis): boolean {
		const isReserving = !this.disabled.has(Mechanism.LateReserve);
		return !isReserving || this.lateCapacity.isOpen(now, this.currentServiceTime());
	}

	private startRequest(request: AdmissionRequest): void {
		const now = this.clock.now();
		const isInTimeWaiting = this.queue.some((other) => canMeetObjective(other, now));
		this.lateCapacity.recordStart(this.isOpenToLate(now) && !isInTimeWaiting);
		this.running.set(request, now);
		this.usageOf(request).running += 1;
		this.startLimit.recordStart();
		request.start();
	}

	private enqueue(request: AdmissionRequest): void {
		this.queue.push(request);
		if (canMeetObjective(request, this.clock.now())) {
			this.queuedInTime.add(request);
		}

		this.usageOf(request).queued += 1;
	}

	// Whether some queued calls that can meet their objective miss it if the most urgent one always starts first.
	private isOverloaded(): boolean {
		if (this.disabled.has(Mechanism.OverloadOrder)) {
			return false;
		}

		return mustMissObjectives(this.queue, this.clock.now(), this.startInterval());
	}

	private nextRequest(): AdmissionRequest | undefined {
		const isOverloaded = !this.startLimit.isPaced && this.isOverloaded();
		let next: AdmissionRequest | undefined;
		for (const request of this.queue) {
			if (!this.mayStart(request)) {
				continue;
			}

			if (!next) {
				next = request;
				continue;
			}

			const shareDifference = this.runningPerShare(request) - this.runningPerShare(next);
			if (
				shareDifference < 0 ||
				(shareDifference === 0 && this.compare(request, next, isOverloaded) < 0)
			) {
				next = request;
			}
		}

		return next;
	}

	private compare(a: AdmissionRequest, b: AdmissionRequest, isOverloaded = false): number {
		return compareUrgency(a, b, this.clock.now(), isOverloaded);
	}

	private runningPerShare(request: AdmissionRequest): number {
		return (this.usage.get(request.customer)?.running ?? 0) / request.share;
	}

	private usageOf(request: AdmissionRequest): Usage {
		let usage = this.usage.get(request.customer);
		if (!usage) {
			usage = {running: 0, queued: 0, share: request.share};
			this.usage.set(request.customer, usage);
		}

		return usage;
	}

	private removeIdleUsage(customer: string): void {
		const usage = this.usage.get(customer);
		if (usage && usage.running + usage.queued === 0) {
			this.usage.delete(customer);
		}
	}
}

function isDelayed(request: AdmissionRequest): boolean {
	return (request.startDelay?.() ?? 0) > 0;
}
