import {RefusalReason, type LoadReport} from '../call/index.js';
import type {Clock, Millis} from '../clock/index.js';
import {
	Distance,
	distanceBetween,
	isRoutable,
	type Directory,
	type Member,
} from '../membership/index.js';
import type {Random} from '../random/index.js';
import {CallProfiles, isUsualSpeed} from './call-profiles.js';
import {ExecutorSampler} from './executor-sampler.js';
import {expectedLoss, expectedTime} from './expected-time.js';
import {ExecutorViews, type ExecutorView} from './executor-view.js';
import type {AttemptOutcome, Placement, PlacementQuery} from './placement.js';

/** What a way costs besides its time. */
export interface TransferCosts {
	/** Per kilobyte to another availability zone, in answers of the least urgent rank. */
	readonly otherZone: number;
	/** Per kilobyte to another region, in answers of the least urgent rank. */
	readonly otherRegion: number;
}

/** What a placement is made of. */
export interface ObjectivePlacementDependencies {
	readonly clock: Pick<Clock, 'now'>;
	readonly directory: Directory;
	readonly self: () => Member;
	readonly random: Random;
	readonly costs: TransferCosts;
	/** @returns the rank of the least urgent requests. */
	readonly lowestPriority: () => number;
}

/** Time that an attempt and its answer spend on the way, by distance, in ms. Source: the users' sheets. */
const roundTrips: Readonly<Record<Distance, Millis>> = {
	[Distance.SameZone]: 1,
	[Distance.SameRegion]: 3.5,
	[Distance.OtherRegion]: 18,
};
/** Bytes of head and framing of a request and its answer. */
const overheadBytes = 700;
const kilobyte = 1000;
/** A report of load says little about later than this; its run time is about as long. */
const loadMemory: Millis = 300;
/** Slow spells last about so long. Source: the users' description of their hosts. */
const speedMemory: Millis = 500;
/** A failure share is believed for so long, so that a backend server that failed is tried again. */
const failureMemory: Millis = 4000;
/** Loss that an executor to avoid is given. */
const avoidLoss = 5;
/** Loss for each objective's length of expected time: the faster of two that are in time is taken. */
const timeLoss = 0.03;
/** A second attempt is weighed once the first has taken so many times longer than expected. */
const hedgePatience = 1.4;
/** How many times longer work takes in a slow spell. Source: the users' sheets. */
const slowSpell = 7;
/** Slowdown from which on an attempt counts as slow from its start. */
const slowStart = 2;
/** A spell that is told so soon after a start was there at the start: half of a spell's usual length. */
const sameSpell: Millis = 250;
const leastHedgeDelay: Millis = 30;
/** Gain of value that a second attempt must promise, as it costs work and budget. */
const hedgeGain = 0.2;
/** Bounds of what a refused caller is told to wait, in ms. */
const leastRoomDelay: Millis = 60;
const mostRoomDelay: Millis = 1000;
/** What a refused caller is told to wait when no executor is there: a restart takes about that long. */
const absenceDelay: Millis = 300;
/** How long a call waits for an executor at the most, and as a share of its time left. */
const mostPatience: Millis = 400;
const patienceShare = 0.3;
const defaultSlots = 8;

type Judged = {readonly member: Member; readonly time: Millis; readonly loss: number};

/**
 * Chooses the executor at which a call loses the least: the chance that its answer is late, weighed
 * against what the bytes of the way cost. Answers load that shifts within milliseconds: what is
 * known of an executor's speed and load fades with its age.
 */
export class ObjectivePlacement implements Placement {
	private readonly views = new ExecutorViews();
	private readonly profiles = new CallProfiles();
	private readonly executors: ExecutorSampler;
	private usualSlowdown = 1;

	constructor(private readonly parts: ObjectivePlacementDependencies) {
		this.executors = new ExecutorSampler(parts.directory, parts.self, parts.random);
	}

	choose(query: PlacementQuery): Member | undefined {
		return this.best(query)?.member;
	}

	noExecutorReason(query: PlacementQuery): RefusalReason {
		for (const member of this.parts.directory.ofService(query.service)) {
			if (isRoutable(member)) {
				return RefusalReason.Busy;
			}
		}

		return RefusalReason.NoBackend;
	}

	hedgeDelay(query: PlacementQuery, executor: Member): Millis | undefined {
		const {time} = this.judge(query, executor);
		return Math.max(leastHedgeDelay, time * hedgePatience);
	}

	// An attempt that takes longer than expected has most likely started in a slow spell; so has one
	// whose executor tells of a spell just after the start.
	hedgeExecutor(query: PlacementQuery, executor: Member, elapsed: Millis): Member | undefined {
		const {work} = this.profiles.of(query.kind, query.objective);
		const isOverdue = elapsed > work * hedgePatience;
		const slowdown = this.slowdownAtStart(executor, elapsed) ?? (isOverdue ? slowSpell : undefined);
		const other = slowdown === undefined ? undefined : this.best(query);
		if (slowdown === undefined || !other) {
			return undefined;
		}

		const {objectiveLeft, timeLeft} = query;
		const expected = Math.max(work, work * slowdown - elapsed);
		const loss = expectedLoss({expected, objectiveLeft, timeLeft});
		return loss - other.loss > hedgeGain ? other.member : undefined;
	}

