import {
	Admission,
	BackendSpeed,
	CombinedStartLimit,
	LoadAverage,
	RateLimit,
	Saturation,
	shouldDelayStart,
	type AdmissionLimits,
	type AdmissionRequest,
	type ColdLimit,
} from '../backend/index.js';
import {
	AttemptLedger,
	RefusalReason,
	type AttemptId,
	type AttemptState,
	type LoadReport,
	type RequestHead,
	type ZoneReport,
} from '../call/index.js';
import {minute, second, type Clock, type Millis, type Undo} from '../clock/index.js';
import {
	AttemptEnd,
	createRefused,
	type Attempt,
	type AttemptResult,
	type AttemptRunner,
} from '../exchange/index.js';
import {Mechanism, type DisabledMechanisms} from '../experiment/index.js';
import {CallProfiles, isScalableSpeed, isUsualSpeed, transferTime} from '../routing/index.js';
import {logEvents, type Logger, type Metrics} from '../telemetry/index.js';
import {withResolvers} from '../util/index.js';
import type {AnswerReport} from './answer-check.js';
import type {BackendCallEnd} from './backend-call.js';
import type {BackendSender, BackendTarget} from './backend-client.js';
import type {BackendNotice} from './backend-protocol.js';
import {headerValue} from './headers.js';

/** Holds back requests that have crashed backend servers. */
export interface CrashWatch {
	/**
	 * @param fingerprint - fingerprint of a request.
	 * @returns whether the request is held back and must not run now.
	 */
	isHeld(fingerprint: string): boolean;
	/**
	 * Records that a request was answered and so did not crash the backend server.
	 * @param fingerprint - fingerprint of the request.
	 */
	recordAnswered(fingerprint: string): void;
	/**
	 * Records that a connection to the backend server was lost before the answer was complete.
	 * @param fingerprints - fingerprints of all requests that were in flight at that time.
	 */
	recordBroken(fingerprints: readonly string[]): void;
}

/** Decision about the attempts that nodes of other availability zones send here. */
export interface ZoneGuard {
	/**
	 * @param instance - instance of the node that has sent an attempt.
	 * @returns whether the node is in another availability zone.
	 */
	isFromOtherZone(instance: string): boolean;
	/**
	 * @returns free share of the slots of the own zone for callers of other zones, -1 while the zone is short;
	 * undefined if no decision is made.
	 */
	roomForOtherZones(): number | undefined;
	/**
	 * Records the load of the local executor.
	 * @param load - recent mean of its calls per slot.
	 * @param otherLoad - the part of other zones.
	 * @returns what is reported of the zone; undefined if no decision is made.
	 */
	reportZone(load: number, otherLoad: number): ZoneReport | undefined;
}

export interface ExecutorDependencies {
	readonly clock: Clock;
	readonly metrics: Metrics;
	readonly logger: Logger;
	readonly crashWatch: CrashWatch;
	/** Bounds the requests to a cold backend server; undefined if the deployment sets no bound. */
	readonly coldLimit?: ColdLimit | undefined;
	/** Bandwidth of the link of this VM, in Mbit/s; undefined if it is not known. */
	readonly linkRate?: number | undefined;
	/** Mechanisms that an experiment switches off. */
	readonly disabled?: DisabledMechanisms;
	/** Undefined if all attempts are treated alike, wherever they come from. */
	readonly zoneGuard?: ZoneGuard | undefined;
	/** @returns a sender of requests to a backend server. */
	createSender(backend: BackendTarget): BackendSender;
	/**
	 * @param head - a request that has arrived or is about to be sent to the backend server.
	 * @returns why it may not run in this region or availability zone; undefined if it may.
	 */
	checkPlace?(head: RequestHead): RefusalReason | undefined;
	/** Called when the backend server accepts no connections or another one listens at its address. */
	onBackendUnreachable(): void;
	/**
	 * Called once when the backend server says in an answer that it leaves.
	 * @param instance - its instance.
	 */
	onBackendLeaving(instance: string): void;
	/**
	 * Called when the backend server says in an answer how long it is still cold.
	 * @param left - remaining cold time, in ms; 0 if it is not cold.
	 * @param sentAt - monotonic time in ms at which the request was sent.
	 */
	onColdReport?(left: Millis, sentAt: Millis): void;
	/** Called when the load has changed enough to be broadcast to other nodes. */
	onLoadChanged(): void;
	/**
	 * Queries the current speed of the backend server, if it supports this.
	 * @returns a promise that resolves with the answer or a time-out.
	 */
	probeSpeed(): Promise<void>;
}

