import {second, type Clock, type Millis, type Undo} from '../clock/index.js';
import {
	hashContent,
	serializeDeclaration,
	type Declaration,
	type RevisionTracker,
	type KnownRevisions,
} from '../declaration/index.js';
import type {LinkHub} from '../link/index.js';
import type {Gossip} from '../membership/index.js';
import type {Random} from '../random/index.js';
import {
	HistoryLostError,
	StoreUnavailableError,
	type RowChange,
	type RowFeed,
} from '../store/index.js';
import {logEvents, type Logger} from '../telemetry/index.js';
import {pause} from '../util/index.js';
import {ContentFetcher} from './content-fetcher.js';

/** A configuration as operators wrote it. */
export interface WrittenConfiguration {
	readonly revision: number;
	readonly declaration: Declaration;
}

/** Where operators write configurations. */
export interface ConfigurationSource {
	readonly table: string;
	readonly key: string;
	/**
	 * @param text - value of the row.
	 * @returns the configuration.
	 * @throws Error that says what is wrong with it.
	 */
	parse(text: string): WrittenConfiguration;
}

/** What a feed is made of. */
export interface ConfigurationFeedDependencies {
	readonly clock: Clock;
	readonly random: Random;
	readonly logger: Logger;
	readonly revisions: RevisionTracker;
	readonly gossip: Gossip;
	readonly hub: LinkHub;
	readonly store: RowFeed;
	readonly source: ConfigurationSource;
	/** @returns whether this node follows the store itself. */
	isReader(): boolean;
}

/** Longest wait for a change; a connection that went silent is found out a second later. */
const feedWait: Millis = 12 * second;
/** Bounds of the pause after a failure, so that a store that is back is found soon. */
const firstRetry: Millis = 100;
const longestRetry: Millis = 800;
/** How often a node that leaves the reading to others looks whether it has become a reader. */
const readerCheckPeriod: Millis = 400;
/** How soon content that could not be had is looked for again. */
const refetchPeriod: Millis = 200;
const pushFanOut = 4;

/**
 * Follows the configuration that operators write to the store. What the store has acknowledged is
 * accepted; the node takes it into force as soon as it reads it, or hears of it from a peer.
 */
export class ConfigurationFeed {
	private readonly fetcher: ContentFetcher;
	private position: number | undefined;
	private retry = firstRetry;
	private lastTeller: string | undefined;
	private isReachable = true;
	private isStopped = false;
	private isFollowing = false;
	private isRefetching = false;
	private undoReaderCheck: Undo | undefined;

	constructor(private readonly parts: ConfigurationFeedDependencies) {
		this.fetcher = new ContentFetcher({
			...parts,
			readFromStore: async () => undefined,
			contentAdded: () => undefined,
		});
	}

	/** Whether the store answered last time. */
	get isStoreUp(): boolean {
		return this.isReachable;
	}

	/** Starts following. */
	start(): void {
		this.followIfNeeded();
		this.undoReaderCheck = this.parts.clock.repeat(readerCheckPeriod, () => {
			this.followIfNeeded();
		});
	}

	/** Stops following. */
	stop(): void {
		this.isStopped = true;
		this.undoReaderCheck?.();
	}

	/**
	 * Hears what a peer knows.
	 * @param news - its newest revisions.
	 * @param from - id of the peer.
	 */
	handleKnownRevisions(news: KnownRevisions, from: string): void {
		if (this.parts.revisions.merge(news)) {
			this.lastTeller = from;
			this.parts.gossip.broadcastUpdates(pushFanOut);
			void this.fetchMissing();
		}
	}

	private get isNeeded(): boolean {
		const {revisions: keeper, isReader} = this.parts;
		return !this.isStopped && (keeper.inForce === undefined || isReader());
	}

	private async fetchMissing(): Promise<void> {
		const {clock, revisions: keeper} = this.parts;
		await this.fetcher.fetchMissing(this.lastTeller);
		if (keeper.missing().length > 0 && !this.isRefetching && !this.isStopped) {
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
			// Each page starts where the last one ended.
			// eslint-disable-next-line no-await-in-loop
			const delay = await this.readPage();
			if (delay > 0) {
				await pause(this.parts.clock, delay); // eslint-disable-line no-await-in-loop
			}
		}

		this.isFollowing = false;
	}

	private async readPage(): Promise<Millis> {
		const {store, source} = this.parts;
		try {
			const page =
				this.position === undefined
					? await store.snapshot(source.table)
					: await store.changes(source.table, this.position, feedWait);
			this.position = page.position;
			this.noteReachable();
			for (const change of page.changes) {
				this.take(change);
			}

			return 0;
		} catch (err) {
			return this.noteFailure(err);
		}
	}

	private noteReachable(): void {
		this.retry = firstRetry;
		if (!this.isReachable) {
			this.isReachable = true;
			this.parts.logger.log(logEvents.feedRegained, {position: this.position});
		}
	}

	private noteFailure(err: unknown): Millis {
		const {logger, random, revisions: keeper} = this.parts;
		if (err instanceof HistoryLostError) {
			logger.log(logEvents.feedHistoryLost, {position: this.position});
			this.position = undefined;
			return 0;
		}

		if (!(err instanceof StoreUnavailableError)) {
			logger.log(logEvents.unexpectedError, {error: String(err)});
		}

		if (this.isReachable) {
			this.isReachable = false;
			const revision = keeper.inForce?.revision;
			logger.log(logEvents.feedLost, {error: String(err), position: this.position, revision});
		}

		const delay = this.retry * (0.5 + random.next());
		this.retry = Math.min(longestRetry, this.retry * 2);
		return delay;
	}

	private take({key, value}: RowChange): void {
		const {source, revisions: keeper, gossip, logger} = this.parts;
		if (key !== source.key || value === undefined) {
			return;
		}

		let written: WrittenConfiguration;
		try {
			written = source.parse(value);
		} catch (err) {
			logger.log(logEvents.revisionRejected, {error: String(err)});
			return;
		}

		const content = serializeDeclaration(written.declaration);
		const hash = hashContent(content);
		const {revision} = written;
		const news = {accepted: revision, acceptedHash: hash, staged: 0, stagedHash: ''};
		if (revision <= keeper.known.accepted && keeper.heldRevision >= keeper.known.accepted) {
			return;
		}

		this.handleKnownRevisions(news, gossip.localMember.id);
		if (keeper.missing().includes(hash)) {
			keeper.addContent(hash, content);
		}
	}
}
