import {RefusalReason, type LoadReport, type ZoneReport} from '../call/index.js';
import {minute, second, type Clock, type Millis} from '../clock/index.js';
import {Mechanism, type DisabledMechanisms} from '../experiment/index.js';
import {Distance, distanceBetween, type Directory, type Member} from '../membership/index.js';
import type {ZoneFilter} from '../evacuation/index.js';
import type {Random} from '../random/index.js';
import {CallProfiles, isUsualSpeed} from './call-profiles.js';
import {ExecutorSampler} from './executor-sampler.js';
import {findExclusion} from './exclusions.js';
import {expectedLoss, expectedTime} from './expected-time.js';
import type {
	CandidateExplanation,
	Evaluation,
	LossParts,
	PlacementExplanation,
} from './explanation.js';
import {ExecutorViews, type ExecutorView} from './executor-view.js';
import {isPlaceRefusal, reasonWithoutExecutor} from './placement-reason.js';
import {ZoneDecisions, zoneOf, type SpilloverChange, type ZonePlan} from './zone-decisions.js';
import type {AttemptOutcome, Placement, PlacementQuery} from './placement.js';
import {transferTime} from './transfer-time.js';

/** Costs of transferring bytes between availability zones and regions. */
export interface TransferCosts {
	/** Cost per kilobyte to another availability zone; the unit is one answer of the lowest priority. */
	readonly otherZone: number;
	/** Cost per kilobyte to another region; the unit is one answer of the lowest priority. */
	readonly otherRegion: number;
}

/** Collaborators and settings of {@link ObjectivePlacement}. */
export interface ObjectivePlacementDependencies {
	readonly clock: Pick<Clock, 'now'>;
	readonly directory: Directory;
	readonly self: () => Member;
	readonly random: Random;
	/** Mechanisms that an experiment switches off. */
	readonly disabled?: DisabledMechanisms;
	readonly costs: TransferCosts;
	/** Evacuated availability zones; undefined for none. */
	readonly zones?: ZoneFilter;
	/** Bandwidth of the link of this VM, in Mbit/s; undefined if it is not known. */
	readonly linkRate?: number | undefined;
	/** @returns the priority of the least urgent requests. */
	readonly lowestPriority: () => number;
	/** Whether the share of calls that leaves the availability zone is decided; false by default. */
	readonly isSpilloverEnabled?: boolean;
	/** Called on notable changes of the share of calls that leaves the availability zone. */
	readonly onSpilloverChange?: (change: SpilloverChange) => void;
}

/** Network round-trip time of an attempt and its answer, by distance, in ms. */
const roundTrips: Readonly<Record<Distance, Millis>> = {
	[Distance.SameZone]: 1,
	[Distance.SameRegion]: 3.5,
	[Distance.OtherRegion]: 18,
};
/** Size of the headers and framing of a request and its answer. */
const overheadBytes = 700;
const kilobyte = 1000;
/** Size from which the transfer time of a body counts; smaller ones take less than run times vary. */
const minTransferBytes = 16_000;
/**
 * Half of the time constant with which the reported load from other ingresses decays, down to half of what
 * was reported; about the run time of a call.
 */
const loadDecayTime: Millis = 300;
/** Time constant of a reported slowdown; about the length of a slow period. */
const speedDecayTime: Millis = 500;
/** Time constant of a reported failure share; its decay lets a backend server that failed be tried again. */
const failureDecayTime: Millis = 4000;
/**
 * Upper bound of the loss for the transfer of a request's body: a backend server that answers in time is
 * worth the price of the body if the near ones almost certainly do not.
 */
const maxBodyLoss = 0.5;
/** Loss added to an executor that is to be avoided. */
const avoidLoss = 5;
/**
 * Loss for an expected time that is equal to the time left to the objective; prefers the faster of two
 * executors that answer in time.
 */
const timeLoss = 0.03;
/**
 * Multiple of the expected time of an attempt after which a hedge is considered, and multiple of the usual
 * run time of the call after which an attempt counts as overdue.
 */
const hedgeDelayFactor = 1.4;
/** Typical slowdown in a slow period. */
const slowPeriodSlowdown = 7;
/** Slowdown from which on an attempt counts as started in a slow period. */
const slowStartThreshold = 2;
/**
 * A slow period that is reported within this time after the start of an attempt had begun before the
 * start: half of the usual length of a slow period.
 */