type Target = {
	readonly sender: BackendSender;
	readonly service: string;
	readonly instance: string;
	isLeaving: boolean;
};
type RunningAttempt = {
	request: AdmissionRequest;
	startedAt: Millis;
	waited: Millis;
	slowdown: number;
	isSaturated: boolean;
};

/** Value of the metric while the backend server names no limit. */
const noRateLimit = -1;
const sweepInterval: Millis = 20;
/** Time past the deadline of an attempt after which it is canceled here, if its ingress has not canceled it. */
const overdueTime: Millis = second;
const expiryInterval: Millis = 1000;
/** Maximum age of a speed sample for a call that is not idempotent, as it cannot be hedged elsewhere. */
const maxSpeedAgeNonIdempotent: Millis = 40;
/** Maximum age of a speed sample for an idempotent call, which can be hedged elsewhere. */
const maxSpeedAgeIdempotent: Millis = 150;
/** Maximum age of a speed sample while calls are held until the end of a slow period. */
const maxSpeedAgeWhileHolding: Millis = 30;
/** Ratio of two slowdowns above which the change is reported to the callers' nodes. */
const minReportedSpeedRatio = 1.5;
/**
 * Upper bound of the expected work as a share of the objective: a call that has just arrived counts as one
 * that can be in time. A higher estimate would hold back every call.
 */
const maxWorkShare = 0.75;
/** How long load reports tell the bandwidth of the link after a streamed body has arrived. */
const linkReportTime: Millis = minute;
/** Room of the own zone below which attempts of other zones are refused unless a slot is free for them. */
const minRoomForOtherZones = -0.9;
/** Load per slot up to which an attempt of another zone takes no slot that own callers need at once. */
const otherZoneLoadShare = 0.6;
/** Load per slot at or below which a backend server that was reported as full is reported as free. */
const freeLoadShare = 0.8;

/**
 * Runs attempts on the node's own backend server. Only the executor can establish that an attempt was
 * not run.
 */
export class Executor implements AttemptRunner {
	private readonly ledger = new AttemptLedger();
	private readonly admission: Admission;
	private readonly speed = new BackendSpeed();
	private readonly profiles = new CallProfiles();
	private readonly saturation = new Saturation();
	private limits: AdmissionLimits = {slots: 1, queue: 0};
	private readonly inFlight = new Map<Attempt, RunningAttempt>();
	private target: Target | undefined;
	private readonly rateLimit: RateLimit;
	/** Backend server that the rate limit applies to; it may be detached for a while. */
	private limitedInstance: string | undefined;
	private isDraining = false;
	private isSweeping = false;
	private isReportedFull = false;
	private otherZoneCalls = 0;
	private readonly loadAverage = new LoadAverage();
	private readonly otherLoadAverage = new LoadAverage();
	private lastRequestAt = Number.NEGATIVE_INFINITY;
	private lastStreamAt = Number.NEGATIVE_INFINITY;
	private warmUpSlowdown = 1;

	constructor(private readonly deps: ExecutorDependencies) {
		this.rateLimit = new RateLimit(deps.clock);
		const {rateLimit} = this;
		const limit = deps.coldLimit ? new CombinedStartLimit([rateLimit, deps.coldLimit]) : rateLimit;
		this.admission = new Admission(deps.clock, this.limits, deps.disabled, limit);
		deps.metrics.rateLimit.set(noRateLimit);
		deps.clock.repeat(expiryInterval, () => {
			this.ledger.expire(deps.clock.now());
		});
	}

