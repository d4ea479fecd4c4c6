import {second, type Clock, type Millis} from '../clock/index.js';
import {CountInbox} from './count-inbox.js';
import {CustomerBucket} from './customer-bucket.js';
import {FarFilter} from './far-filter.js';
import {PeerExchange} from './peer-exchange.js';
import type {CustomerLimit, QuotaSettings} from './quota-limit.js';
import type {QuotaMembers} from './quota-members.js';
import {
	QuotaMessageType,
	type QuotaCount,
	type QuotaMessage,
	type QuotaReport,
	type QuotaSender,
	type QuotaShare,
	type QuotaSum,
	type QuotaSumAck,
} from './quota-message.js';
import type {QuotaObserver} from './quota-observer.js';
import {RateMeter} from './rate-meter.js';

/** Collaborators of {@link QuotaAggregator} and of the gate. */
export interface QuotaParts {
	readonly clock: Pick<Clock, 'now' | 'after'>;
	readonly settings: QuotaSettings;
	readonly members: QuotaMembers;
	readonly self: QuotaSender;
	readonly observer: QuotaObserver;
	/** @returns the limit of a customer in the configuration in force; undefined for none. */
	limitOf(customer: string): CustomerLimit | undefined;
	/** Sends a message; messages to the own node are delivered as well. */
	send(to: string, message: QuotaMessage): void;
}

/** Use of one customer as an aggregator knows it. */
export interface CustomerUse {
	/** Admitted requests per second over all nodes that report. */
	readonly use: number;
	readonly share: number;
}

/** Time between two sums for a peer of the region, and for one of another region. */
const sumPeriod: Millis = 100;
const farSumPeriod: Millis = 200;
/** A share that has fallen by this much since it was told is told to the zone at once. */
const notableFall = 0.2;
/** How long a new aggregator waits for the reports of most nodes before its shares count. */
const learningTime: Millis = 400;
/** Time after the start in which nodes and zones that were not heard of count as unreachable. */
const settlingTime: Millis = 2 * second;
/** An aggregator without reports for this time is not in use; its buckets may be outdated. */
const unusedTime: Millis = second;
/** Shares and the unreachable part are computed at most this often, as every node asks for them. */
const shareAge: Millis = 20;
const reachAge: Millis = 50;
/** Smaller changes of the reach are not logged. */
const notableReach = 0.05;
/** A node is silent when this many requests were expected from it, and at least this time has passed. */
const missedRequests = 6;
const minSilence: Millis = 450;
/** Age of the silence from which failure detection knows more. */
const maxSilence: Millis = 5 * second;
const reporterMemory: Millis = 30 * second;
const activityDecay: Millis = second;
/** Time without refusals after which a customer counts as free again, so that the log stays short. */
const freedDelay: Millis = 5 * second;

type Reporter = {inbox: CountInbox; activity: RateMeter; at: Millis};

/** Adds up the requests of the customers over the nodes of a zone and, with its peers, over all zones. */
export class QuotaAggregator {
	private readonly buckets = new Map<string, CustomerBucket>();
	private readonly reporters = new Map<string, Reporter>();
	private readonly peers = new Map<string, PeerExchange>();
	private readonly farFilter = new FarFilter();
	private readonly limitedAt = new Map<string, Millis>();
	private startedAt: Millis;
	private reportedAt: Millis = Number.NEGATIVE_INFINITY;
	private isScheduled = false;
	private shares: readonly QuotaShare[] = [];
	private toldShares: ReadonlyMap<string, number> = new Map();
	private sharesAt: Millis = Number.NEGATIVE_INFINITY;
	private reach = 1;
	private notedReach = 1;
	private reachAt: Millis = Number.NEGATIVE_INFINITY;

	constructor(private readonly parts: QuotaParts) {
		this.startedAt = parts.clock.now();
	}

	/** Number of customers with a bucket. */
	get customers(): number {
		return this.buckets.size;
	}

	/** Number of customers of which a share of the requests is refused. */
	get limitedCustomers(): number {
		return this.shares.length;
	}

	/**
	 * @param customer - name of a customer.
	 * @returns its use; undefined when this node does not know it.
	 */
	useOf(customer: string): CustomerUse | undefined {
		const bucket = this.buckets.get(customer);
		const limit = this.parts.limitOf(customer);
		if (!bucket || !limit || !this.isInUse) {
			return undefined;
		}

		const now = this.parts.clock.now();
		const {share} = bucket.share(customer, limit, this.currentReach(now), now);
		return {use: bucket.useRate(now), share};
	}

	/** Names of the customers with a bucket. */
	get names(): Iterable<string> {
		return this.isInUse ? this.buckets.keys() : [];
	}

