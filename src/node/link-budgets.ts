import {RegionBuckets, type TokenBucket} from '../budget/index.js';
import type {Clock} from '../clock/index.js';
import type {RevisionTracker} from '../declaration/index.js';
import type {Gossip, Member} from '../membership/index.js';
import {TrafficKind, type Metrics} from '../telemetry/index.js';

/** What link budgets are made of. */
export interface LinkBudgetsDependencies {
	readonly clock: Clock;
	readonly metrics: Metrics;
	readonly revisions: RevisionTracker;
	/** @returns the membership. */
	gossip(): Gossip;
}

/** Counts and limits what control costs on the links between regions. */
export class LinkBudgets {
	private readonly buckets: RegionBuckets;

	constructor(private readonly parts: LinkBudgetsDependencies) {
		this.buckets = new RegionBuckets(parts.clock);
	}

	/**
	 * @param member - a member that is to be probed.
	 * @returns whether the budget of the link to its region allows that.
	 */
	mayProbe(member: Member): boolean {
		return (this.bucket(member.region)?.level ?? 1) > 0;
	}

	/**
	 * @param to - id of the receiver.
	 * @param bytes - bytes of control traffic that were sent.
	 */
	chargeControl(to: string, bytes: number): void {
		const region = this.parts.gossip().directory.get(to)?.region ?? 'unknown';
		this.parts.metrics.linkBytes.inc({region, kind: TrafficKind.Control}, bytes);
		this.bucket(region)?.charge(bytes);
	}

	private bucket(region: string): TokenBucket | undefined {
		const {localMember: account, directory} = this.parts.gossip();
		const link = this.parts.revisions.inForce?.link(account.region, region);
		const nodes = directory.countInRegion(account.region);
		return link && this.buckets.bucket(region, link.controlBytesPerSecond, nodes);
	}
}
