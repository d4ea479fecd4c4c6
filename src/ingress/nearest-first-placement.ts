import {RegionBuckets, type TokenBucket} from '../budget/index.js';
import {RefusalReason} from '../call/index.js';
import type {Clock, Millis} from '../clock/index.js';
import type {RevisionTracker} from '../declaration/index.js';
import type {ZoneFilter} from '../evacuation/index.js';
import {Distance, distanceBetween, type Gossip, type Member} from '../membership/index.js';
import {
	findCandidates,
	isOtherRegionNeeded,
	isPlaceRefusal,
	reasonWithoutExecutor,
	type AttemptOutcome,
	type ExpectedWaitPolicy,
	type Placement,
	type PlacementQuery,
} from '../routing/index.js';
import {HedgeDelayEstimator} from './hedge-delay-estimator.js';

export interface NearestFirstDependencies {
	readonly clock: Clock;
	readonly gossip: Gossip;
	readonly routing: ExpectedWaitPolicy;
	readonly revisions: Pick<RevisionTracker, 'inForce'>;
	/** Evacuated availability zones; undefined for none. */
	readonly zones?: ZoneFilter;
}

/** Estimated size in bytes of the heads and framing of a call and its answer. */
const callOverheadBytes = 600;
const noneExcluded: ReadonlySet<string> = new Set();

/**
 * Keeps calls within the region as long as their deadline allows it, and uses the paid link to another
 * region only within its declared budget.
 */
export class NearestFirstPlacement implements Placement {
	private readonly linkBudgets: RegionBuckets;
	private readonly hedgeDelays = new HedgeDelayEstimator();

	constructor(private readonly deps: NearestFirstDependencies) {
		this.linkBudgets = new RegionBuckets(deps.clock);
	}

	choose(query: PlacementQuery): Member | undefined {
		const {gossip, routing, zones} = this.deps;
		const {timeLeft} = query;
		const candidates = findCandidates(gossip.directory, gossip.localMember, query, zones);
		const isNearEnough =
			candidates.near.length > 0 &&
			!isOtherRegionNeeded(routing.bestExpectedTime(candidates.near), timeLeft);
		if (isNearEnough) {
			return routing.choose({candidates: candidates.near, timeLeft});
		}

		const all = [...candidates.near, ...this.withinLinkBudget(query, candidates.far)];
		return all.length > 0 ? routing.choose({candidates: all, timeLeft}) : undefined;
	}

	noExecutorReason(query: PlacementQuery): RefusalReason {
		const {gossip, zones} = this.deps;
		const members = gossip.directory.ofService(query.service);
		const reason = reasonWithoutExecutor(members, query.allowedRegions, zones);
		if (isPlaceRefusal(reason)) {
			return reason;
		}

		const untried = {...query, excluded: noneExcluded};
		const {far} = findCandidates(gossip.directory, gossip.localMember, untried, zones);
		const isBlockedByBudget = this.isOtherRegionAllowed(query) && far.length > 0;
		return isBlockedByBudget ? RefusalReason.LinkBudget : RefusalReason.NoBackend;
	}

	hedgeDelay(query: PlacementQuery): Millis | undefined {
		return this.hedgeDelays.delayFor(query.service);
	}

	hedgeExecutor(query: PlacementQuery): Member | undefined {
		return this.choose(query);
	}

	maxWaitForExecutor(): Millis {
		return 0;
	}

	retryAfterHint(): Millis | undefined {
		return undefined;
	}

	recordSent(query: PlacementQuery, executor: Member): void {
		this.deps.routing.recordSent(executor.id);
		if (distanceBetween(this.deps.gossip.localMember, executor) === Distance.OtherRegion) {
			this.linkBudget(executor)?.charge(callOverheadBytes + query.requestBytes);
		}
	}

	recordEnded(query: PlacementQuery, executor: Member, outcome: AttemptOutcome): void {
		this.deps.routing.recordEnded(executor.id, outcome.sentAt, outcome.load);
		if (outcome.answerBytes !== undefined) {
			this.hedgeDelays.add(query.service, this.deps.clock.now() - outcome.sentAt);
		}
	}

	avoid(id: string, duration: Millis): void {
		this.deps.routing.avoid(id, duration);
	}

	forget(id: string): void {
		this.deps.routing.forget(id);
	}

	private isOtherRegionAllowed(query: PlacementQuery): boolean {
		return this.deps.revisions.inForce?.service(query.service)?.isOtherRegionAllowed ?? false;
	}

	private withinLinkBudget(query: PlacementQuery, far: readonly Member[]): Member[] {
		if (!this.isOtherRegionAllowed(query)) {
			return [];
		}

		return far.filter((member) => (this.linkBudget(member)?.level ?? 1) > 0);
	}

	private linkBudget(member: Member): TokenBucket | undefined {
		const {localMember: account, directory} = this.deps.gossip;
		const link = this.deps.revisions.inForce?.link(account.region, member.region);
		const nodes = directory.countInRegion(account.region);
		return link && this.linkBudgets.bucket(member.region, link.callBytesPerSecond, nodes);
	}
}