	/**
	 * Adds the counts of a node of the zone and answers with the shares.
	 * @param report - the report.
	 */
	handleReport(report: QuotaReport): void {
		const {sender, batch, isTakeover} = report;
		const now = this.parts.clock.now();
		if (isTakeover && !this.isInUse) {
			this.startEmpty(now);
		}

		this.reportedAt = now;
		const reporter = this.reporters.get(sender.id) ?? createReporter(now);
		this.reporters.set(sender.id, reporter);
		reporter.at = now;
		const counts = reporter.inbox.accept(sender, batch);
		if (counts?.length === 0) {
			reporter.activity = new RateMeter(activityDecay);
		}

		for (const count of counts ?? []) {
			reporter.activity.add(count.requested, now);
			this.addOwn(count, now);
		}

		this.sendShares(sender.id, batch.sequence, now);
	}

	/**
	 * Adds the counts of another aggregator.
	 * @param sum - the sum.
	 */
	handleSum(sum: QuotaSum): void {
		const now = this.parts.clock.now();
		for (const count of this.peer(sum.sender.id, now).receive(sum, now)) {
			this.add(count, now);
		}

		const {self} = this.parts;
		const {sequence} = sum.batch;
		this.parts.send(sum.sender.id, {type: QuotaMessageType.SumAck, sender: self, sequence});
		this.schedule();
	}

	/**
	 * @param ack - answer of a peer to a sum.
	 */
	handleSumAck(ack: QuotaSumAck): void {
		this.peers.get(ack.sender.id)?.outbox.acknowledge(ack.sequence);
	}

	private get isInUse(): boolean {
		return this.parts.clock.now() - this.reportedAt <= unusedTime;
	}

	private startEmpty(now: Millis): void {
		this.buckets.clear();
		this.reporters.clear();
		this.startedAt = now;
		this.sharesAt = Number.NEGATIVE_INFINITY;
		this.parts.observer.aggregatorStarted();
	}

	private addOwn(count: QuotaCount, now: Millis): void {
		const limit = this.add(count, now);
		if (!limit) {
			return;
		}

		const far = this.farFilter.pass(count, limit, this.parts.members.zones, now);
		for (const {id, isFar} of this.targets(now)) {
			const told = isFar ? far : count;
			if (told) {
				this.peer(id, now).add(told, now);
			}
		}

		this.schedule();
	}

	private add({customer, admitted, requested}: QuotaCount, now: Millis): CustomerLimit | undefined {
		const limit = this.parts.limitOf(customer);
		if (!limit) {
			return undefined;
		}

		let bucket = this.buckets.get(customer);
		if (!bucket) {
			// A customer that no node has reported since the start has used nothing of the rate since then.
			const earned = ((now - this.startedAt) / second) * limit.rate;
			bucket = new CustomerBucket(this.parts.settings, Math.min(limit.burst, earned), now);
			this.buckets.set(customer, bucket);
		}

		bucket.add(admitted, requested, now);
		return limit;
	}

	private peer(id: string, now: Millis): PeerExchange {
		const peer = this.peers.get(id) ?? new PeerExchange(now);
		this.peers.set(id, peer);
		return peer;
	}

	// A node that sends sums aggregates for some nodes, even if this node would select another one.
	private *targets(now: Millis): Generator<{id: string; isFar: boolean}> {
		const {members} = this.parts;
		const selected = new Set<string>();
		for (const peer of members.peers) {
			selected.add(peer.id);
			yield peer;
		}

		for (const [id, peer] of this.peers) {
			if (!selected.has(id) && peer.isHeard(now)) {
				yield {id, isFar: members.isFar(id)};
			}
		}
	}

	private schedule(): void {
		if (this.isScheduled) {
			return;
		}

		this.isScheduled = true;
		this.parts.clock.after(sumPeriod, () => {
			this.isScheduled = false;
			this.sendSums();
		});
	}

	private sendSums(): void {
		const {clock, self} = this.parts;
		const now = clock.now();
		let isBusy = this.buckets.size > 0;
		for (const [id, peer] of this.peers) {
			const batch = peer.batchToSend(now, this.parts.members.isFar(id) ? farSumPeriod : 0);
			if (batch) {
				const {isLast} = peer;
				this.parts.send(id, {type: QuotaMessageType.Sum, sender: self, batch, isLast});
			}

			if (peer.isBusy) {
				isBusy = true;
			} else if (peer.isExpired(now)) {
				this.peers.delete(id);
			}
		}

		this.forgetIdle(now);
		this.tellFallenShares(now);
		if (isBusy) {
			this.schedule();
		}
	}

