import type {Clock, Millis} from '../clock/index.js';
import type {RevisionTracker} from '../declaration/index.js';
import type {LinkHub, PeerSession} from '../link/index.js';
import {isPresent, type Gossip} from '../membership/index.js';
import {sample, type Random} from '../random/index.js';
import {logEvents, type Logger} from '../telemetry/index.js';
import {pause} from '../util/index.js';

export interface ContentFetcherDependencies {
	readonly clock: Pick<Clock, 'after'>;
	readonly random: Random;
	readonly logger: Logger;
	readonly revisions: RevisionTracker;
	readonly gossip: Gossip;
	readonly hub: LinkHub;
	/** Time within which a change must be in force at all nodes, in ms. */
	readonly applyBound: Millis;
	/**
	 * Reads a content from the store, if this node may read the store.
	 * @param hash - hash of the content.
	 * @returns the content; undefined when it is not available there.
	 */
	readFromStore(hash: string): Promise<string | undefined>;
	/** Called when a missing content was added. */
	contentAdded(): void;
}

/** Randomly chosen members of the own region that are queried for a content, one after the other. */
const sampledRegionPeers = 3;
/** Share of the time to apply a change that a peer may take to show that its link works. */
const patienceShare = 0.1;
/** Share of the time to apply a change after which the next peer is asked while one has not answered. */
const staggerShare = 0.05;
/** The same, after which other peers may be asked while none of the first ones has answered. */
const roundShare = 0.1;
/** Time since the last frame from a peer up to which its link is used without a check. */
const maxQuiet: Millis = 200;

/** Fetches the contents of configuration revisions that this node knows of but does not have. */
export class ContentFetcher {
	private readonly fetching = new Set<string>();
	/** Questions without an answer so far, as peer and hash. */
	private readonly pending = new Set<string>();

	constructor(private readonly deps: ContentFetcherDependencies) {}

	/**
	 * Fetches all missing contents.
	 * @param reporter - id of the peer that reported the revision, and so is likely to have the content;
	 * queried first.
	 */
	async fetchMissing(reporter: string | undefined): Promise<void> {
		const missing = this.deps.revisions.missing().filter((hash) => !this.fetching.has(hash));
		await Promise.all(missing.map(async (hash) => this.fetch(hash, reporter)));
	}

	private async fetch(hash: string, reporter: string | undefined): Promise<void> {
		const {revisions, logger} = this.deps;
		this.fetching.add(hash);
		try {
			const content = await this.deps.readFromStore(hash);
			if (content === undefined) {
				await this.fetchFromPeers(hash, reporter);
			} else {
				revisions.addContent(hash, content);
				this.recordHeld(hash, reporter);
			}
		} catch (err) {
			logger.log(logEvents.revisionRejected, {hash, error: String(err)});
		} finally {
			this.fetching.delete(hash);
		}
	}

	// The next peer is asked as soon as one has nothing to give, or has not answered for a short time: over silent links
	// and from peers that stop or are overloaded, one answer after the other took longer than a change may take. An
	// answer that comes later is still used.
	private async fetchFromPeers(hash: string, reporter: string | undefined): Promise<void> {
		const {gossip, clock, applyBound, revisions} = this.deps;
		const self = gossip.localMember;
		const questions: Array<Promise<void>> = [];
		for (const id of this.candidatePeers(reporter)) {
			if (id === self.id || this.pending.has(`${id} ${hash}`)) {
				continue;
			}

			const question = this.askPeer(id, hash, reporter);
			questions.push(question);
			// eslint-disable-next-line no-await-in-loop
			await Promise.race([question, pause(clock, applyBound * staggerShare)]);
			if (!revisions.missing().includes(hash)) {
				return;
			}
		}

		await Promise.race([Promise.all(questions), pause(clock, applyBound * roundShare)]);
	}

	private async askPeer(id: string, hash: string, reporter: string | undefined): Promise<void> {
		const {hub, applyBound, logger, revisions} = this.deps;
		const key = `${id} ${hash}`;
		this.pending.add(key);
		try {
			const session = await hub.connectAlive(id, maxQuiet, applyBound * patienceShare);
			const isWanted = revisions.missing().includes(hash);
			if (session && isWanted && (await this.fetchFrom(session, hash))) {
				this.recordHeld(hash, reporter);
			}
		} catch (err) {
			logger.log(logEvents.revisionRejected, {hash, peer: id, error: String(err)});
		} finally {
			this.pending.delete(key);
		}
	}

	private recordHeld(hash: string, reporter: string | undefined): void {
		this.deps.logger.log(logEvents.revisionHeld, {hash, teller: reporter});
		this.deps.contentAdded();
	}

	// A full content of many routes takes a narrow link longer than a configuration may take to be in force, so a
	// delta is asked for first. The hash shows whether it makes the requested content.
	/** @returns whether the peer's answer was added. */
	private async fetchFrom(session: PeerSession, hash: string): Promise<boolean> {
		const {revisions} = this.deps;
		const base = revisions.heldHash;
		const isMissing = () => revisions.missing().includes(hash);
		let reply = await session.fetchContent(hash, base === '' ? undefined : base);
		if (reply.delta !== undefined) {
			// Meanwhile the content may have come another way, or a newer revision may have taken its place.
			if (!isMissing()) {
				return false;
			}

			if (this.tryAddDelta(hash, base, reply.delta)) {
				return true;
			}

			reply = await session.fetchContent(hash, undefined);
		}

		if (reply.content === undefined || !isMissing()) {
			return false;
		}

		revisions.addContent(hash, reply.content);
		return true;
	}

	private tryAddDelta(hash: string, base: string, delta: string): boolean {
		try {
			this.deps.revisions.addDelta(hash, base, delta);
			return true;
		} catch (err) {
			this.deps.logger.log(logEvents.deltaRejected, {hash, base, error: String(err)});
			return false;
		}
	}

	private candidatePeers(reporter: string | undefined): string[] {
		const {gossip, random} = this.deps;
		const self = gossip.localMember;
		const sameRegion: string[] = [];
		const otherRegions: string[] = [];
		for (const member of gossip.directory.all()) {
			if (isPresent(member)) {
				(member.region === self.region ? sameRegion : otherRegions).push(member.id);
			}
		}

		const sampled = [
			...sample(sameRegion, sampledRegionPeers, random),
			...sample(otherRegions, 1, random),
		];
		return [...new Set([...(reporter === undefined ? [] : [reporter]), ...sampled])];
	}
}