	/** Number of calls that run or are queued. */
	get callCount(): number {
		return this.admission.inFlight + this.admission.queued;
	}

	/** Age of the last speed sample of the backend server, in ms. */
	get speedAge(): Millis {
		return this.speed.age(this.deps.clock.now());
	}

	/** Time since the last attempt arrived, in ms. */
	get idleTime(): Millis {
		return this.deps.clock.now() - this.lastRequestAt;
	}

	/** Whether the backend server names a rate limit. */
	get isLimited(): boolean {
		return this.rateLimit.rate !== undefined;
	}

	/** Service of the backend server; undefined while there is none. */
	get service(): string | undefined {
		return this.target?.service;
	}

	/**
	 * Attaches a backend server that has announced itself.
	 * @param backend - its endpoint, instance and connection limit.
	 * @param service - the service that it provides.
	 */
	attach(backend: BackendTarget, service: string): void {
		const sender = this.deps.createSender(backend);
		const {instance} = backend;
		if (instance !== this.limitedInstance) {
			this.limitedInstance = instance;
			this.rateLimit.lift();
			this.deps.metrics.rateLimit.set(noRateLimit);
		}

		this.target = {sender, service, instance, isLeaving: false};
		this.isDraining = false;
	}

	/** Detaches the backend server. Calls in flight end with their connections, queued ones are refused. */
	detach(): void {
		this.target?.sender.close();
		this.target = undefined;
		this.admission.refuseQueue(RefusalReason.NoBackend);
	}

	/**
	 * @param slots - number of calls that may run concurrently.
	 * @param queue - number of calls that may be queued.
	 */
	setLimits(slots: number, queue: number): void {
		this.limits = {slots, queue};
		const isLimited = !this.deps.disabled?.has(Mechanism.SaturationLimit);
		const limit = isLimited ? this.saturation.limit(slots, this.deps.clock.now()) : slots;
		this.admission.setLimits({slots: limit, queue});
	}

	/**
	 * @param slowdown - factor by which calls take longer than usual because the backend server has just
	 * started; 1 when it is warm.
	 */
	setWarmUp(slowdown: number): void {
		this.warmUpSlowdown = slowdown;
	}

	/**
	 * Refuses the queued calls, which may go elsewhere; running calls are completed.
	 * @param reason - why they may not run here.
	 */
	refuseQueue(reason: RefusalReason): void {
		this.admission.refuseQueue(reason);
	}

	/** Refuses new and queued calls; running calls are completed. */
	drain(): void {
		this.isDraining = true;
		this.admission.refuseQueue(RefusalReason.Draining);
	}

	/** @returns the current load of the backend server. */
	report(): LoadReport {
		const slowdown = Math.max(this.speed.slowdown(this.deps.clock.now()), this.warmUpSlowdown);
		const {linkRate} = this.deps;
		const isReporting =
			linkRate !== undefined && this.deps.clock.now() - this.lastStreamAt < linkReportTime;
		return {
			...this.admission.report(),
			slowdown,
			...(isReporting && {linkRate}),
			...this.reportZone(),
		};
	}

	/**
	 * @param id - id of an attempt.
	 * @returns the state of the attempt. An attempt that has not run is fenced, so that it never will.
	 */
	queryAndFence(id: AttemptId): AttemptState {
		return this.ledger.queryAndFence(id, this.deps.clock.now());
	}

	/**
	 * @param requestId - id of a request.
	 * @returns whether the id extends the id of a request that runs here, as the ids of nested calls do.
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
	 * Records a speed sample that the backend server has reported.
	 * @param slowdown - factor by which calls take longer than usual.
	 */
	readSpeed(slowdown: number): void {
		const now = this.deps.clock.now();
		const before = this.speed.slowdown(now);
		this.speed.addReading(slowdown, now);
		this.admission.dispatch();
		if (Math.max(before / slowdown, slowdown / before) > minReportedSpeedRatio) {
			this.deps.onLoadChanged();
		}
	}