const maxReportDelay: Millis = 250;
const minHedgeDelay: Millis = 30;
/** Minimum expected gain of a hedge, as it costs work and budget. */
const hedgeGain = 0.2;
/** Bounds of the retry delay that is reported to a refused caller. */
const minRetryDelay: Millis = 60;
const maxRetryDelay: Millis = 1000;
/**
 * Retry delay that is reported to a refused caller when there is no executor; shorter than a restart
 * (about 1 s).
 */
const noExecutorRetryDelay: Millis = 300;
/** Maximum time for which a call waits for an executor: absolute, and as a share of its time left. */
const maxExecutorWait: Millis = 400;
const executorWaitShare = 0.3;
const defaultSlots = 8;
/** Upper bound of the expected wait for a rate limit; longer than any call waits. */
const maxRateWait: Millis = minute;

/** Loss of the own callers of a zone that is short, when a call of another zone takes a slot there. */
const displacementLoss = 0.25;
/** Loss that a call may incur by leaving a zone that is short: what the calls behind it lose less. */
const leavingGain = 0.2;
/** Weight of one sample in the mean extra time of an executor, and its bounds relative to the work. */
const extraTimeWeight = 0.1;
const minExtraShare = -0.5;
const maxExtraShare = 2;

/**
 * Chooses the executor with the least expected loss, which combines the probability of a late answer
 * with the transfer cost. As load shifts within milliseconds, the reported speed and load of an
 * executor decay with their age.
 */
export class ObjectivePlacement implements Placement {
	/** Undefined if transfers have no cost, so that it does not matter where calls run. */
	readonly zones: ZoneDecisions | undefined;
	private readonly views = new ExecutorViews();
	private readonly profiles = new CallProfiles();
	private readonly executors: ExecutorSampler;
	/** Moving mean of the slowdowns that all executors report. */
	private meanSlowdown = 1;

	constructor(private readonly deps: ObjectivePlacementDependencies) {
		const maxEvaluated = deps.disabled?.has(Mechanism.ExecutorSampling)
			? Number.POSITIVE_INFINITY
			: undefined;
		this.executors = new ExecutorSampler(deps.directory, deps.self, deps.random, {
			maxSmallServiceSize: maxEvaluated,
			zones: deps.zones,
		});
		this.zones = this.createZones();
	}

	choose(query: PlacementQuery): Member | undefined {
		const plan = this.zones?.plan(query, this.profiles.of(query.kind, query.objective));
		const member = this.decide(query, plan)?.member;
		if (plan && member && zoneOf(member) !== zoneOf(this.deps.self())) {
			this.zones?.recordLeaving(query.service, zoneOf(member));
		}

		return member;
	}

	/**
	 * @param query - a call.
	 * @returns where {@link choose} would send the call now, and why. Of a large service, the choice evaluates a random
	 * sample only.
	 */
	explain(query: PlacementQuery): PlacementExplanation {
		const plan = this.zones?.preview(query);
		const chosen = this.decide(query, plan)?.member;
		const now = this.deps.clock.now();
		const candidates: CandidateExplanation[] = [];
		for (const member of this.deps.directory.ofService(query.service)) {
			const {time, loss, parts} = this.evaluate(query, member);
			const {id, region, zone} = member;
			const {load, reportedAt} = this.views.of(id);
			candidates.push({
				id,
				region,
				zone,
				exclusion: findExclusion(member, query, this.deps.zones),
				isZoneClosed: plan?.closed.has(zoneOf(member)) ?? false,
				time,
				loss,
				parts,
				reportAge: load && now - reportedAt,
			});
		}

		candidates.sort((a, b) => a.loss - b.loss);
		return {
			chosen: chosen?.id,
			refusal: chosen ? undefined : this.noExecutorReason(query),
			candidates,
			destination: plan?.destination,
			zones: this.zones?.figures(query.service),
		};
	}

	noExecutorReason(query: PlacementQuery): RefusalReason {
		const {directory, zones} = this.deps;
		return reasonWithoutExecutor(directory.ofService(query.service), query.allowedRegions, zones);
	}

