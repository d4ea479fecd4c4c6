import {
	Admission,
	BackendSpeed,
	Saturation,
	shouldDelayStart,
	type AdmissionLimits,
	type AdmissionRequest,
} from '../backend/index.js';
import {
	AttemptLedger,
	RefusalReason,
	type AttemptId,
	type AttemptState,
	type LoadReport,
} from '../call/index.js';
import type {Clock, Millis} from '../clock/index.js';
import {
	AttemptEnd,
	createRefused,
	type Attempt,
	type AttemptResult,
	type AttemptRunner,
} from '../exchange/index.js';
import {CallProfiles, isUsualSpeed} from '../routing/index.js';
import {logEvents, type Logger, type Metrics} from '../telemetry/index.js';
import {withResolvers} from '../util/index.js';
import type {BackendCallEnd} from './backend-call.js';
import {BackendClient, type BackendTarget} from './backend-client.js';
import type {BackendProtocol} from './backend-protocol.js';

/** Keeps back requests that crash backend servers. */
export interface CrashWatch {
	/**
	 * @param fingerprint - of a request.
	 * @returns whether it must not run now.
	 */
	isHeld(fingerprint: string): boolean;
	/** A request was answered, so it does not crash backend servers. */
	recordAnswered(fingerprint: string): void;
	/**
	 * The backend server broke off calls that were in flight.
	 * @param fingerprints - the requests that were in flight.
	 */
	recordBroken(fingerprints: readonly string[]): void;
}

/** What an executor is made of. */
export interface ExecutorDependencies {
	readonly clock: Clock;
	readonly metrics: Metrics;
	readonly logger: Logger;
	readonly protocol: BackendProtocol;
	readonly crashWatch: CrashWatch;
	/** The backend server takes no connections, or another one listens at its address. */
	onBackendUnreachable(): void;
	/** The load has changed so much that others should know. */
	onLoadChanged(): void;
	/**
	 * Asks the backend server how fast it works now, where it can tell.
	 * @returns when it has told, or will not in time.
	 */
	probeSpeed(): Promise<void>;
}

type Target = {client: BackendClient; service: string; instance: string};
type Running = {
	ticket: AdmissionRequest;
	startedAt: Millis;
	waited: Millis;
	slowdown: number;
	isCrowded: boolean;
};

const sweepPeriod: Millis = 20;
const expiryPeriod: Millis = 1000;
/** Age from which on a reading of the speed is too old for a call that cannot be moved once it runs. */
const unsafeFreshness: Millis = 40;
/** The same for calls that can get a second attempt elsewhere. */
const safeFreshness: Millis = 150;
/** The same while calls are held for the end of a slow spell. */
const heldFreshness: Millis = 30;
/** Factor between two speeds from which on a change is worth a message to the callers' nodes. */
const notableChange = 1.5;
/** Share of busy slots from which on down a backend server that was full counts as free. */
const freeShare = 0.8;

/** Runs attempts on the node's own backend server, and is the only one that can say "not run". */
export class Executor implements AttemptRunner {
	private readonly ledger = new AttemptLedger();
	private readonly admission: Admission;
	private readonly speed = new BackendSpeed();
	private readonly profiles = new CallProfiles();
	private readonly crowding = new Saturation();
	private limits: AdmissionLimits = {slots: 1, queue: 0};
	private readonly inFlight = new Map<Attempt, Running>();
	private target: Target | undefined;
	private isDraining = false;
	private isSweeping = false;
	private isToldFull = false;
	private askedAt = Number.NEGATIVE_INFINITY;
	private warmUpSlowdown = 1;

	constructor(private readonly parts: ExecutorDependencies) {
		this.admission = new Admission(parts.clock, this.limits);
		parts.clock.repeat(expiryPeriod, () => {
			this.ledger.expire(parts.clock.now());
		});
	}

	/** Calls that run or wait here. */
	get callCount(): number {
		return this.admission.inFlight + this.admission.queued;
	}