	/**
	 * Records what the backend server says of itself.
	 * @param instance - instance that has answered.
	 * @param notice - the notice in its answer.
	 * @param sentAt - monotonic time in ms at which the request was sent.
	 */
	readNotice(instance: string, notice: BackendNotice, sentAt: Millis): void {
		const {target} = this;
		if (target?.instance !== instance) {
			return;
		}

		if (notice.isLeaving && !target.isLeaving) {
			target.isLeaving = true;
			this.deps.logger.log(logEvents.backendLeaving, {instance, running: this.inFlight.size});
			this.deps.onBackendLeaving(instance);
		}

		if (notice.coldLeft !== undefined) {
			this.deps.onColdReport?.(notice.coldLeft, sentAt);
		}

		const previous = this.rateLimit.rate;
		if (this.rateLimit.recordAnswer(notice.rateLimit, sentAt)) {
			this.applyRateLimit(instance, previous);
		}
	}

	async run(attempt: Attempt): Promise<AttemptResult> {
		this.lastRequestAt = this.deps.clock.now();
		this.lastStreamAt = attempt.body.stream ? this.lastRequestAt : this.lastStreamAt;
		const otherZoneCall = this.isFromOtherZone(attempt) ? 1 : 0;
		this.otherZoneCalls += otherZoneCall;
		const pending = this.admit(attempt);
		this.recordAverages();
		const result = await pending;
		this.otherZoneCalls -= otherZoneCall;
		this.recordAverages();
		if (result.end === AttemptEnd.Refused) {
			const {reason} = result;
			if (reason === RefusalReason.BackendUnreachable || reason === RefusalReason.BackendReplaced) {
				this.deps.onBackendUnreachable();
			}

			this.ledger.markRefused(attempt.id);
			this.deps.metrics.attemptRefusals.inc({reason});
			this.logRefused(attempt, reason);
			return {...result, load: this.report()};
		}

		return result.end === AttemptEnd.Answered ? {...result, load: this.report()} : result;
	}

	private reportZone(): Pick<LoadReport, 'zone'> {
		const now = this.deps.clock.now();
		const load = this.loadAverage.at(now);
		const zone = this.deps.zoneGuard?.reportZone(load, this.otherLoadAverage.at(now));
		return zone ? {zone} : {};
	}

	private recordAverages(): void {
		if (this.deps.zoneGuard) {
			const now = this.deps.clock.now();
			const slots = Math.max(1, this.limits.slots);
			this.loadAverage.record(this.callCount / slots, now);
			this.otherLoadAverage.record(this.otherZoneCalls / slots, now);
		}
	}

	// Nothing of the body has been read yet. An attempt that cannot go elsewhere competes like those of own callers.
	private zoneRefusal(attempt: Attempt): RefusalReason | undefined {
		if (!attempt.canRetryElsewhere || !this.isFromOtherZone(attempt)) {
			return undefined;
		}

		const room = this.deps.zoneGuard?.roomForOtherZones() ?? 0;
		const {inFlight, queued, slots} = this.admission.report();
		const hasSlot = inFlight + queued + 1 <= slots * otherZoneLoadShare;
		return room < minRoomForOtherZones && !hasSlot ? RefusalReason.ZoneShort : undefined;
	}

	private isFromOtherZone({id}: Attempt): boolean {
		return this.deps.zoneGuard?.isFromOtherZone(id.instance) ?? false;
	}

	private async admit(attempt: Attempt): Promise<AttemptResult> {
		if (!this.ledger.admit(attempt.id, this.deps.clock.now())) {
			return createRefused(RefusalReason.Fenced);
		}

		const reason = this.refusalReason(attempt);
		if (reason !== undefined) {
			return createRefused(reason);
		}

		const isProbing = !this.deps.disabled?.has(Mechanism.SpeedProbe);
		if (isProbing && this.speedAge > maxSpeedAge(attempt)) {
			await this.deps.probeSpeed();
		}

		return this.enterQueue(attempt);
	}

