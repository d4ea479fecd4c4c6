import type {RevisionTracker} from '../declaration/index.js';
import type {LinkHub} from '../link/index.js';
import {isPresent, type Gossip} from '../membership/index.js';
import {sample, type Random} from '../random/index.js';
import {logEvents, type Logger} from '../telemetry/index.js';

/** What a fetcher is made of. */
export interface ContentFetcherDependencies {
	readonly random: Random;
	readonly logger: Logger;
	readonly revisions: RevisionTracker;
	readonly gossip: Gossip;
	readonly hub: LinkHub;
	/**
	 * Reads a content from the store, where this node may do so.
	 * @param hash - hash of the content.
	 * @returns the content; undefined when it is not to be had there.
	 */
	readFromStore(hash: string): Promise<string | undefined>;
	/** A content has come that was missing. */
	contentAdded(): void;
}

/** Members of the region that are asked for a content, one after the other. */
const fetchPeers = 3;

/** Brings the contents of configuration revisions that this node has heard of and does not hold. */
export class ContentFetcher {
	private readonly fetching = new Set<string>();

	constructor(private readonly parts: ContentFetcherDependencies) {}

	/**
	 * Fetches what is missing.
	 * @param teller - who told of it, and so is likely to hold it.
	 */
	async fetchMissing(teller: string | undefined): Promise<void> {
		const missing = this.parts.revisions.missing().filter((hash) => !this.fetching.has(hash));
		await Promise.all(missing.map(async (hash) => this.fetch(hash, teller)));
	}

	private async fetch(hash: string, teller: string | undefined): Promise<void> {
		const {revisions: keeper, logger} = this.parts;
		this.fetching.add(hash);
		try {
			const content =
				(await this.parts.readFromStore(hash)) ?? (await this.fetchFromPeers(hash, teller));
			if (content !== undefined) {
				keeper.addContent(hash, content);
				logger.log(logEvents.revisionHeld, {hash, teller});
				this.parts.contentAdded();
			}
		} catch (err) {
			logger.log(logEvents.revisionRejected, {hash, error: String(err)});
		} finally {
			this.fetching.delete(hash);
		}
	}

	private async fetchFromPeers(
		hash: string,
		teller: string | undefined,
	): Promise<string | undefined> {
		const {gossip, hub} = this.parts;
		const self = gossip.localMember;
		for (const id of this.sources(teller)) {
			if (id === self.id) {
				continue;
			}

			// One after the other, as the first that holds it is enough.
			const session = await hub.connect(id); // eslint-disable-line no-await-in-loop
			const content = await session?.fetchContent(hash); // eslint-disable-line no-await-in-loop
			if (content !== undefined) {
				return content;
			}
		}

		return undefined;
	}

	private sources(teller: string | undefined): string[] {
		const {gossip, random} = this.parts;
		const self = gossip.localMember;
		const near: string[] = [];
		const far: string[] = [];
		for (const member of gossip.directory.all()) {
			if (isPresent(member)) {
				(member.region === self.region ? near : far).push(member.id);
			}
		}

		const drawn = [...sample(near, fetchPeers, random), ...sample(far, 1, random)];
		return [...new Set([...(teller === undefined ? [] : [teller]), ...drawn])];
	}
}
