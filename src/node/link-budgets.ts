import {RegionBuckets, type TokenBucket} from '../budget/index.js';
import type {Clock} from '../clock/index.js';
import type {RevisionTracker} from '../declaration/index.js';
import type {Gossip, Member} from '../membership/index.js';
import {TrafficKind, type Metrics} from '../telemetry/index.js';

/** Collaborators of {@link LinkBudgets}. */
export interface LinkBudgetsDependencies {
	readonly clock: Clock;
	readonly metrics: Metrics;
	readonly revisions: RevisionTracker;
	/** @returns the membership. */
	gossip(): Gossip;
}

/** Counts and limits the control traffic on the links between regions. */
export class LinkBudgets {
	private readonly buckets: RegionBuckets;

	constructor(private readonly deps: LinkBudgetsDependencies) {
		this.buckets = new RegionBuckets(deps.clock);
	}

	/**
	 * @param member - member to probe.
	 * @returns whether the budget of the link to the region of the member allows a probe.
	 */
	mayProbe(member: Member): boolean {
		return (this.bucket(member.region)?.level ?? 1) > 0;
	}

	/**
	 * Charges sent control traffic to the budget of the link.
	 * @param to - id of the receiving member.
	 * @param bytes - bytes of control traffic sent.
	 */
	chargeControl(to: string, bytes: number): void {
		const region = this.deps.gossip().directory.get(to)?.region ?? 'unknown';
		this.deps.metrics.linkBytes.inc({region, kind: TrafficKind.Control}, bytes);
		this.bucket(region)?.charge(bytes);
	}

	private bucket(region: string): TokenBucket | undefined {
		const {localMember: account, directory} = this.deps.gossip();
		const link = this.deps.revisions.inForce?.link(account.region, region);
		const nodes = directory.countInRegion(account.region);
		return link && this.buckets.bucket(region, link.controlBytesPerSecond, nodes);
	}
}