	private async enterQueue(attempt: Attempt): Promise<AttemptResult> {
		const reason = this.refusalReason(attempt);
		if (reason !== undefined) {
			return createRefused(reason);
		}

		const {promise, resolve} = withResolvers<AttemptResult>();
		const requestedAt = this.deps.clock.now();
		const request: AdmissionRequest = {
			priority: attempt.head.origin.priority,
			objective: attempt.objective,
			work: this.expectedWork(attempt),
			transferTime: this.transferTime(attempt),
			customer: attempt.head.customer,
			isNested: attempt.head.origin.isNested,
			share: attempt.share,
			deadline: attempt.deadline,
			canRetryElsewhere: attempt.canRetryElsewhere,
			startDelay: () => this.holdTime(attempt),
			start: () => {
				const waited = this.deps.clock.now() - requestedAt;
				void this.send(attempt, request, waited).then(resolve);
			},
			refuse(refusal) {
				resolve(createRefused(refusal));
			},
		};
		attempt.cancellation.registerListener(() => {
			if (this.admission.withdraw(request)) {
				resolve(createRefused(RefusalReason.DeadlinePassed));
			}
		});
		this.admission.submit(request);
		this.scheduleSweep();
		return promise;
	}

	// The timer runs only while calls are queued, so that an idle node uses almost no CPU time.
	private scheduleSweep(): void {
		if (this.isSweeping || this.admission.queued === 0) {
			return;
		}

		this.isSweeping = true;
		this.deps.clock.after(sweepInterval, () => {
			this.isSweeping = false;
			this.admission.dispatch();
			this.probeWhileSlow();
			this.scheduleSweep();
		});
	}

	// Frequent samples release held calls soon after a slow period has ended.
	private probeWhileSlow(): void {
		if (this.speed.isSlow && this.speedAge > maxSpeedAgeWhileHolding) {
			void this.deps.probeSpeed();
		}
	}

	private holdTime(attempt: Attempt): Millis {
		if (!this.speed.isSlow || this.deps.disabled?.has(Mechanism.StartDelay)) {
			return 0;
		}

		const work = this.expectedWork(attempt);
		const timeLeft = attempt.deadline.timeLeft(this.deps.clock.now());
		const slowdown = this.speed.lastSlowdown / this.speed.baseline;
		const remaining = this.speed.slowPeriodLeft();
		return shouldDelayStart({work, slowdown, slowPeriodLeft: remaining, timeLeft}) ? remaining : 0;
	}

	// Duration in ms expected outside of slow periods; a cold backend server is slower throughout its
	// warm-up.
	private expectedWork({head, objective}: Attempt): Millis {
		const timeLeft = objective.timeLeft(this.deps.clock.now());
		const {work} = this.profiles.of(head.origin.route, timeLeft);
		const expected = Math.max(1, work) * Math.max(this.speed.baseline, this.warmUpSlowdown);
		const longest = this.profiles.longestObjective(head.origin.route, timeLeft);
		return Math.min(expected, Math.max(1, longest * maxWorkShare));
	}

	// The link of the ingress is part of the time that the ingress expects.
	private transferTime({transferTime: expected, head}: Attempt): Millis {
		if (expected === undefined || expected === 0) {
			return 0;
		}

		const bytes = Number(headerValue(head.headers, 'content-length') ?? 0);
		const own = Number.isFinite(bytes) ? transferTime(bytes, [this.deps.linkRate]) : 0;
		return Math.max(expected, own);
	}

	private refusalReason(attempt: Attempt): RefusalReason | undefined {
		if (this.isDraining) {
			return RefusalReason.Draining;
		}

		if (this.target?.service !== attempt.head.service) {
			return RefusalReason.NoBackend;
		}

		const isHeld = this.deps.crashWatch.isHeld(attempt.head.fingerprint);
		return isHeld
			? RefusalReason.Held
			: (this.deps.checkPlace?.(attempt.head) ?? this.zoneRefusal(attempt));
	}

