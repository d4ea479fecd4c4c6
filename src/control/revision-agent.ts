import {second, type Clock, type Millis} from '../clock/index.js';
import type {RevisionTracker, KnownRevisions, RevisionRecord} from '../declaration/index.js';
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

export interface RevisionAgentDependencies {
	readonly clock: Clock;
	readonly random: Random;
	readonly logger: Logger;
	readonly revisions: RevisionTracker;
	readonly gossip: Gossip;
	readonly hub: LinkHub;
	/** Time within which a change must be in force at all nodes, in ms. */
	readonly applyBound: Millis;
	/** Undefined for a node without a store. */
	readonly store: DeclarationStore | undefined;
}

const pollPeriod: Millis = 400;
const pendingPollPeriod: Millis = 150;
const heldReportPeriod: Millis = second;
const zoneRegistrationPeriod: Millis = 30 * second;
const requiredReporters = 3;
const broadcastFanOut = 4;

/**
 * Distributes configuration revisions to this node and its zone. A few nodes of each zone read the store
 * for the others; they are selected from the membership (see {@link selectReaders}). Extra readers are
 * harmless.
 */
export class RevisionAgent {
	private readonly holdings = new ZoneHoldings();
	private readonly fetcher: ContentFetcher;
	private lastReporter: string | undefined;
	private nextReportAt = 0;
	private nextZoneRegistrationAt = 0;
	private acknowledgedRevision = 0;
	private hasReadStore = false;
	/** The newest accepted revision that this node has read from the store. */
	private newestRecord: RevisionRecord | undefined;
	private readonly reporters = new Set<string>();
	private isStopped = false;

	constructor(private readonly deps: RevisionAgentDependencies) {
		this.fetcher = new ContentFetcher({
			...deps,
			readFromStore: async (hash) => this.fetchFromStore(hash),
			contentAdded: () => {
				this.nextReportAt = 0;
				this.reportHeld();
			},
		});
	}

	/**
	 * Whether the node has read the store or received the revisions of enough peers, so that it cannot
	 * miss a revision accepted before its start.
	 */
	get isCaughtUp(): boolean {
		const {gossip, revisions} = this.deps;
		const others = gossip.directory.countPresent() - 1;
		const hasEnoughReporters =
			this.reporters.size >= Math.min(requiredReporters, Math.max(1, others));
		return revisions.inForce !== undefined && (this.hasReadStore || hasEnoughReporters);
	}

	/** Starts polling the store and reporting held revisions. */
	start(): void {
		void this.poll();
		this.deps.clock.repeat(pendingPollPeriod, () => {
			this.reportHeld();
			void this.fetchMissing();
		});
	}

	/** Stops polling the store. */
	stop(): void {
		this.isStopped = true;
	}

	/**
	 * Merges the revisions that a peer knows; broadcasts and fetches those that are new to this node.
	 * @param known - the newest revisions known to the peer.
	 * @param from - id of the peer.
	 */
	handleKnownRevisions(known: KnownRevisions, from: string): void {
		if (known.accepted > 0) {
			this.reporters.add(from);
		}

		if (this.deps.revisions.merge(known)) {
			this.lastReporter = from;
			this.nextReportAt = 0;
			this.deps.gossip.broadcastUpdates(broadcastFanOut);
			void this.fetchMissing();
		}
	}

	/**
	 * @param held - report of the revision that a member of the zone holds.
	 */
	handleHeldReport(held: HeldRevision): void {
		this.holdings.record(held);
	}

	/**
	 * @param member - the changed member; its report is removed when it is no longer present.
	 */
	handleMemberChange(member: Member): void {
		if (!isPresent(member)) {
			this.holdings.remove(member.id);
		}
	}

	/** Whether this node reads the store for its zone. */
	get isReader(): boolean {
		return selectReaders(this.deps.gossip).includes(this.deps.gossip.localMember.id);
	}

