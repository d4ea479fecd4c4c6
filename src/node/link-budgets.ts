import {TokenBucket} from '../budget/index.js';
import type {Clock} from '../clock/index.js';
import type {RevisionKeeper} from '../declaration/index.js';
import type {Gossip, Member} from '../membership/index.js';
import {TrafficKind, type Metrics} from '../telemetry/index.js';

/** What link budgets are made of. */
export interface LinkBudgetsParts {
	readonly clock: Clock;
	readonly metrics: Metrics;
	readonly keeper: RevisionKeeper;
	/** @returns the membership. */
	gossip(): Gossip;
}

const burst = 2;

/** Counts and limits what control costs on the links between regions. */
export class LinkBudgets {
	private readonly buckets = new Map<string, TokenBucket>();

	constructor(private readonly parts: LinkBudgetsParts) {}

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

	// The budget of a link is shared by the nodes of the region, each with an equal part.
	private bucket(region: string): TokenBucket | undefined {
		const {account, directory} = this.parts.gossip();
		const link = this.parts.keeper.inForce?.link(account.region, region);
		if (!link) {
			return undefined;
		}

		const share = link.controlBytesPerSecond / Math.max(1, directory.countInRegion(account.region));
		const bucket = this.buckets.get(region) ?? new TokenBucket(this.parts.clock, share, burst);
		bucket.setRate(share);
		this.buckets.set(region, bucket);
		return bucket;
	}
}
