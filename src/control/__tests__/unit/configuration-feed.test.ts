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
	return {changes: [{key: 'config', value, etag: String(position)}], position};
}

/** Never resolves: the store has nothing more to tell. */
const nothingMore = new Promise<never>(() => {
	// The feed is stopped while it waits.
});

/** Plays pages and errors of a store in turn, and then nothing more. */
async function play(steps: readonly Step[]) {
	const clock = new ManualClock(1000);
	const keeper = new RevisionTracker();
	const events: string[] = [];
	const asked: Array<number | undefined> = [];
	const left = [...steps];
	const next = async (position: number | undefined): Promise<ChangePage> => {
		asked.push(position);
		const step = left.shift();
		if (step instanceof Error) {
			throw step;
		}

		return step ?? nothingMore;
	};

	const store: RowFeed = {
		snapshot: async () => next(undefined),
		changes: async (_table, position) => next(position),
	};
	const logger: Logger = {
		log(event) {
			events.push(event.name);
		},
	};
	const gossip = createTestGossip(clock);
	const inForce: number[] = [];
	keeper.registerListener(({revision}) => {
		inForce.push(revision);
	});
	const hub = {connect: async () => undefined} as unknown as LinkHub;
	const feed = new ConfigurationFeed({
		clock,
		random: createRandom(1),
		logger,
		revisions: keeper,
		gossip,
		hub,
		store,
		source,
		isReader: () => true,
	});
	feed.start();
	for (let i = 0; i < 100; i++) {
		await Promise.resolve();
		await Promise.resolve();
		clock.advance(50);
	}

	feed.stop();
	return {inForce, events, asked};
}

describe('ConfigurationFeed', () => {
	it('takes a new configuration into force and follows from there', async () => {
		const {inForce, asked} = await play([page('3', 10), page('5', 12)]);
		expect(inForce).toEqual([3, 5]);
		expect(asked).toEqual([undefined, 10, 12]);
	});

	it('never goes back, and keeps what is in force when it reads something broken', async () => {
		const {inForce, events} = await play([page('5', 10), page('3', 11), page('broken', 12)]);
		expect(inForce).toEqual([5]);
		expect(events).toContain(logEvents.revisionRejected.name);
	});

	it('reads the table anew when the history is lost', async () => {
		const lost = new HistoryLostError('gone');
		const {inForce, asked} = await play([page('3', 10), lost, page('9', 40)]);
		expect(inForce).toEqual([3, 9]);
		expect(asked).toEqual([undefined, 10, undefined, 40]);
	});

	it('tells once that the store is lost, and once that it is back', async () => {
		const down = new StoreUnavailableError('down');
		const {inForce, events} = await play([page('3', 10), down, down, down, page('4', 11)]);
		expect(inForce).toEqual([3, 4]);
		const told = events.filter((name) => name.startsWith('feed-'));
		expect(told).toEqual([logEvents.feedLost.name, logEvents.feedRegained.name]);
	});
});