	// Executors are away for about a second when their nodes restart, and callers have few retries.
	maxWaitForExecutor(query: PlacementQuery): Millis {
		const isExpected = this.noExecutorReason(query) === RefusalReason.NoBackend;
		return isExpected ? Math.min(mostPatience, query.timeLeft * patienceShare) : 0;
	}

	retryAfterHint(query: PlacementQuery): Millis | undefined {
		let least: Millis | undefined;
		for (const member of this.executors.sample(query.service, query.excluded)) {
			const {time} = this.judge(query, member);
			least = Math.min(least ?? time, time);
		}

		return Math.min(mostRoomDelay, Math.max(leastRoomDelay, least ?? absenceDelay));
	}

	recordSent(_query: PlacementQuery, executor: Member): void {
		this.views.recordSent(executor.id, this.parts.clock.now());
	}

	recordEnded(query: PlacementQuery, executor: Member, news: AttemptOutcome): void {
		this.views.recordEnded(executor.id, news.sentAt);
		if (news.load) {
			this.learn(query, executor, news, news.load);
			this.recordLoad(executor.id, news.load);
		}
	}

	/**
	 * An executor has told its load.
	 * @param id - the executor.
	 * @param load - what it told.
	 */
	recordLoad(id: string, load: LoadReport): void {
		if (load.slots === 0) {
			return;
		}

		this.views.recordLoad(id, load, this.parts.clock.now());
		this.executors.recordReport(id);
		this.usualSlowdown += (load.slowdown - this.usualSlowdown) * 0.01;
	}

	avoid(id: string, span: Millis): void {
		this.views.of(id).avoidUntil = this.parts.clock.now() + span;
	}

	forget(id: string): void {
		this.views.forget(id);
	}

	private learn(
		query: PlacementQuery,
		executor: Member,
		news: AttemptOutcome,
		load: LoadReport,
	): void {
		const before = this.views.of(executor.id).load?.slowdown ?? 1;
		const isUsual = isUsualSpeed(before) && isUsualSpeed(load.slowdown);
		if (isUsual && news.answerBytes !== undefined && !news.isFailure) {
			const way = roundTrips[distanceBetween(this.parts.self(), executor)];
			const work = Math.max(1, this.parts.clock.now() - news.sentAt - way);
			this.profiles.add(query.kind, work, news.answerBytes);
		}
	}

	private best(query: PlacementQuery): Judged | undefined {
		let best: Judged | undefined;
		for (const member of this.executors.sample(query.service, query.excluded)) {
			const judged = this.judge(query, member);
			if (!best || judged.loss < best.loss) {
				best = judged;
			}
		}

		return best;
	}

	private judge(query: PlacementQuery, member: Member): Judged {
		const now = this.parts.clock.now();
		const view = this.views.of(member.id);
		const distance = distanceBetween(this.parts.self(), member);
		const profile = this.profiles.of(query.kind, query.objective);
		const time = expectedTime({
			work: profile.work,
			slowdown: this.slowdownOf(view, now),
			load: loadOf(view, now),
			slots: view.load?.slots ?? (member.slots > 0 ? member.slots : defaultSlots),
			roundTrip: roundTrips[distance],
		});
		const {objectiveLeft, timeLeft} = query;
		const lateness = expectedLoss({expected: time, objectiveLeft, timeLeft});
		const bytes = overheadBytes + query.requestBytes + profile.answerBytes;
		const loss =
			lateness +
			this.wayLoss(distance, bytes, query.priority) +
			(timeLoss * time) / Math.max(1, objectiveLeft) +
			failureLoss(view, now) +
			(now < view.avoidUntil ? avoidLoss : 0);
		return {member, time, loss};
	}

	// What an executor told before the start was known when it was chosen.
	private slowdownAtStart({id}: Member, elapsed: Millis): number | undefined {
		const {load, reportedAt} = this.views.of(id);
		const startedAt = this.parts.clock.now() - elapsed;
		const isSoonAfter = reportedAt > startedAt && reportedAt - startedAt <= sameSpell;
		return load && isSoonAfter && load.slowdown >= slowStart ? load.slowdown : undefined;
	}

	private wayLoss(distance: Distance, bytes: number, priority: number): number {
		const {costs, lowestPriority} = this.parts;
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
			return this.usualSlowdown;
		}

		const trust = Math.exp(-(now - view.reportedAt) / speedMemory);
		return this.usualSlowdown + (view.load.slowdown - this.usualSlowdown) * trust;
	}
}

// Work of other ingresses fades; an ingress need not be told of its own.
function loadOf(view: ExecutorView, now: Millis): number {
	if (!view.load) {
		return view.outstanding;
	}

	const {inFlight, queued} = view.load;
	const others = Math.max(0, inFlight + queued - view.outstandingAtReport);
	const trust = Math.exp(-(now - view.reportedAt) / (2 * loadMemory));
	return view.outstanding + others * (0.5 + 0.5 * trust);
}

function failureLoss(view: ExecutorView, now: Millis): number {
	if (!view.load) {
		return 0;
	}

	return view.load.failureShare * Math.exp(-(now - view.reportedAt) / failureMemory);
}
