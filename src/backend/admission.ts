import {RefusalReason, type LoadReport} from '../call/index.js';
import {second, type Clock, type Millis} from '../clock/index.js';
import {Mechanism, noneDisabled, type DisabledMechanisms} from '../experiment/index.js';
import {invariant} from '../util/index.js';
import {DispatchOrder, type OrderedCall} from './dispatch-order.js';
import {LateCapacity} from './late-capacity.js';
import {OvertakenCalls} from './overtaken-calls.js';
import {canMeetObjective, mustMissObjectives} from './queue-order.js';
import {RateLimit} from './rate-limit.js';
import {ServiceTime} from './service-time.js';
import {reportLimit, type StartLimit} from './start-limit.js';

/** A request for a slot at the backend server. Either `start` or `refuse` is called, once, unless it is withdrawn first. */
export interface AdmissionRequest extends OrderedCall {
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

/** Service times for which a customer counts as one whose calls become late in the queue. */
const overtakenMemory = 3;
/** Duration of a short run relative to the mean: run times vary by about 30 % around it. */
const shortRunFactor = 0.7;
/** Refusals of calls that found no slot here and are not sent elsewhere at once. */
const capacityReasons: ReadonlySet<RefusalReason> = new Set([
	RefusalReason.CustomerShare,
	RefusalReason.DeadlineTooShort,
	RefusalReason.QueueFull,
]);
/**
 * Factor of the expected wait for a start under a paced limit. Calls that start just before they become
 * late miss their objective when they run longer than usual or more urgent calls arrive.
 */
const pacedWaitMargin = 2;

/**
 * Controls admission to the slots of the backend server. New calls never start beyond the slots and the start limit.
 * Queued calls are dispatched in the {@link DispatchOrder}. A call that cannot be served in time is refused at once.
 */
export class Admission {
	private readonly running = new Map<AdmissionRequest, Millis>();
	private readonly queue: AdmissionRequest[] = [];
	private readonly order = new DispatchOrder();
	private readonly serviceTime = new ServiceTime();
	private readonly lateCapacity = new LateCapacity();
	/** Queued calls that could meet their objective when they were queued. */
	private readonly queuedInTime = new Set<AdmissionRequest>();
	private readonly overtaken = new OvertakenCalls();

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
			this.refuse(request, reason);
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
		this.overtaken.remove(request);
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
		this.serviceTime.add(this.clock.now() - startedAt, isFailure);
		this.dispatch();
		if (this.running.size + this.queue.length === 0) {
			this.order.reset();
		}
	}

	/** Refuses queued calls that will not be answered before their deadline; called every few ms. */
	sweep(): void {
		const now = this.clock.now();
		this.recordMisses(now);
		this.refuseOvertaken(now);
		this.refuseUnservableLate(now);
		const tooLate = this.queue.filter(
			(request) => request.deadline.timeLeft(now) < this.minimumTime(request),
		);
		for (const request of tooLate) {
			this.withdraw(request);
			this.refuse(request, RefusalReason.DeadlineTooShort);
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
					this.overtaken.recordMiss(request, now);
				}
			}
		}
	}

	// Without this, each call that an overload leaves over would be refused only when it is late.
	private refuseOvertaken(now: Millis): void {
		const missMemory = overtakenMemory * this.currentServiceTime();
		for (const request of this.overtaken.find(this.queue, this.order, now, missMemory)) {
			this.lateCapacity.recordMiss(now);
			this.overtaken.recordMiss(request, now);
			this.withdraw(request);
			this.refuse(request, RefusalReason.DeadlineTooShort);
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
				this.refuse(request, RefusalReason.DeadlineTooShort);
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

		this.order.recordArrival(request);

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

	private refuse(request: AdmissionRequest, reason: RefusalReason): void {
		if (capacityReasons.has(reason)) {
			this.order.recordRefused(request);
		}

		request.refuse(reason);
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

	// When the queue is full, the call of another customer that would start last is evicted.
	private makeRoomFor(request: AdmissionRequest): boolean {
		if (this.queue.length < this.limits.queue) {
			return true;
		}

		const evicted = this.order.findLast(request, this.queue, this.clock.now());
		if (!evicted) {
			return false;
		}

		this.withdraw(evicted);
		this.refuse(evicted, RefusalReason.CustomerShare);
		return true;
	}

	private predictedTime(request: AdmissionRequest): Millis {
		const ahead = this.order.countAhead(request, this.queue, this.clock.now());
		const excess = Math.max(0, this.running.size - this.limits.slots);
		const positions = ahead + 1 + excess;
		const current = this.currentServiceTime();
		const serviceTime = this.serviceTime.isKnown ? current : Math.max(current, request.work);
		const run = serviceTime + (request.transferTime ?? 0);
		const delay = request.startDelay?.() ?? 0;
		const slotWait = (positions / Math.max(1, this.limits.slots)) * serviceTime;
		const rateWait = this.startLimit.untilStart(ahead);
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
		this.order.recordStart(request);
		this.startLimit.recordStart();
		request.start();
	}

	private enqueue(request: AdmissionRequest): void {
		this.queue.push(request);
		this.overtaken.add(request, this.clock.now());
		if (canMeetObjective(request, this.clock.now())) {
			this.queuedInTime.add(request);
		}
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

			if (!next || this.compare(request, next, isOverloaded) < 0) {
				next = request;
			}
		}

		return next;
	}

	private compare(a: AdmissionRequest, b: AdmissionRequest, isOverloaded = false): number {
		return this.order.compare(a, b, this.clock.now(), isOverloaded);
	}
}

function isDelayed(request: AdmissionRequest): boolean {
	return (request.startDelay?.() ?? 0) > 0;
}