	/** Age of what is known of the backend server's speed, in ms. */
	get speedAge(): Millis {
		return this.speed.age(this.parts.clock.now());
	}

	/** Time since a call last asked to run here, in ms. */
	get idleTime(): Millis {
		return this.parts.clock.now() - this.askedAt;
	}

	/** Service of the backend server; undefined while there is none. */
	get service(): string | undefined {
		return this.target?.service;
	}

	/**
	 * A backend server has announced itself.
	 * @param backend - where it listens and who it is.
	 * @param service - the service that it belongs to.
	 */
	attach(backend: BackendTarget, service: string): void {
		const {protocol, clock} = this.parts;
		const client = new BackendClient(backend, protocol, clock);
		this.target = {client, service, instance: backend.instance};
		this.isDraining = false;
	}

	/** The backend server is gone; what was in flight ends as its connections break. */
	detach(): void {
		this.target?.client.close();
		this.target = undefined;
		this.admission.refuseQueue(RefusalReason.NoBackend);
	}

	/**
	 * @param slots - calls that may run at once.
	 * @param queue - calls that may wait.
	 */
	setLimits(slots: number, queue: number): void {
		this.limits = {slots, queue};
		this.admission.setLimits({slots: this.crowding.limit(slots, this.parts.clock.now()), queue});
	}

	/**
	 * @param slowdown - how many times longer than usual work takes as the backend server has just
	 * started; 1 when it is warm.
	 */
	setWarmUp(slowdown: number): void {
		this.warmUpSlowdown = slowdown;
	}

	/** Takes no new work; what waits is handed back, what runs is finished. */
	drain(): void {
		this.isDraining = true;
		this.admission.refuseQueue(RefusalReason.Draining);
	}

	/** @returns the load of the backend server now. */
	report(): LoadReport {
		const slowdown = Math.max(this.speed.slowdown(this.parts.clock.now()), this.warmUpSlowdown);
		return {...this.admission.report(), slowdown};
	}

	/**
	 * @param id - an attempt.
	 * @returns what became of it; it is fenced if it has not run.
	 */
	queryAndFence(id: AttemptId): AttemptState {
		return this.ledger.queryAndFence(id, this.parts.clock.now());
	}

	/**
	 * @param requestId - id of a request.
	 * @returns whether it extends the id of a request that runs here, as ids of inner calls do.
	 */
	isRunningParentOf(requestId: string): boolean {
		for (const {head} of this.inFlight.keys()) {
			const parent = head.origin.requestId;
			if (requestId.length > parent.length && requestId.startsWith(parent)) {
				return true;
			}
		}

		return false;
	}

	/**
	 * The backend server told how fast it works.
	 * @param slowdown - how many times longer than usual work takes.
	 */
	readSpeed(slowdown: number): void {
		const now = this.parts.clock.now();
		const before = this.speed.slowdown(now);
		this.speed.addReading(slowdown, now);
		this.admission.dispatch();
		if (Math.max(before / slowdown, slowdown / before) > notableChange) {
			this.parts.onLoadChanged();
		}
	}

	async run(attempt: Attempt): Promise<AttemptResult> {
		this.askedAt = this.parts.clock.now();
		const result = await this.admit(attempt);
		if (result.end === AttemptEnd.Refused) {
			const {reason} = result;
			if (reason === RefusalReason.BackendUnreachable || reason === RefusalReason.BackendReplaced) {
				this.parts.onBackendUnreachable();
			}

			this.ledger.markRefused(attempt.id);
			this.parts.metrics.attemptRefusals.inc({reason});
			this.logRefused(attempt, reason);
			return {...result, load: this.report()};
		}

		return result.end === AttemptEnd.Answered ? {...result, load: this.report()} : result;
	}

	private async admit(attempt: Attempt): Promise<AttemptResult> {
		if (!this.ledger.admit(attempt.id, this.parts.clock.now())) {
			return createRefused(RefusalReason.Fenced);
		}

		const reason = this.refusalFor(attempt);
		if (reason !== undefined) {
			return createRefused(reason);
		}

		if (this.speedAge > freshness(attempt)) {
			await this.parts.probeSpeed();
		}

		return this.enterQueue(attempt);
	}