	hedgeDelay(query: PlacementQuery, executor: Member): Millis | undefined {
		const {time} = this.evaluate(query, executor);
		return Math.max(minHedgeDelay, time * hedgeDelayFactor);
	}

	// An attempt that takes longer than expected has most likely started in a slow period, and so has one
	// whose executor reports a slow period just after the start.
	hedgeExecutor(query: PlacementQuery, executor: Member, elapsed: Millis): Member | undefined {
		const {work} = this.profiles.of(query.kind, query.objective);
		const usualTime = work + this.views.of(executor.id).extraTime;
		const isOverdue = elapsed > usualTime * hedgeDelayFactor;
		const slowdown =
			this.slowdownAtStart(executor, elapsed) ?? (isOverdue ? slowPeriodSlowdown : undefined);
		const other = slowdown === undefined ? undefined : this.findHedge(query);
		if (slowdown === undefined || !other) {
			return undefined;
		}

		const {objectiveLeft, timeLeft} = query;
		const expected = Math.max(work, work * slowdown - elapsed);
		const loss = expectedLoss({expected, objectiveLeft, timeLeft});
		return loss - other.loss > hedgeGain ? other.member : undefined;
	}

	// Executors are absent for about a second when their nodes restart, and callers have few retries.
	maxWaitForExecutor(query: PlacementQuery): Millis {
		const hasNoExecutor = this.noExecutorReason(query) === RefusalReason.NoBackend;
		const isWaiting = hasNoExecutor && !this.deps.disabled?.has(Mechanism.ExecutorWait);
		return isWaiting ? Math.min(maxExecutorWait, query.timeLeft * executorWaitShare) : 0;
	}

	retryAfterHint(query: PlacementQuery): Millis | undefined {
		let shortest: Millis | undefined;
		for (const member of this.executors.sample(query)) {
			const {time} = this.evaluate(query, member);
			shortest = Math.min(shortest ?? time, time);
		}

		// No restart of a backend server makes room for the call; the general retry delay is longer.
		if (shortest === undefined && isPlaceRefusal(this.noExecutorReason(query))) {
			return undefined;
		}

		return Math.min(maxRetryDelay, Math.max(minRetryDelay, shortest ?? noExecutorRetryDelay));
	}

	recordSent(_query: PlacementQuery, executor: Member): void {
		this.views.recordSent(executor.id, this.deps.clock.now());
	}

	recordEnded(query: PlacementQuery, executor: Member, outcome: AttemptOutcome): void {
		this.views.recordEnded(executor.id, outcome.sentAt);
		if (outcome.load) {
			this.updateProfile(query, executor, outcome, outcome.load);
			this.recordLoad(executor.id, outcome.load);
		}
	}

	/**
	 * Records a load report.
	 * @param id - the executor.
	 * @param load - the report; ignored if the executor has no slots.
	 */
	recordLoad(id: string, load: LoadReport): void {
		if (load.slots === 0) {
			return;
		}

		this.views.recordLoad(id, load, this.deps.clock.now());
		this.executors.recordReport(id);
		this.meanSlowdown += (load.slowdown - this.meanSlowdown) * 0.01;
	}

	transferTime({requestBytes}: PlacementQuery, executor: Member): Millis {
		const isLocal = executor.id === this.deps.self().id;
		if (isLocal || requestBytes < minTransferBytes) {
			return 0;
		}

		const {load} = this.views.of(executor.id);
		return transferTime(requestBytes, [this.deps.linkRate, load?.linkRate]);
	}

	/** @returns free share of the slots of the own zone for callers of other zones; see `LoadReport.zoneRoom`. */
	roomForOtherZones(): number | undefined {
		const {service} = this.deps.self();
		return service === '' ? undefined : this.zones?.room(service);
	}

	/**
	 * @param load - recent mean of the calls at the local executor, per slot.
	 * @param otherLoad - the part that other zones have sent.
	 * @returns what the local executor reports of its zone; undefined if no decision is made.
	 */
	reportZone(load: number, otherLoad: number): ZoneReport | undefined {
		return this.zones?.report(load, otherLoad);
	}

