import {second, type Clock, type Millis} from '../clock/index.js';
import type {RevisionTracker, KnownRevisions} from '../declaration/index.js';
import type {LinkHub} from '../link/index.js';
import {isPresent, type Gossip, type HeldRevision, type Member} from '../membership/index.js';
import type {Random} from '../random/index.js';
import {StoreUnavailableError} from '../store/index.js';
import {logEvents, type Logger} from '../telemetry/index.js';
import {pause} from '../util/index.js';
import {ContentFetcher} from './content-fetcher.js';
import {HeadWriteResult, type DeclarationStore, type HeadRow} from './declaration-store.js';
import {selectReaders} from './readers.js';
import {zoneName} from './store-keys.js';
import {ZoneHoldings} from './zone-holdings.js';

/** What a revision agent is made of. */
export interface RevisionAgentDependencies {
	readonly clock: Clock;
	readonly random: Random;
	readonly logger: Logger;
	readonly revisions: RevisionTracker;
	readonly gossip: Gossip;
	readonly hub: LinkHub;
	/** Undefined for a node without a store. */
	readonly store: DeclarationStore | undefined;
}

const pollPeriod: Millis = 400;
const pendingPollPeriod: Millis = 150;
const reportPeriod: Millis = second;
const zonePeriod: Millis = 30 * second;
const fetchPeers = 3;
const pushFanOut = 4;

/**
 * Brings configuration revisions to this node and its zone. A few nodes of each zone read the store
 * for the others; which ones, follows from the membership. Two readers too many do no harm.
 */
export class RevisionAgent {
	private readonly holdings = new ZoneHoldings();
	private readonly fetcher: ContentFetcher;
	private lastTeller: string | undefined;
	private nextReport = 0;
	private nextZone = 0;
	private acknowledged = 0;
	private hasReadStore = false;
	private readonly tellers = new Set<string>();
	private isStopped = false;

	constructor(private readonly parts: RevisionAgentDependencies) {
		this.fetcher = new ContentFetcher({
			...parts,
			readFromStore: async (hash) => this.fetchFromStore(hash),
			contentAdded: () => {
				this.nextReport = 0;
				this.reportHeld();
			},
		});
	}

	/** Whether the node can know that no higher revision was accepted before it started. */
	get isCaughtUp(): boolean {
		const {gossip, revisions: keeper} = this.parts;
		const others = gossip.directory.countPresent() - 1;
		const enoughTellers = this.tellers.size >= Math.min(fetchPeers, Math.max(1, others));
		return keeper.inForce !== undefined && (this.hasReadStore || enoughTellers);
	}

	/** Starts reading. */
	start(): void {
		void this.poll();
		this.parts.clock.repeat(pendingPollPeriod, () => {
			this.reportHeld();
			void this.fetchMissing();
		});
	}

	/** Stops reading. */
	stop(): void {
		this.isStopped = true;
	}

	/**
	 * Hears what a peer knows.
	 * @param news - its newest revisions.
	 * @param from - id of the peer.
	 */
	handleKnownRevisions(news: KnownRevisions, from: string): void {
		if (news.accepted > 0) {
			this.tellers.add(from);
		}

		if (this.parts.revisions.merge(news)) {
			this.lastTeller = from;
			this.nextReport = 0;
			this.parts.gossip.broadcastUpdates(pushFanOut);
			void this.fetchMissing();
		}
	}

	/**
	 * @param held - which revision a member of the zone holds.
	 */
	handleHeldReport(held: HeldRevision): void {
		this.holdings.note(held);
	}

	/**
	 * @param member - a member that changed.
	 */
	handleMemberChange(member: Member): void {
		if (!isPresent(member)) {
			this.holdings.forget(member.id);
		}
	}

	/** Whether this node reads the store for its zone. */
	get isReader(): boolean {
		return selectReaders(this.parts.gossip).includes(this.parts.gossip.localMember.id);
	}

