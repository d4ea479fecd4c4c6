import type {Clock, Millis, Undo} from '../clock/index.js';
import type {Declaration, RevisionTracker, KnownRevisions} from '../declaration/index.js';
import type {LinkHub} from '../link/index.js';
import type {Gossip} from '../membership/index.js';
import type {Random} from '../random/index.js';
import {
	HistoryLostError,
	StoreSilentError,
	StoreUnavailableError,
	type FeedPosition,
	type FeedTimes,
	type RowChange,
	type RowFeed,
} from '../store/index.js';
import {logEvents, type Logger} from '../telemetry/index.js';
import {pause} from '../util/index.js';
import {ContentFetcher} from './content-fetcher.js';
import type {EvacuationReader} from './evacuation-reader.js';
import {planPoll, type ReaderSlot} from './poll-schedule.js';
import {readWrittenContent, type WrittenContent} from './written-content.js';

/** A configuration parsed from the row that operators write. */
export interface WrittenConfiguration {
	readonly revision: number;
	readonly declaration: Declaration;
}

/** Row of the store in which operators write the configuration, and its parser. */
export interface ConfigurationSource {
	readonly table: string;
	readonly key: string;
	/**
	 * @param text - value of the row.
	 * @returns the configuration.
	 * @throws Error when the text is not a valid configuration.
	 */
	parse(text: string): WrittenConfiguration;
	/**
	 * @param key - key of another row of the table.
	 * @returns the availability zone that the row evacuates; undefined for a row of another meaning.
	 */
	evacuatedZone?(key: string): string | undefined;
}

export interface ConfigurationFeedDependencies {
	readonly clock: Clock;
	readonly random: Random;
	readonly logger: Logger;
	readonly revisions: RevisionTracker;
	readonly gossip: Gossip;
	readonly hub: LinkHub;
	readonly store: RowFeed;
	readonly source: ConfigurationSource;
	/** Reads the evacuations from the rows of the same table; undefined if there are none. */
	readonly evacuations?: Pick<EvacuationReader, 'read'>;
	/** Time within which a change must be in force at all nodes, in ms. */
	readonly applyBound: Millis;
	/** @returns whether this node reads the store for its zone. */
	isReader(): boolean;
	/** @returns the place of this node among all that read the store. */
	readerSlot(): ReaderSlot;
}

/** Bounds of the retry delay; short, so that the recovery of the store is detected soon. */
const initialRetryDelay: Millis = 100;
const maxRetryDelay: Millis = 800;
/** Interval at which a node that is not a reader checks whether it has become one. */
const readerCheckPeriod: Millis = 400;
/** Delay before content that could not be fetched is requested again. */
const refetchPeriod: Millis = 200;
const broadcastFanOut = 4;
/** Members of each other region that learn of a revision directly from the reader that has read it first. */
const otherRegionFanOut = 3;

/**
 * Follows the configuration that operators write to the store. A revision that the store has acknowledged
 * is accepted; the node puts it in force as soon as it reads it from the store or fetches it from a peer.
 */
export class ConfigurationFeed {
	private readonly fetcher: ContentFetcher;
	private position: FeedPosition | undefined;
	/** Clock of the store at its last answer, and that of the node at that moment. */
	private storeTime: {readonly at: Millis; readonly readAt: Millis} | undefined;
	private retryDelay = initialRetryDelay;
	/** Times in a row that the store did not have the changes since its own snapshot. */
	private lostHistories = 0;
	private lastReporter: string | undefined;
	private isReachable = true;
	private isStopped = false;
	private isFollowing = false;
	private isRefetching = false;
	private cancelReaderCheck: Undo | undefined;

	constructor(private readonly deps: ConfigurationFeedDependencies) {
		this.fetcher = new ContentFetcher({
			...deps,
			readFromStore: async () => undefined,
			contentAdded: () => undefined,
		});
	}

	/** Whether the last request to the store succeeded. */
	get isStoreUp(): boolean {
		return this.isReachable;
	}

	/** Starts following the store. */
	start(): void {
		this.followIfNeeded();
		this.cancelReaderCheck = this.deps.clock.repeat(readerCheckPeriod, () => {
			this.followIfNeeded();
		});
	}

	/** Stops following the store. */
	stop(): void {
		this.isStopped = true;
		this.cancelReaderCheck?.();
	}

	/**
	 * Merges the revisions that a peer knows; broadcasts and fetches those that are new to this node.
	 * @param known - the newest revisions known to the peer.
	 * @param from - id of the peer.
	 */
	handleKnownRevisions(known: KnownRevisions, from: string): void {
		const {revisions, gossip} = this.deps;
		if (revisions.merge(known)) {
			this.lastReporter = from;
			gossip.broadcastUpdates(broadcastFanOut);
			// The readers of another region may all be unable to read the store.
			if (from === gossip.localMember.id) {
				gossip.pingOtherRegions(otherRegionFanOut);
			}

			void this.fetchMissing();
		}
	}