	/**
	 * @param instance - instance of a node.
	 * @returns whether the node is known and in another availability zone.
	 */
	isFromOtherZone(instance: string): boolean {
		const id = instance.split('#', 1)[0]!;
		const member = this.zones && this.deps.directory.get(id);
		return member !== undefined && zoneOf(member) !== zoneOf(this.deps.self());
	}

	avoid(id: string, duration: Millis): void {
		this.zones?.recordLoss(id);
		this.views.of(id).avoidUntil = this.deps.clock.now() + duration;
	}

	forget(id: string): void {
		this.views.forget(id);
	}

	private updateProfile(
		query: PlacementQuery,
		executor: Member,
		outcome: AttemptOutcome,
		load: LoadReport,
	): void {
		const before = this.views.of(executor.id).load?.slowdown ?? 1;
		const isUsual = isUsualSpeed(before) && isUsualSpeed(load.slowdown);
		if (isUsual && outcome.answerBytes !== undefined && !outcome.isFailure) {
			const roundTrip =
				roundTrips[distanceBetween(this.deps.self(), executor)] +
				this.transferTime(query, executor);
			const work = Math.max(1, this.deps.clock.now() - outcome.sentAt - roundTrip);
			this.updateExtraTime(query, executor, work);
			// Calls that leave take longer by the network, so that only those of the own zone show the work.
			const isElsewhere = distanceBetween(this.deps.self(), executor) !== Distance.SameZone;
			if (!(isElsewhere && this.zones?.hasOwnExecutor(query.service))) {
				this.profiles.add(query.kind, work, outcome.answerBytes);
			}
		}
	}

	// Without a decision on zones, the times of all executors make one mean.
	private updateExtraTime(query: PlacementQuery, executor: Member, time: Millis): void {
		if (this.zones) {
			const {work} = this.profiles.of(query.kind, query.objective);
			const extra = Math.min(work * maxExtraShare, Math.max(work * minExtraShare, time - work));
			const view = this.views.of(executor.id);
			view.extraTime += (extra - view.extraTime) * extraTimeWeight;
		}
	}

	private createZones(): ZoneDecisions | undefined {
		const {clock, directory, self, costs, disabled, onSpilloverChange} = this.deps;
		const {isSpilloverEnabled = false} = this.deps;
		const isCostly = costs.otherZone > 0 || costs.otherRegion > 0;
		if (!isCostly || !isSpilloverEnabled || disabled?.has(Mechanism.ZoneSpillover)) {
			return undefined;
		}

		return new ZoneDecisions({
			clock,
			directory,
			self,
			views: this.views,
			roundTripOf: (distance) => roundTrips[distance],
			transferLoss: (...transfer) => this.transferLoss(...transfer),
			onChange: onSpilloverChange,
		});
	}

	// The choice of an executor; nothing is recorded.
	private decide(query: PlacementQuery, plan: ZonePlan | undefined): Evaluation | undefined {
		if (!plan) {
			return this.findBest(query);
		}

		const {destination, closed} = plan;
		const best = this.findBest(query, (member) => !closed.has(zoneOf(member)));
		if (!best) {
			return this.findBest(query);
		}

		const isAtHome = zoneOf(best.member) === zoneOf(this.deps.self());
		const other =
			destination !== undefined && isAtHome
				? this.findBest(query, (member) => zoneOf(member) === destination)
				: undefined;
		return other && other.loss < best.loss + leavingGain ? other : best;
	}

	private findHedge(query: PlacementQuery): Evaluation | undefined {
		if (!this.zones?.isLimited(query.service)) {
			return this.findBest(query);
		}

		const ownZone = zoneOf(this.deps.self());
		return this.findBest(query, (member) => zoneOf(member) === ownZone) ?? this.findBest(query);
	}

	private findBest(
		query: PlacementQuery,
		isIncluded?: (member: Member) => boolean,
	): Evaluation | undefined {
		let best: Evaluation | undefined;
		for (const member of this.executors.sample(query, isIncluded)) {
			const evaluation = this.evaluate(query, member);
			if (!best || evaluation.loss < best.loss) {
				best = evaluation;
			}
		}

		return best;
	}