	private async poll(): Promise<void> {
		const {store, clock} = this.parts;
		let isPending = false;
		// A node that has just started reads once, whoever the readers are.
		if (store && (this.isReader || !this.hasReadStore)) {
			isPending = await this.pollStore(store);
		}

		if (!this.isStopped) {
			clock.after(isPending ? pendingPollPeriod : pollPeriod, () => {
				void this.poll();
			});
		}
	}

	private async pollStore(store: DeclarationStore): Promise<boolean> {
		try {
			const row = await store.readHead();
			this.hasReadStore = true;
			this.handleKnownRevisions(newsOf(row), this.parts.gossip.localMember.id);
			if (!this.isReader) {
				return false;
			}

			await this.registerZone(store);
			return await this.advanceStaged(store, row);
		} catch (err) {
			if (!(err instanceof StoreUnavailableError)) {
				this.parts.logger.log(logEvents.unexpectedError, {error: String(err)});
			}

			return false;
		}
	}

	private async registerZone(store: DeclarationStore): Promise<void> {
		const now = this.parts.clock.now();
		if (now >= this.nextZone) {
			const {region, zone} = this.parts.gossip.localMember;
			await store.registerZone(zoneName(region, zone), selectReaders(this.parts.gossip));
			this.nextZone = now + zonePeriod;
		}
	}

	private async advanceStaged(store: DeclarationStore, row: HeadRow): Promise<boolean> {
		const {staged} = row.head;
		if (!staged) {
			return false;
		}

		await this.fetchMissing();
		const {gossip, revisions: keeper} = this.parts;
		const self = gossip.localMember;
		const missing = this.holdings.missing(gossip.directory, self, staged.revision);
		const isHeld = keeper.heldRevision >= staged.revision;
		const others = missing.filter((member) => member.id !== self.id);
		if (isHeld && others.length === 0 && this.acknowledged < staged.revision) {
			await store.acknowledge(staged.revision, zoneName(self.region, self.zone));
			this.acknowledged = staged.revision;
		}

		if (this.acknowledged >= staged.revision) {
			await this.acceptIfAcknowledged(store, row, staged.revision);
		}

		return true;
	}

	private async acceptIfAcknowledged(
		store: DeclarationStore,
		row: HeadRow,
		revision: number,
	): Promise<void> {
		const silent = await store.unacknowledgedZones(revision);
		if (silent.length > 0) {
			return;
		}

		const result = await store.acceptStaged(row, async () => pause(this.parts.clock, pollPeriod));
		if (result === HeadWriteResult.Written) {
			const head = await store.readHead();
			this.handleKnownRevisions(newsOf(head), this.parts.gossip.localMember.id);
		}
	}

	private reportHeld(): void {
		const {gossip, revisions: keeper, clock} = this.parts;
		const held = keeper.heldRevision;
		const {staged, accepted} = keeper.known;
		const now = clock.now();
		const isWaitedFor = staged > accepted && held >= staged;
		if (!isWaitedFor || now < this.nextReport) {
			return;
		}

		this.nextReport = now + reportPeriod;
		for (const reader of selectReaders(this.parts.gossip)) {
			if (reader !== gossip.localMember.id) {
				gossip.sendHeldRevision(reader, held);
			}
		}
	}

	private async fetchMissing(): Promise<void> {
		await this.fetcher.fetchMissing(this.lastTeller);
	}

	private async fetchFromStore(hash: string): Promise<string | undefined> {
		const {store} = this.parts;
		if (!store || !(this.isReader || this.parts.revisions.inForce === undefined)) {
			return undefined;
		}

		try {
			return await store.getContent(hash);
		} catch (err) {
			if (err instanceof StoreUnavailableError) {
				return undefined;
			}

			throw err;
		}
	}
}

function newsOf(row: HeadRow): KnownRevisions {
	const {accepted, staged} = row.head;
	return {
		accepted: accepted?.revision ?? 0,
		acceptedHash: accepted?.hash ?? '',
		staged: staged?.revision ?? 0,
		stagedHash: staged?.hash ?? '',
	};
}
