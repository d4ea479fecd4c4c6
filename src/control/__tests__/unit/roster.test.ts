import {describe, expect, it} from 'vitest';
import {ManualClock} from '../../../clock/index.js';
import {createSelf, defaultGossipSettings, Gossip} from '../../../membership/index.js';
import {createRandom} from '../../../random/index.js';
import {
	Expect,
	StoreUnavailableError,
	type Row,
	type TableService,
	type WriteOperation,
	type WriteResult,
} from '../../../store/index.js';
import {silentLogger} from '../../../telemetry/index.js';
import {Roster} from '../../index.js';

const place = {region: 'r', zone: 'z'};
const noNews = {accepted: 0, acceptedHash: '', staged: 0, stagedHash: ''};

class FakeTable implements TableService {
	readonly rows = new Map<string, Row>();
	isDown = false;
	private etag = 0;

	async write(operations: readonly WriteOperation[]): Promise<readonly WriteResult[]> {
		this.check();
		return operations.map((operation) => this.apply(operation));
	}

	async read(key: string): Promise<Row | undefined> {
		this.check();
		return this.rows.get(key);
	}

	async list(prefix: string): Promise<readonly Row[]> {
		this.check();
		return [...this.rows.values()].filter(({key}) => key.startsWith(prefix));
	}

	async deleteAll(): Promise<void> {
		this.check();
	}

	private check(): void {
		if (this.isDown) {
			throw new StoreUnavailableError('down');
		}
	}

	private apply({key, value, expect: condition, etag}: WriteOperation): WriteResult {
		const row = this.rows.get(key);
		const isTaken = condition === Expect.Absent && row !== undefined;
		const isChanged = condition === Expect.Etag && row?.etag !== etag;
		if (isTaken || isChanged) {
			return {isApplied: false, row};
		}

		this.etag += 1;
		if (value === undefined) {
			this.rows.delete(key);
		} else {
			this.rows.set(key, {key, value, etag: String(this.etag)});
		}

		return {isApplied: true, row: undefined};
	}
}

function createWorld() {
	const clock = new ManualClock(1000);
	const joined: string[] = [];
	const gossip = new Gossip(createSelf('10.0.0.1:7001', 1, place), {
		settings: defaultGossipSettings,
		clock,
		random: createRandom(1),
		host: {
			send(to) {
				joined.push(to);
			},
			mayProbe: () => true,
			revisionNews: () => noNews,
			hearRevisionNews: () => undefined,
			hearRumor: () => undefined,
			hearHeld: () => undefined,
			hearPause: () => undefined,
		},
	});
	const store = new FakeTable();
	const roster = new Roster({clock, logger: silentLogger, gossip, store});
	const addRow = async (id: string) => {
		await store.write([{key: `members/${id}`, value: '{}', expect: Expect.Any}]);
	};

	return {clock, gossip, store, roster, joined, addRow};
}

const minutes = 60_000;

describe('Roster', () => {
	it('writes its own row before it reads the others, and joins them', async () => {
		const {roster, store, joined, addRow} = createWorld();
		await addRow('10.0.0.2:7001');
		await roster.enroll();
		expect(store.rows.has('members/10.0.0.1:7001')).toBe(true);
		expect(joined).toEqual(['10.0.0.2:7001']);
	});

	it('goes on until the store is back', async () => {
		const {roster, store, clock, joined, addRow} = createWorld();
		await addRow('10.0.0.2:7001');
		store.isDown = true;
		const enrolled = roster.enroll();
		for (let i = 0; i < 5; i++) {
			await Promise.resolve();
			clock.advance(1000);
		}

		expect(joined).toEqual([]);
		store.isDown = false;
		for (let i = 0; i < 20; i++) {
			await Promise.resolve();
			clock.advance(100);
		}

		await enrolled;
		expect(joined).toEqual(['10.0.0.2:7001']);
	});

	it('drops the row of a node that has been gone for long, and no other', async () => {
		const {roster, store, clock, gossip, addRow} = createWorld();
		gossip.directory.merge(createSelf('10.0.0.2:7001', 1, place));
		await addRow('10.0.0.2:7001');
		await addRow('10.0.0.3:7001');
		await roster.audit();
		clock.advance(minutes);
		await roster.audit();
		expect(store.rows.size).toBe(3);
		clock.advance(10 * minutes);
		await roster.audit();
		expect([...store.rows.keys()].toSorted()).toEqual([
			'members/10.0.0.1:7001',
			'members/10.0.0.2:7001',
		]);
	});

	it('restores its own row', async () => {
		const {roster, store} = createWorld();
		await roster.enroll();
		store.rows.clear();
		await roster.audit();
		expect(store.rows.has('members/10.0.0.1:7001')).toBe(true);
	});
});
