import {describe, expect, it} from 'vitest';
import {ManualClock} from '../../../clock/index.js';
import {RevisionTracker, type Declaration} from '../../../declaration/index.js';
import type {LinkHub} from '../../../link/index.js';
import {createTestGossip} from '../../../membership/__tests__/test-gossip.js';
import {createRandom} from '../../../random/index.js';
import {
	HistoryLostError,
	StoreUnavailableError,
	type ChangePage,
	type RowFeed,
} from '../../../store/index.js';
import {logEvents, type Logger} from '../../../telemetry/index.js';
import {ConfigurationFeed, type ConfigurationSource} from '../../index.js';

const declaration: Declaration = {deployment: '', services: [], calls: [], links: []};
const source: ConfigurationSource = {
	table: 'op',
	key: 'config',
	parse(text) {
		const revision = Number(text);
		if (!Number.isInteger(revision)) {
			throw new TypeError('not a revision');
		}

		return {revision, declaration: {...declaration, deployment: text}};
	},
};

type Step = ChangePage | Error;

function page(value: string, position: number): ChangePage {
	const changes = [{key: 'config', value, etag: String(position)}];
	return {changes, position: {era: 1, version: position}};
}

/** Never resolves, like a long poll without changes. */
const pendingPage = new Promise<never>(() => {
	// The feed is stopped while this is pending.
});

/** Runs a feed against a store that returns the given pages and errors in turn and then does not answer. */
async function runFeed(steps: readonly Step[]) {
	const clock = new ManualClock(1000);
	const revisions = new RevisionTracker();
	const events: string[] = [];
	const requestedPositions: Array<number | undefined> = [];
	const left = [...steps];
	const next = async (position: number | undefined): Promise<ChangePage> => {
		requestedPositions.push(position);
		const step = left.shift();
		if (step instanceof Error) {
			throw step;
		}

		return step ?? pendingPage;
	};

	const store: RowFeed = {
		snapshot: async () => next(undefined),
		changes: async (_table, position) => next(position.version),
	};
	const logger: Logger = {
		log(event) {
			events.push(event.name);
		},
	};
	const gossip = createTestGossip(clock);
	const inForce: number[] = [];
	revisions.registerListener(({revision}) => {
		inForce.push(revision);
	});
	const hub = {connect: async () => undefined} as unknown as LinkHub;
	const feed = new ConfigurationFeed({
		clock,
		random: createRandom(1),
		logger,
		revisions,
		gossip,
		hub,
		store,
		source,
		applyBound: 2000,
		isReader: () => true,
		readerSlot: () => ({index: 0, count: 1}),
	});
	feed.start();
	for (let i = 0; i < 100; i++) {
		await Promise.resolve();
		await Promise.resolve();
		clock.advance(50);
	}

	feed.stop();
	return {inForce, events, requestedPositions};
}

describe('ConfigurationFeed', () => {
	it('puts a new configuration in force and continues from the position of its page', async () => {
		const {inForce, requestedPositions} = await runFeed([page('3', 10), page('5', 12)]);
		expect(inForce).toEqual([3, 5]);
		expect(requestedPositions).toEqual([undefined, 10, 12]);
	});

	it('ignores a lower revision and keeps the revision in force when the row cannot be parsed', async () => {
		const {inForce, events} = await runFeed([page('5', 10), page('3', 11), page('broken', 12)]);
		expect(inForce).toEqual([5]);
		expect(events).toContain(logEvents.revisionRejected.name);
	});

	it('reads a new snapshot when the history is lost', async () => {
		const lost = new HistoryLostError('gone');
		const {inForce, requestedPositions} = await runFeed([page('3', 10), lost, page('9', 40)]);
		expect(inForce).toEqual([3, 9]);
		expect(requestedPositions).toEqual([undefined, 10, undefined, 40]);
	});

	// The test runs for 5 s; each snapshot is a call that sends the whole configuration.
	it('reads few snapshots while the store has no history at all', async () => {
		const steps = Array.from({length: 100}, () => [page('3', 10), new HistoryLostError('gone')]);
		const {requestedPositions} = await runFeed(steps.flat());
		const snapshots = requestedPositions.filter((position) => position === undefined).length;
		expect(snapshots).toBeGreaterThan(4);
		expect(snapshots).toBeLessThan(20);
	});

	it('logs the loss of the feed once and its recovery once', async () => {
		const down = new StoreUnavailableError('down');
		const {inForce, events} = await runFeed([page('3', 10), down, down, down, page('4', 11)]);
		expect(inForce).toEqual([3, 4]);
		const feedEvents = events.filter((name) => name.startsWith('feed-'));
		expect(feedEvents).toEqual([logEvents.feedLost.name, logEvents.feedRegained.name]);
	});
});
