import {describe, expect, it} from 'vitest';
import {ManualClock} from '../../../clock/index.js';
import {
	hashContent,
	RevisionTracker,
	serializeDeclaration,
	type Declaration,
} from '../../../declaration/index.js';
import type {LinkHub, PeerSession} from '../../../link/index.js';
import {createLocalMember} from '../../../membership/index.js';
import {createTestGossip} from '../../../membership/__tests__/test-gossip.js';
import {createRandom} from '../../../random/index.js';
import {pause} from '../../../util/index.js';
import {ContentFetcher} from '../../content-fetcher.js';

const applyBound = 2000;
/** Time that is left for the news when a poll of the store notices a change as late as it may. */
const spreadBound = 0.25 * applyBound;
const declaration: Declaration = {deployment: 'd', services: [], calls: [], links: []};
const content = serializeDeclaration(declaration);
const hash = hashContent(content);
const reporter = '10.0.0.2:7001';
const sameRegion = [reporter, '10.0.0.3:7001', '10.0.0.4:7001'];
const otherRegion = '10.0.0.9:7001';
/** Never resolves, like a link to a peer that does not answer. */
const neverOpened = new Promise<never>(() => {
	// The fetcher stops waiting for it.
});

/** Asks for one round; the peers without an answer are silent. */
async function fetchFrom(answers: ReadonlyMap<string, string>, seed: number, linkDelay = 0) {
	const clock = new ManualClock(1000);
	const revisions = new RevisionTracker();
	revisions.merge({accepted: 7, acceptedHash: hash, staged: 0, stagedHash: ''});
	let heldAt: number | undefined;
	revisions.registerListener(() => {
		heldAt = clock.now();
	});
	const gossip = createTestGossip(clock);
	for (const id of [...sameRegion, otherRegion]) {
		const place = {region: id === otherRegion ? 'other' : 'r', zone: 'z'};
		gossip.directory.merge(createLocalMember(id, 1, place));
	}

	const asked: string[] = [];
	const hub = {
		async connectAlive(id: string): Promise<PeerSession | undefined> {
			asked.push(id);
			const answer = answers.get(id);
			if (answer === undefined) {
				return neverOpened;
			}

			if (linkDelay > 0) {
				await pause(clock, linkDelay);
			}

			return {
				fetchContent: async () => ({content: answer, delta: undefined}),
			} as unknown as PeerSession;
		},
	} as unknown as LinkHub;
	const fetcher = new ContentFetcher({
		clock,
		random: createRandom(seed),
		logger: {log: () => undefined},
		revisions,
		gossip,
		hub,
		applyBound,
		readFromStore: async () => undefined,
		contentAdded: () => undefined,
	});
	const state = {isOver: false};
	void fetcher.fetchMissing(reporter).then(() => {
		state.isOver = true;
	});
	const start = clock.now();
	while (clock.now() - start < 2 * applyBound) {
		await new Promise((resolve) => {
			setImmediate(resolve);
		});
		clock.advance(10);
	}

	return {time: heldAt === undefined ? Infinity : heldAt - start, asked, isOver: state.isOver};
}

const seeds = [1, 2, 3, 4, 5];

describe('ContentFetcher', () => {
	it.each(seeds)('does not wait for one silent peer after the other (seed %i)', async (seed) => {
		const {time} = await fetchFrom(new Map([[otherRegion, content]]), seed);
		expect(time).toBeLessThanOrEqual(spreadBound);
	});

	it.each(seeds)('asks on when a peer gives a content that is wrong (seed %i)', async (seed) => {
		const answers = new Map(sameRegion.map((id) => [id, '{"services":[],"calls":[]}']));
		const {time} = await fetchFrom(answers.set(otherRegion, content), seed);
		expect(time).toBeLessThanOrEqual(spreadBound);
	});

	// Every further copy takes a part of a narrow link.
	it('asks no other peer when the first one answers', async () => {
		const all = [...sameRegion, otherRegion];
		const {asked} = await fetchFrom(new Map(all.map((id) => [id, content])), 1);
		expect(asked).toEqual([reporter]);
	});

	it('uses links that overloaded peers open late', async () => {
		const linkDelay = 0.3 * applyBound;
		const all = [...sameRegion, otherRegion];
		const {time} = await fetchFrom(new Map(all.map((id) => [id, content])), 1, linkDelay);
		expect(time).toBeLessThanOrEqual(linkDelay + 50);
	});

	it('ends when no peer answers, so that the next round can ask others', async () => {
		const {time, isOver} = await fetchFrom(new Map(), 1);
		expect({time, isOver}).toEqual({time: Infinity, isOver: true});
	});
});