	private get isNeeded(): boolean {
		const {revisions, isReader} = this.deps;
		return !this.isStopped && (revisions.inForce === undefined || isReader());
	}

	private async fetchMissing(): Promise<void> {
		const {clock, revisions} = this.deps;
		await this.fetcher.fetchMissing(this.lastReporter);
		if (revisions.missing().length > 0 && !this.isRefetching && !this.isStopped) {
			this.isRefetching = true;
			clock.after(refetchPeriod, () => {
				this.isRefetching = false;
				void this.fetchMissing();
			});
		}
	}

	private followIfNeeded(): void {
		if (!this.isFollowing && this.isNeeded) {
			this.isFollowing = true;
			void this.follow();
		}
	}

	private async follow(): Promise<void> {
		while (this.isNeeded) {
			// Sequential, as each page starts at the position where the last one ended.
			// eslint-disable-next-line no-await-in-loop
			const delay = await this.readPage();
			if (delay > 0) {
				await pause(this.deps.clock, delay); // eslint-disable-line no-await-in-loop
			}
		}

		this.isFollowing = false;
	}

	private async readPage(): Promise<Millis> {
		const {store, source, evacuations} = this.deps;
		const {position} = this;
		const isSnapshot = position === undefined;
		try {
			const page = isSnapshot
				? await store.snapshot(source.table)
				: await store.changes(source.table, position, this.planPoll());
			this.position = page.position;
			this.recordStoreTime(page.storeTime);
			this.recordSuccess();
			this.lostHistories = isSnapshot ? this.lostHistories : 0;
			// Before the configuration, as a node accepts calls as soon as it has one.
			evacuations?.read(page, isSnapshot);
			for (const change of page.changes) {
				this.applyChange(change);
			}

			return 0;
		} catch (err) {
			return this.recordFailure(err);
		}
	}

	private planPoll(): FeedTimes {
		const {clock, applyBound, readerSlot} = this.deps;
		const {storeTime} = this;
		const now = storeTime && storeTime.at + clock.now() - storeTime.readAt;
		return planPoll(readerSlot(), applyBound, now);
	}

	private recordStoreTime(at: Millis | undefined): void {
		this.storeTime = at === undefined ? undefined : {at, readAt: this.deps.clock.now()};
	}

	private recordSuccess(): void {
		this.retryDelay = initialRetryDelay;
		if (!this.isReachable) {
			this.isReachable = true;
			this.deps.logger.log(logEvents.feedRegained, {...this.position});
		}
	}

	private recordFailure(err: unknown): Millis {
		const {logger, random, revisions} = this.deps;
		if (err instanceof HistoryLostError) {
			logger.log(logEvents.feedHistoryLost, {...this.position});
			this.position = undefined;
			this.lostHistories += 1;
			return this.delayAfterLostHistory();
		}

		const isNewlySilent = err instanceof StoreSilentError && this.isReachable;
		if (isNewlySilent) {
			logger.log(logEvents.feedSilent, {error: String(err), ...this.position});
		}

		if (!(err instanceof StoreUnavailableError)) {
			logger.log(logEvents.unexpectedError, {error: String(err)});
		}

		if (this.isReachable) {
			this.isReachable = false;
			const revision = revisions.inForce?.revision;
			logger.log(logEvents.feedLost, {error: String(err), ...this.position, revision});
		}

		if (isNewlySilent) {
			return 0;
		}

		const delay = this.retryDelay * (0.5 + random.next());
		this.retryDelay = Math.min(maxRetryDelay, this.retryDelay * 2);
		return delay;
	}

	// A store may drop its history again and again; each snapshot is a call and sends the whole configuration.
	private delayAfterLostHistory(): Millis {
		const repeats = this.lostHistories - 1;
		const delay = repeats === 0 ? 0 : initialRetryDelay * 2 ** (repeats - 1);
		return Math.min(maxRetryDelay, delay) * (0.5 + this.deps.random.next());
	}

	private applyChange({key, value}: RowChange): void {
		const {source, revisions, gossip, logger} = this.deps;
		if (key !== source.key || value === undefined) {
			return;
		}

		let written: WrittenContent;
		try {
			written = readWrittenContent(source, value);
		} catch (err) {
			logger.log(logEvents.revisionRejected, {error: String(err)});
			return;
		}

		const {revision, content, hash} = written;
		const known = {accepted: revision, acceptedHash: hash, staged: 0, stagedHash: ''};
		if (
			revision <= revisions.known.accepted &&
			revisions.heldRevision >= revisions.known.accepted
		) {
			return;
		}

		this.handleKnownRevisions(known, gossip.localMember.id);
		if (revisions.missing().includes(hash)) {
			revisions.addContent(hash, content);
		}
	}
}