	private async poll(): Promise<void> {
		const {store, clock} = this.deps;
		let isPending = false;
		// Every node reads the store once after its start, even if it is not a reader.
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
			this.handleKnownRevisions(knownRevisionsOf(row), this.deps.gossip.localMember.id);
			if (!this.isReader) {
				return false;
			}

			await this.registerZone(store);
			if (await this.restoreAccepted(store, row)) {
				return true;
			}

			return await this.advanceStaged(store, row);
		} catch (err) {
			if (!(err instanceof StoreUnavailableError)) {
				this.deps.logger.log(logEvents.unexpectedError, {error: String(err)});
			}

			return false;
		}
	}

	// Revisions known here were accepted, so a store with an older one was restored from an earlier state.
	private async restoreAccepted(store: DeclarationStore, row: HeadRow): Promise<boolean> {
		const {revisions, clock, logger} = this.deps;
		const {accepted: revision, acceptedHash: hash} = revisions.known;
		const {accepted} = row.head;
		if ((accepted?.revision ?? 0) >= revision) {
			this.newestRecord = accepted;
			return false;
		}

		const content = revisions.contentOf(hash);
		if (content === undefined) {
			return false;
		}

		const isRead = this.newestRecord?.revision === revision;
		const record = isRead ? this.newestRecord! : createRecord(revision, hash, clock.wallNow());
		const wait = async () => pause(clock, pollPeriod);
		const result = await store.restoreAccepted(row, record, content, wait);
		const isRestored = result === HeadWriteResult.Written;
		if (isRestored) {
			const previous = accepted?.revision;
			logger.log(logEvents.revisionRestored, {revision, previous});
		}

		return isRestored;
	}

	private async registerZone(store: DeclarationStore): Promise<void> {
		const now = this.deps.clock.now();
		if (now >= this.nextZoneRegistrationAt) {
			const {region, zone} = this.deps.gossip.localMember;
			await store.registerZone(zoneName(region, zone), selectReaders(this.deps.gossip));
			this.nextZoneRegistrationAt = now + zoneRegistrationPeriod;
		}
	}

	private async advanceStaged(store: DeclarationStore, row: HeadRow): Promise<boolean> {
		const {staged} = row.head;
		if (!staged) {
			return false;
		}

		await this.fetchMissing();
		const {gossip, revisions} = this.deps;
		const self = gossip.localMember;
		const missing = this.holdings.missing(gossip.directory, self, staged.revision);
		const isHeld = revisions.heldRevision >= staged.revision;
		const others = missing.filter((member) => member.id !== self.id);
		if (isHeld && others.length === 0 && this.acknowledgedRevision < staged.revision) {
			await store.acknowledge(staged.revision, zoneName(self.region, self.zone));
			this.acknowledgedRevision = staged.revision;
		}

		if (this.acknowledgedRevision >= staged.revision) {
			await this.acceptIfAcknowledged(store, row, staged.revision);
		}

		return true;
	}

	private async acceptIfAcknowledged(
		store: DeclarationStore,
		row: HeadRow,
		revision: number,
	): Promise<void> {
		const unacknowledged = await store.unacknowledgedZones(revision);
		if (unacknowledged.length > 0) {
			const {region, zone} = this.deps.gossip.localMember;
			// A restored store may have lost the acknowledgment; it is then written again.
			if (unacknowledged.includes(zoneName(region, zone))) {
				this.acknowledgedRevision = 0;
			}

			return;
		}

		const result = await store.acceptStaged(row, async () => pause(this.deps.clock, pollPeriod));
		if (result === HeadWriteResult.Written) {
			const head = await store.readHead();
			this.handleKnownRevisions(knownRevisionsOf(head), this.deps.gossip.localMember.id);
		}
	}

	private reportHeld(): void {
		const {gossip, revisions, clock} = this.deps;
		const held = revisions.heldRevision;
		const {staged, accepted} = revisions.known;
		const now = clock.now();
		const isWaitedFor = staged > accepted && held >= staged;
		if (!isWaitedFor || now < this.nextReportAt) {
			return;
		}

		this.nextReportAt = now + heldReportPeriod;
		for (const reader of selectReaders(this.deps.gossip)) {
			if (reader !== gossip.localMember.id) {
				gossip.sendHeldRevision(reader, held);
			}
		}
	}

	private async fetchMissing(): Promise<void> {
		await this.fetcher.fetchMissing(this.lastReporter);
	}

	private async fetchFromStore(hash: string): Promise<string | undefined> {
		const {store} = this.deps;
		if (!store || !(this.isReader || this.deps.revisions.inForce === undefined)) {
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

// For a node that knows the revision from its peers only.
function createRecord(revision: number, hash: string, at: Millis): RevisionRecord {
	return {revision, hash, changeId: '', author: '', message: 'written again by a node', at};
}

function knownRevisionsOf(row: HeadRow): KnownRevisions {
	const {accepted, staged} = row.head;
	return {
		accepted: accepted?.revision ?? 0,
		acceptedHash: accepted?.hash ?? '',
		staged: staged?.revision ?? 0,
		stagedHash: staged?.hash ?? '',
	};
}