	private async send(
		attempt: Attempt,
		request: AdmissionRequest,
		waited: Millis,
	): Promise<AttemptResult> {
		const {target} = this;
		const {coldLimit} = this.deps;
		if (!target) {
			coldLimit?.recordUnsent();
			this.admission.release(request, false);
			return createRefused(RefusalReason.NoBackend);
		}

		const now = this.deps.clock.now();
		const slowdown = this.speed.slowdown(now);
		const isSaturated = this.saturation.isSaturated(this.inFlight.size + 1, this.limits.slots);
		this.inFlight.set(attempt, {request, startedAt: now, waited, slowdown, isSaturated});
		this.reportIfFullOrFree();
		const undoOverdue = this.cancelWhenOverdue(attempt);
		let sentAt: Millis | undefined;
		const result = await target.sender.send(
			attempt,
			{
				check: () => {
					const reason = this.checkBeforeWrite(attempt);
					sentAt = reason === undefined ? coldLimit?.recordSent() : sentAt;
					return reason;
				},
			},
			{
				onLoad: (load) => {
					this.readSpeed(load.slowdown);
				},
				onNotice: (notice) => {
					this.readNotice(target.instance, notice, now);
				},
				onEnd: (end) => {
					if (sentAt === undefined) {
						coldLimit?.recordUnsent();
					}

					undoOverdue();
					this.end(attempt, end);
				},
			},
		);
		const isReplaced =
			result.end === AttemptEnd.Refused && result.reason === RefusalReason.BackendReplaced;
		if (isReplaced && sentAt !== undefined) {
			coldLimit?.recordMisdirected(sentAt);
		}

		return result;
	}

	// The cancellation by the ingress is lost with a link that goes silent, and so is the answer on a silent connection to
	// the backend server. Without a bound of its own, the attempt would hold its slot for good.
	private cancelWhenOverdue(attempt: Attempt): Undo {
		const {clock, logger} = this.deps;
		const {requestId: request, route} = attempt.head.origin;
		return clock.after(attempt.deadline.timeLeft(clock.now()) + overdueTime, () => {
			logger.log(logEvents.attemptOverdue, {request, route, backend: this.target?.instance});
			attempt.cancellation.cancel();
		});
	}

	// Runs in the same event loop turn as the write of the first byte, with nothing in between, so that a
	// pause of the process cannot make a passed check stale.
	private checkBeforeWrite(attempt: Attempt): RefusalReason | undefined {
		if (attempt.cancellation.isCanceled || attempt.deadline.isPast(this.deps.clock.now())) {
			return RefusalReason.DeadlinePassed;
		}

		if (this.isDraining) {
			return RefusalReason.Draining;
		}

		if (this.deps.crashWatch.isHeld(attempt.head.fingerprint)) {
			return RefusalReason.Held;
		}

		const misplaced = this.deps.checkPlace?.(attempt.head);
		if (misplaced !== undefined) {
			return misplaced;
		}

		// It can have become cold while a connection for the request was opened.
		if (this.deps.coldLimit && !this.deps.coldLimit.maySend()) {
			return RefusalReason.BackendCold;
		}

		if (!this.ledger.markRan(attempt.id)) {
			return RefusalReason.Fenced;
		}

		this.deps.metrics.backendRequests.inc();
		return undefined;
	}

	// A change between full and free is broadcast; other changes reach callers with the load in answers.
	private reportIfFullOrFree(): void {
		const {inFlight, queued, slots} = this.admission.report();
		const share = (inFlight + queued) / Math.max(1, slots);
		if (this.isReportedFull ? share <= freeLoadShare : share >= 1) {
			this.isReportedFull = !this.isReportedFull;
			this.deps.onLoadChanged();
		}
	}