	private async enterQueue(attempt: Attempt): Promise<AttemptResult> {
		const reason = this.refusalFor(attempt);
		if (reason !== undefined) {
			return createRefused(reason);
		}

		const {promise, resolve} = withResolvers<AttemptResult>();
		const askedAt = this.parts.clock.now();
		const ticket: AdmissionRequest = {
			priority: attempt.head.origin.priority,
			objective: attempt.objective,
			work: this.expectedWork(attempt),
			customer: attempt.head.customer,
			share: attempt.share,
			deadline: attempt.deadline,
			canRetryElsewhere: attempt.canRetryElsewhere,
			startDelay: () => this.holdTime(attempt),
			start: () => {
				const waited = this.parts.clock.now() - askedAt;
				void this.send(attempt, ticket, waited).then(resolve);
			},
			refuse(refusal) {
				resolve(createRefused(refusal));
			},
		};
		attempt.cancellation.registerListener(() => {
			if (this.admission.withdraw(ticket)) {
				resolve(createRefused(RefusalReason.DeadlinePassed));
			}
		});
		this.admission.submit(ticket);
		this.sweepLater();
		return promise;
	}

	// The timer runs only while calls wait, as an idle node should cost next to nothing.
	private sweepLater(): void {
		if (this.isSweeping || this.admission.queued === 0) {
			return;
		}

		this.isSweeping = true;
		this.parts.clock.after(sweepPeriod, () => {
			this.isSweeping = false;
			this.admission.sweep();
			this.watchSpell();
			this.sweepLater();
		});
	}

	// Calls that are held need to know at once when the spell has ended.
	private watchSpell(): void {
		if (this.speed.isSlow && this.speedAge > heldFreshness) {
			void this.parts.probeSpeed();
		}
	}

	private holdTime(attempt: Attempt): Millis {
		if (!this.speed.isSlow) {
			return 0;
		}

		const work = this.expectedWork(attempt);
		const timeLeft = attempt.deadline.timeLeft(this.parts.clock.now());
		const slowdown = this.speed.lastSlowdown / this.speed.baseline;
		const spellLeft = this.speed.slowPeriodLeft();
		return shouldDelayStart({work, slowdown, slowPeriodLeft: spellLeft, timeLeft}) ? spellLeft : 0;
	}

	// Outside of slow spells; a cold backend server takes longer all the time.
	private expectedWork({head, objective}: Attempt): Millis {
		const timeLeft = objective.timeLeft(this.parts.clock.now());
		const {work} = this.profiles.of(head.origin.route, timeLeft);
		return Math.max(1, work) * Math.max(this.speed.baseline, this.warmUpSlowdown);
	}

	private refusalFor(attempt: Attempt): RefusalReason | undefined {
		if (this.isDraining) {
			return RefusalReason.Draining;
		}

		if (this.target?.service !== attempt.head.service) {
			return RefusalReason.NoBackend;
		}

		const isHeld = this.parts.crashWatch.isHeld(attempt.head.fingerprint);
		return isHeld ? RefusalReason.Held : undefined;
	}

	private async send(
		attempt: Attempt,
		ticket: AdmissionRequest,
		waited: Millis,
	): Promise<AttemptResult> {
		const {target} = this;
		if (!target) {
			this.admission.release(ticket, false);
			return createRefused(RefusalReason.NoBackend);
		}

		const now = this.parts.clock.now();
		const slowdown = this.speed.slowdown(now);
		const isCrowded = this.crowding.isSaturated(this.inFlight.size + 1, this.limits.slots);
		this.inFlight.set(attempt, {ticket, startedAt: now, waited, slowdown, isCrowded});
		this.noteLevel();
		const result = await target.client.send(
			attempt,
			{check: () => this.checkBeforeWrite(attempt)},
			{
				onLoad: (load) => {
					this.readSpeed(load.slowdown);
				},
				onEnd: (end) => {
					this.end(attempt, end);
				},
			},
		);
		return result;
	}

