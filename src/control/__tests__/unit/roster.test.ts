import {describe, expect, it} from 'vitest';
import {ManualClock} from '../../../clock/index.js';
import {createLocalMember, GossipType, isRoutable, MemberPhase} from '../../../membership/index.js';
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

function createFixture(isFirstStart = false) {
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

	const advance = async (span: number) => {
		for (let i = 0; i < span; i += 20) {
			for (let turn = 0; turn < 10; turn++) {
				await Promise.resolve();
			}

			clock.advance(20);
		}
	};

	const receiveFrom = (id: string) => {
		gossip.receive({
			type: GossipType.HeldRevision,
			sender: {id, incarnation: 1, version: 1},
			revision: 0,
		});
	};

	return {clock, gossip, store, roster, joined, addRow, advance, receiveFrom};
}

const minutes = 60_000;

describe('Roster', () => {
	// Guards against rows of other writers that take the places of members in the samples that are contacted.
	it('contacts no row that names no address', async () => {
		const {roster, joined, addRow, advance, receiveFrom} = createFixture();
		for (const id of ['10.0.0.3:99999', '10.0.0.4:-1', 'not an address', 'k'.repeat(200)]) {
			await addRow(id);
		}

		await addRow('10.0.0.2:7001');
		const enrolled = roster.enroll();
		await advance(200);
		expect(joined).toEqual(['10.0.0.2:7001']);
		receiveFrom('10.0.0.2:7001');
		await advance(500);
		await enrolled;
	});

	it('reads the rows, writes its missing row and joins the others', async () => {
		const {roster, store, joined, addRow, advance, receiveFrom} = createFixture();
		await addRow('10.0.0.2:7001');
		const enrolled = roster.enroll();
		await advance(200);
		expect(store.rows.has('members/10.0.0.1:7001')).toBe(true);
		expect(joined).toEqual(['10.0.0.2:7001']);
		receiveFrom('10.0.0.2:7001');
		await advance(500);
		await enrolled;
	});

	it('writes the lost rows of the present members of its zone after a restore of the store', async () => {
		const {roster, gossip, store, addRow, advance} = createFixture();
		const other = '10.0.0.2:7001';
		const gone = '10.0.0.3:7001';
		const elsewhere = '10.0.0.4:7001';
		gossip.directory.merge({...createLocalMember(other, 1, place), service: 't'});
		gossip.directory.merge({
			...createLocalMember(gone, 1, place),
			phase: MemberPhase.Left,
		});
		gossip.directory.merge(createLocalMember(elsewhere, 1, {...place, zone: 'y'}));
		store.isDown = true;
		const restored = roster.restoreRows();
		await advance(1000);
		store.isDown = false;
		await advance(1000);
		await restored;
		expect([...store.rows].map(([key, {value}]) => [key, value])).toEqual([
			['members/10.0.0.1:7001', '{"region":"r","zone":"z","service":"s"}'],
			[`members/${other}`, '{"region":"r","zone":"z","service":"t"}'],
		]);
		await addRow(gone);
		store.calls = 0;
		void roster.restoreRows();
		await advance(1000);
		expect(store.calls).toBe(1);
	});

	it('writes nothing when its row is up to date', async () => {
		const {roster, store, addRow, advance, receiveFrom} = createFixture();
		await addRow('10.0.0.1:7001', '{"region":"r","zone":"z","service":"s"}');
		await addRow('10.0.0.2:7001');
		store.calls = 0;
		void roster.enroll();
		await advance(100);
		receiveFrom('10.0.0.2:7001');
		await advance(2000);
		expect(store.calls).toBe(1);
	});

	it('does not read at the first start when another node has contacted it', async () => {
		const {roster, store, advance, receiveFrom} = createFixture(true);
		void roster.enroll();
		await advance(1);
		receiveFrom('10.0.0.2:7001');
		await advance(2000);
		expect(store.calls).toBe(1);
		expect(store.rows.has('members/10.0.0.1:7001')).toBe(true);
	});

	it('joins a node that wrote its row after the first read', async () => {
		const {roster, joined, addRow, advance} = createFixture();
		void roster.enroll();
		await advance(100);
		await addRow('10.0.0.2:7001');
		await advance(3000);
		expect(joined).toContain('10.0.0.2:7001');
	});

	it('replaces its row when it names another service', async () => {
		const {roster, store, addRow, advance} = createFixture();
		await addRow('10.0.0.1:7001', '{"region":"r","zone":"z","service":"old"}');
		void roster.enroll();
		await advance(100);
		expect(store.rows.get('members/10.0.0.1:7001')?.value).toContain('"service":"s"');
	});

	it('routes calls to members of the rows that answer, and to none with a malformed row', async () => {
		const {roster, gossip, addRow, advance, receiveFrom} = createFixture();
		for (const id of ['10.0.0.2:7001', '10.0.0.3:7001']) {
			await addRow(id, '{"region":"r","zone":"z","service":"t"}');
		}

		await addRow('10.0.0.4:7001', '{"region":"r","zone":"z"}');
		await addRow('10.0.0.5:7001', 'no JSON');
		void roster.enroll();
		await advance(100);
		receiveFrom('10.0.0.2:7001');
		const routable = [...gossip.directory.ofService('t')].filter((member) => isRoutable(member));
		expect(routable.map(({id}) => id)).toEqual(['10.0.0.2:7001']);
		expect(gossip.directory.size).toBe(3);
	});

	it('repeats the join until a member answers, without reading the rows each time', async () => {
		const {roster, store, joined, addRow, advance} = createFixture();
		await addRow('10.0.0.2:7001');
		store.calls = 0;
		void roster.enroll();
		await advance(900);
		expect(joined.length).toBeGreaterThanOrEqual(3);
		expect(store.calls).toBeLessThanOrEqual(2);
	});

	it('sends the join to a bounded number of members, most of them in its own zone and region', async () => {
		const {roster, joined, addRow, advance} = createFixture();
		for (let i = 1; i <= 100; i++) {
			await addRow(`10.0.1.${i}:7001`, '{"region":"r","zone":"z","service":"t"}');
			await addRow(`10.0.2.${i}:7001`, '{"region":"r","zone":"y","service":"t"}');
			await addRow(`10.0.3.${i}:7001`, '{"region":"q","zone":"x","service":"t"}');
		}

		void roster.enroll();
		await advance(100);
		const count = (start: string) => joined.filter((id) => id.startsWith(start)).length;
		expect([count('10.0.1.'), count('10.0.2.'), count('10.0.3.')]).toEqual([3, 2, 1]);
	});

	it('retries until the store is available again', async () => {
		const {roster, store, joined, addRow, advance} = createFixture();
		await addRow('10.0.0.2:7001');
		store.isDown = true;
		void roster.enroll();
		await advance(5000);
		expect(joined).toEqual([]);
		store.isDown = false;
		await advance(1000);
		expect(joined).toContain('10.0.0.2:7001');
	});

	it('removes the row of a node that has been absent for long, and no other', async () => {
		const {roster, store, clock, gossip, addRow} = createFixture();
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

	it('restores its own missing row', async () => {
		const {roster, store, advance} = createFixture();
		void roster.enroll();
		await advance(100);
		store.rows.clear();
		await roster.audit();
		expect(store.rows.has('members/10.0.0.1:7001')).toBe(true);
	});
});
