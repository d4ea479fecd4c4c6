import {describe, expect, it} from 'vitest';
import {ManualClock} from '../../../clock/index.js';
import {createLocalMember, GossipType, isRoutable} from '../../../membership/index.js';
import {createTestGossip} from '../../../membership/__tests__/test-gossip.js';
import {createRandom} from '../../../random/index.js';
import {
	Precondition,
	StoreUnavailableError,
	type Row,
	type TableService,
	type WriteOperation,
	type WriteResult,
} from '../../../store/index.js';
import {silentLogger} from '../../../telemetry/index.js';
import {Roster} from '../../index.js';

const place = {region: 'r', zone: 'z'};

class FakeTable implements TableService {
	readonly rows = new Map<string, Row>();
	calls = 0;
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
		this.calls += 1;
		if (this.isDown) {
			throw new StoreUnavailableError('down');
		}
	}

	private apply({key, value, expect: condition, etag}: WriteOperation): WriteResult {
		const row = this.rows.get(key);
		const isTaken = condition === Precondition.Absent && row !== undefined;
		const isChanged = condition === Precondition.Etag && row?.etag !== etag;
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

function createWorld(isFirstStart = false) {
	const clock = new ManualClock(1000);
	const joined: string[] = [];
	const gossip = createTestGossip(clock, {
		send(to, message) {
			if (message.type === GossipType.Digest) {
				joined.push(to);
			}
		},
	});
	const store = new FakeTable();
	const random = createRandom(2);
	const roster = new Roster({
		clock,
		random,
		logger: silentLogger,
		gossip,
		store,
		service: 's',
		isFirstStart,
	});
	const addRow = async (id: string, value = '{}') => {
		await store.write([{key: `members/${id}`, value, expect: Precondition.Any}]);
	};

	const play = async (span: number) => {
		for (let i = 0; i < span; i += 20) {
			for (let turn = 0; turn < 10; turn++) {
				await Promise.resolve();
			}

			clock.advance(20);
		}
	};

	const meet = (id: string) => {
		gossip.receive({
			type: GossipType.HeldRevision,
			sender: {id, incarnation: 1, version: 1},
			revision: 0,
		});
	};

	return {clock, gossip, store, roster, joined, addRow, play, meet};
}

const minutes = 60_000;

describe('Roster', () => {
	it('reads the others, writes its row where it is missing, and joins them', async () => {
		const {roster, store, joined, addRow, play, meet} = createWorld();
		await addRow('10.0.0.2:7001');
		const enrolled = roster.enroll();
		await play(200);
		expect(store.rows.has('members/10.0.0.1:7001')).toBe(true);
		expect(joined).toEqual(['10.0.0.2:7001']);
		meet('10.0.0.2:7001');
		await play(500);
		await enrolled;
	});

	it('writes nothing when its row is there', async () => {
		const {roster, store, addRow, play, meet} = createWorld();
		await addRow('10.0.0.1:7001', '{"region":"r","zone":"z","service":"s"}');
		await addRow('10.0.0.2:7001');
		store.calls = 0;
		void roster.enroll();
		await play(100);
		meet('10.0.0.2:7001');
		await play(2000);
		expect(store.calls).toBe(1);
	});

	it('reads nothing at the first start when others have found it', async () => {
		const {roster, store, play, meet} = createWorld(true);
		void roster.enroll();
		await play(1);
		meet('10.0.0.2:7001');
		await play(2000);
		expect(store.calls).toBe(1);
		expect(store.rows.has('members/10.0.0.1:7001')).toBe(true);
	});

	it('finds a newcomer that wrote its row after the first reading', async () => {
		const {roster, joined, addRow, play} = createWorld();
		void roster.enroll();
		await play(100);
		await addRow('10.0.0.2:7001');
		await play(3000);
		expect(joined).toContain('10.0.0.2:7001');
	});

	it('writes its row anew when it tells of another service', async () => {
		const {roster, store, addRow, play} = createWorld();
		await addRow('10.0.0.1:7001', '{"region":"r","zone":"z","service":"old"}');
		void roster.enroll();
		await play(100);
		expect(store.rows.get('members/10.0.0.1:7001')?.value).toContain('"service":"s"');
	});

	it('lets calls go to members of the rows that give a sign of life, and to none that a row spoils', async () => {
		const {roster, gossip, addRow, play, meet} = createWorld();
		for (const id of ['10.0.0.2:7001', '10.0.0.3:7001']) {
			await addRow(id, '{"region":"r","zone":"z","service":"t"}');
		}

		await addRow('10.0.0.4:7001', '{"region":"r","zone":"z"}');
		await addRow('10.0.0.5:7001', 'no JSON');
		void roster.enroll();
		await play(100);
		meet('10.0.0.2:7001');
		const routable = [...gossip.directory.ofService('t')].filter((member) => isRoutable(member));
		expect(routable.map(({id}) => id)).toEqual(['10.0.0.2:7001']);
		expect(gossip.directory.size).toBe(3);
	});

	it('knocks again while nobody has answered, without reading each time', async () => {
		const {roster, store, joined, addRow, play} = createWorld();
		await addRow('10.0.0.2:7001');
		store.calls = 0;
		void roster.enroll();
		await play(900);
		expect(joined.length).toBeGreaterThanOrEqual(3);
		expect(store.calls).toBeLessThanOrEqual(2);
	});

	it('introduces itself to a bounded number of members, most of them near', async () => {
		const {roster, joined, addRow, play} = createWorld();
		for (let i = 1; i <= 100; i++) {
			await addRow(`10.0.1.${i}:7001`, '{"region":"r","zone":"z","service":"t"}');
			await addRow(`10.0.2.${i}:7001`, '{"region":"r","zone":"y","service":"t"}');
			await addRow(`10.0.3.${i}:7001`, '{"region":"q","zone":"x","service":"t"}');
		}

		void roster.enroll();
		await play(100);
		const count = (start: string) => joined.filter((id) => id.startsWith(start)).length;
		expect([count('10.0.1.'), count('10.0.2.'), count('10.0.3.')]).toEqual([3, 2, 1]);
	});

	it('goes on until the store is back', async () => {
		const {roster, store, joined, addRow, play} = createWorld();
		await addRow('10.0.0.2:7001');
		store.isDown = true;
		void roster.enroll();
		await play(5000);
		expect(joined).toEqual([]);
		store.isDown = false;
		await play(1000);
		expect(joined).toContain('10.0.0.2:7001');
	});

	it('drops the row of a node that has been gone for long, and no other', async () => {
		const {roster, store, clock, gossip, addRow} = createWorld();
		gossip.directory.merge(createLocalMember('10.0.0.2:7001', 1, place));
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
		const {roster, store, play} = createWorld();
		void roster.enroll();
		await play(100);
		store.rows.clear();
		await roster.audit();
		expect(store.rows.has('members/10.0.0.1:7001')).toBe(true);
	});
});