	// Nothing lies between this check and the write, so a pause of the process cannot come between.
	private checkBeforeWrite(attempt: Attempt): RefusalReason | undefined {
		if (attempt.cancellation.isCanceled || attempt.deadline.isPast(this.parts.clock.now())) {
			return RefusalReason.DeadlinePassed;
		}

		if (this.isDraining) {
			return RefusalReason.Draining;
		}

		if (this.parts.crashWatch.isHeld(attempt.head.fingerprint)) {
			return RefusalReason.Held;
		}

		return this.ledger.markRan(attempt.id) ? undefined : RefusalReason.Fenced;
	}

	// Others are told when the backend server becomes full or free again; answers tell the rest.
	private noteLevel(): void {
		const {inFlight, queued, slots} = this.admission.report();
		const share = (inFlight + queued) / Math.max(1, slots);
		if (this.isToldFull ? share <= freeShare : share >= 1) {
			this.isToldFull = !this.isToldFull;
			this.parts.onLoadChanged();
		}
	}

	private logRefused(attempt: Attempt, reason: RefusalReason): void {
		const {inFlight, queued, slots, slowdown} = this.report();
		this.parts.logger.log(logEvents.attemptRefused, {
			request: attempt.head.origin.requestId,
			reason,
			running: inFlight,
			queued,
			slots,
			slowdown: Math.round(slowdown * 100) / 100,
			speedAge: Math.round(this.speed.age(this.parts.clock.now())),
			timeLeft: Math.round(attempt.deadline.timeLeft(this.parts.clock.now())),
		});
	}

	private end(attempt: Attempt, {isFailure, isBroken}: BackendCallEnd): void {
		const running = this.inFlight.get(attempt);
		if (!running) {
			return;
		}

		const {ticket} = running;
		this.learn(attempt, running, isFailure);
		this.logEnded(attempt, running, isFailure, isBroken);

		if (isBroken) {
			const fingerprints = [...this.inFlight.keys()].map((other) => other.head.fingerprint);
			this.parts.crashWatch.recordBroken(fingerprints);
		} else if (!isFailure) {
			this.parts.crashWatch.recordAnswered(attempt.head.fingerprint);
		}

		this.inFlight.delete(attempt);
		this.admission.release(ticket, isFailure);
		this.noteLevel();
	}

	private learn(attempt: Attempt, running: Running, isFailure: boolean): void {
		const isWhole = !isFailure && !attempt.cancellation.isCanceled;
		if (!isWhole || !isUsualSpeed(running.slowdown) || this.warmUpSlowdown > 1) {
			return;
		}

		const ran = this.parts.clock.now() - running.startedAt;
		const {route} = attempt.head.origin;
		this.crowding.recordRun(running.isCrowded, ran, this.profiles.of(route, ran).work);
		if (!running.isCrowded) {
			this.profiles.add(route, ran, 0);
		}
	}

	private logEnded(
		attempt: Attempt,
		running: Running,
		isFailure: boolean,
		isBroken: boolean,
	): void {
		const now = this.parts.clock.now();
		this.parts.logger.log(logEvents.attemptEnded, {
			request: attempt.head.origin.requestId,
			route: attempt.head.origin.route,
			backend: this.target?.instance,
			isFailure,
			isBroken,
			isCanceled: attempt.cancellation.isCanceled,
			waited: Math.round(running.waited),
			ran: Math.round(now - running.startedAt),
			slowdownAtStart: Math.round(running.slowdown * 100) / 100,
			slowdownAtEnd: Math.round(this.speed.slowdown(now) * 100) / 100,
			running: this.inFlight.size,
			timeLeft: Math.round(attempt.deadline.timeLeft(now)),
		});
	}
}

function freshness(attempt: Attempt): Millis {
	return attempt.head.isIdempotent ? safeFreshness : unsafeFreshness;
}