	private evaluate(query: PlacementQuery, member: Member): Evaluation {
		const {disabled} = this.deps;
		const now = this.deps.clock.now();
		const view = this.views.of(member.id);
		const distance = distanceBetween(this.deps.self(), member);
		const profile = this.profiles.of(query.kind, query.objective);
		const time = expectedTime({
			work: profile.work,
			slowdown: this.slowdownOf(view, now),
			load: loadOf(view, now),
			slots: view.load?.slots ?? (member.slots > 0 ? member.slots : defaultSlots),
			roundTrip: roundTrips[distance] + view.extraTime + this.transferTime(query, member),
			rateWait: disabled?.has(Mechanism.RateReport) ? 0 : rateWaitOf(view, now),
		});
		const {objectiveLeft, timeLeft} = query;
		const bytes = overheadBytes + profile.answerBytes;
		const bodyLoss = this.transferLoss(distance, query.requestBytes, query.priority);
		const parts: LossParts = {
			lateness: expectedLoss({expected: time, objectiveLeft, timeLeft}),
			transfer:
				this.transferLoss(distance, bytes, query.priority) + Math.min(maxBodyLoss, bodyLoss),
			time: (timeLoss * time) / Math.max(1, objectiveLeft),
			failure: disabled?.has(Mechanism.FailureLoss) ? 0 : failureLoss(view, now),
			avoided: now < view.avoidUntil ? avoidLoss : 0,
			shortZone: this.zones?.isShort(member) ? displacementLoss : 0,
		};
		const {lateness, transfer, failure, avoided, shortZone} = parts;
		const loss = lateness + transfer + parts.time + failure + avoided + shortZone;
		return {member, time, loss, parts};
	}

	// A report from before the start was already considered when the executor was chosen.
	private slowdownAtStart({id}: Member, elapsed: Millis): number | undefined {
		const {load, reportedAt} = this.views.of(id);
		const startedAt = this.deps.clock.now() - elapsed;
		const isSoonAfter = reportedAt > startedAt && reportedAt - startedAt <= maxReportDelay;
		return load && isSoonAfter && load.slowdown >= slowStartThreshold ? load.slowdown : undefined;
	}

	private transferLoss(distance: Distance, bytes: number, priority: number): number {
		const {costs, lowestPriority, disabled} = this.deps;
		if (disabled?.has(Mechanism.TransferLoss)) {
			return 0;
		}

		const value = 1 + Math.max(0, lowestPriority() - priority);
		switch (distance) {
			case Distance.SameZone: {
				return 0;
			}

			case Distance.SameRegion: {
				return (costs.otherZone * bytes) / kilobyte / value;
			}

			case Distance.OtherRegion: {
				return (costs.otherRegion * bytes) / kilobyte / value;
			}
		}
	}

	private slowdownOf(view: ExecutorView, now: Millis): number {
		if (!view.load) {
			return this.meanSlowdown;
		}

		const freshness = Math.exp(-(now - view.reportedAt) / speedDecayTime);
		return this.meanSlowdown + (view.load.slowdown - this.meanSlowdown) * freshness;
	}
}

// The load from other ingresses decays; the ingress knows its own attempts without a report.
function loadOf(view: ExecutorView, now: Millis): number {
	if (!view.load) {
		return view.outstanding;
	}

	const {inFlight, queued} = view.load;
	const others = Math.max(0, inFlight + queued - view.outstandingAtReport);
	const freshness = Math.exp(-(now - view.reportedAt) / (2 * loadDecayTime));
	return view.outstanding + others * (0.5 + 0.5 * freshness);
}

// Calls of other ingresses since the report are not known; the executor refuses those beyond the limit.
function rateWaitOf(
	{load, reportedAt, outstanding, outstandingAtReport}: ExecutorView,
	now: Millis,
): Millis {
	if (load?.rateLimit === undefined) {
		return 0;
	}

	const sent = Math.max(0, outstanding - outstandingAtReport);
	const startInterval = load.rateLimit > 0 ? second / load.rateLimit : maxRateWait;
	const wait = (load.untilStart ?? 0) + sent * startInterval - (now - reportedAt);
	return Math.min(maxRateWait, Math.max(0, wait));
}

function failureLoss(view: ExecutorView, now: Millis): number {
	if (!view.load) {
		return 0;
	}

	return view.load.failureShare * Math.exp(-(now - view.reportedAt) / failureDecayTime);
}