	private forgetIdle(now: Millis): void {
		for (const [customer, bucket] of this.buckets) {
			const limit = this.parts.limitOf(customer);
			if (!limit || bucket.isIdle(now, limit)) {
				this.buckets.delete(customer);
				this.farFilter.forget(customer);
			}
		}

		for (const [id, {at}] of this.reporters) {
			if (now - at > reporterMemory) {
				this.reporters.delete(id);
			}
		}

		for (const [customer, at] of this.limitedAt) {
			if (now - at > freedDelay) {
				this.limitedAt.delete(customer);
				this.parts.observer.customerFreed(customer);
			}
		}
	}

	private currentShares(now: Millis): readonly QuotaShare[] {
		if (now - this.sharesAt < shareAge) {
			return this.shares;
		}

		const reach = this.currentReach(now);
		const shares: QuotaShare[] = [];
		for (const [customer, bucket] of this.buckets) {
			const limit = this.parts.limitOf(customer);
			const share = limit && bucket.share(customer, limit, reach, now);
			if (share && share.share < 1) {
				shares.push(share);
				this.noteLimited(share, now);
			}
		}

		this.shares = shares;
		this.sharesAt = now;
		return shares;
	}

	// Nodes learn of a share with the answer to their next report; when a demand rises, that is late.
	private tellFallenShares(now: Millis): void {
		const shares = this.currentShares(now);
		const hasFallen = shares.some(
			({customer, share}) => share < (this.toldShares.get(customer) ?? 1) - notableFall,
		);
		this.toldShares = new Map(shares.map(({customer, share}) => [customer, share]));
		if (!hasFallen || !this.isInUse) {
			return;
		}

		for (const [id, {at}] of this.reporters) {
			if (now - at <= unusedTime) {
				this.sendShares(id, 0, now);
			}
		}
	}

	private sendShares(to: string, sequence: number, now: Millis): void {
		this.parts.send(to, {
			type: QuotaMessageType.Shares,
			sender: this.parts.self,
			sequence,
			isLearning: now - this.startedAt < learningTime,
			reach: this.currentReach(now),
			shares: this.currentShares(now),
		});
	}

	private noteLimited({customer, demand, share}: QuotaShare, now: Millis): void {
		if (!this.limitedAt.has(customer)) {
			this.parts.observer.customerLimited(customer, demand, share);
		}

		this.limitedAt.set(customer, now);
	}

	// The parts of nodes that cannot report are set aside, as these nodes use them.
	private currentReach(now: Millis): number {
		if (now - this.reachAt < reachAge) {
			return this.reach;
		}

		const {members, observer} = this.parts;
		const apart = new Set(members.unreachableIds);
		for (const [id, peer] of this.peers) {
			const zone = peer.isLost(now) ? members.zoneOf(id) : undefined;
			if (zone !== undefined && !this.isZoneHeard(zone, now)) {
				for (const member of members.idsIn(zone)) {
					apart.add(member);
				}
			}
		}

		for (const [id, reporter] of this.reporters) {
			if (isSilent(reporter, now)) {
				apart.add(id);
			}
		}

		if (now - this.startedAt < settlingTime) {
			this.addUnheard(apart, now);
		}

		apart.delete(this.parts.self.id);
		const reach = Math.max(1, members.size - apart.size) / members.size;
		if (Math.abs(reach - this.notedReach) >= notableReach || (reach === 1) !== (this.reach === 1)) {
			this.notedReach = reach;
			observer.reachChanged(reach);
		}

		this.reach = reach;
		this.reachAt = now;
		return reach;
	}

	// After a takeover, whoever reported to the earlier aggregator may be cut off, which failure detection finds later.
	private addUnheard(apart: Set<string>, now: Millis): void {
		const {members, self} = this.parts;
		for (const zone of members.zoneNames) {
			const isOwn = zone === members.zoneOf(self.id);
			for (const id of members.idsIn(zone)) {
				if (isOwn ? !this.reporters.has(id) : !this.isZoneHeard(zone, now)) {
					apart.add(id);
				}
			}
		}
	}

	private isZoneHeard(zone: string, now: Millis): boolean {
		const {members, self} = this.parts;
		if (zone === members.zoneOf(self.id)) {
			return true;
		}

		for (const [id, peer] of this.peers) {
			if (peer.isHeard(now) && members.zoneOf(id) === zone) {
				return true;
			}
		}

		return false;
	}
}

function createReporter(at: Millis): Reporter {
	return {inbox: new CountInbox(), activity: new RateMeter(activityDecay), at};
}

function isSilent({activity, at}: Reporter, now: Millis): boolean {
	const silence = now - at;
	const missed = (activity.rate(at) * silence) / second;
	return silence > minSilence && silence < maxSilence && missed > missedRequests;
}