	private logRefused(attempt: Attempt, reason: RefusalReason): void {
		const {inFlight, queued, slots, slowdown} = this.report();
		this.deps.logger.log(logEvents.attemptRefused, {
			request: attempt.head.origin.requestId,
			reason,
			running: inFlight,
			queued,
			slots,
			slowdown: Math.round(slowdown * 100) / 100,
			speedAge: Math.round(this.speed.age(this.deps.clock.now())),
			timeLeft: Math.round(attempt.deadline.timeLeft(this.deps.clock.now())),
		});
	}

	private end(attempt: Attempt, end: BackendCallEnd): void {
		const {isFailure, isBroken} = end;
		const running = this.inFlight.get(attempt);
		if (!running) {
			return;
		}

		const {request} = running;
		this.recordRun(attempt, running, isFailure);
		this.logEnded(attempt, running, end);
		this.reportSpoiled(attempt, end.answer);

		if (isBroken) {
			const fingerprints = [...this.inFlight.keys()].map((other) => other.head.fingerprint);
			this.deps.crashWatch.recordBroken(fingerprints);
		} else if (!isFailure) {
			this.deps.crashWatch.recordAnswered(attempt.head.fingerprint);
		}

		this.inFlight.delete(attempt);
		this.admission.release(request, isFailure);
		this.reportIfFullOrFree();
	}

	private applyRateLimit(instance: string, previous: number | undefined): void {
		const {logger, metrics} = this.deps;
		const {rate} = this.rateLimit;
		metrics.rateLimit.set(rate ?? noRateLimit);
		if (rate === undefined) {
			logger.log(logEvents.backendLimitLifted, {instance, previous});
			this.admission.dispatch();
		} else {
			logger.log(logEvents.backendLimited, {instance, limit: rate, previous});
		}

		this.deps.onLoadChanged();
	}

	private recordRun(attempt: Attempt, running: RunningAttempt, isFailure: boolean): void {
		const isComplete = !isFailure && !attempt.cancellation.isCanceled;
		const slowdown = Math.max(running.slowdown, this.warmUpSlowdown);
		if (!isComplete || !isScalableSpeed(slowdown)) {
			return;
		}

		const elapsed = this.deps.clock.now() - running.startedAt;
		const ran = Math.max(1, elapsed - this.transferTime(attempt));
		const {route} = attempt.head.origin;
		if (!isUsualSpeed(slowdown)) {
			const isLearning = this.isCold && !this.deps.disabled?.has(Mechanism.ColdProfile);
			if (isLearning && !running.isSaturated) {
				this.profiles.add(route, ran / slowdown, 0);
			}

			return;
		}

		const {work} = this.profiles.of(route, 0);
		this.saturation.recordRun(running.isSaturated, ran, work);
		if (!running.isSaturated) {
			this.profiles.add(route, ran, 0);
		}
	}

	// A backend server that has just started, or is permanently slow.
	private get isCold(): boolean {
		return !isUsualSpeed(Math.max(this.speed.baseline, this.warmUpSlowdown));
	}

	private reportSpoiled({head, cancellation}: Attempt, answer: AnswerReport | undefined): void {
		if (answer?.defect === undefined || cancellation.isCanceled) {
			return;
		}

		const {requestId: request, route} = head.origin;
		const backend = this.target?.instance;
		this.deps.metrics.answersSpoiled.inc({defect: answer.defect});
		this.deps.logger.log(logEvents.answerSpoiled, {request, route, backend, ...answer});
	}

	private logEnded(
		attempt: Attempt,
		running: RunningAttempt,
		{isFailure, isBroken, answer}: BackendCallEnd,
	): void {
		const now = this.deps.clock.now();
		this.deps.logger.log(logEvents.attemptEnded, {
			request: attempt.head.origin.requestId,
			route: attempt.head.origin.route,
			backend: this.target?.instance,
			isFailure,
			isBroken,
			framing: answer?.framing,
			bytes: answer?.bytes,
			connection: answer?.connection,
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

function maxSpeedAge(attempt: Attempt): Millis {
	return attempt.head.isIdempotent ? maxSpeedAgeIdempotent : maxSpeedAgeNonIdempotent;
}
