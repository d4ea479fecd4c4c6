import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {Deadline, RefusalReason} from '../../../call/index.js';
import {ManualClock} from '../../../clock/index.js';
import {DeclarationIndex} from '../../../declaration/index.js';
import {
	AttemptEnd,
	Cancellation,
	createRefused,
	createUnknown,
	createBufferedBody,
	type AttemptResult,
	type Call,
} from '../../../exchange/index.js';
import {
	Precondition,
	StoreUnavailableError,
	type Row,
	type TableService,
	type WriteOperation,
	type WriteResult,
} from '../../../store/index.js';
import {ClaimWriter, KeyedCalls, type KeyOwner} from '../../index.js';

const service = {
	service: 's',
	kind: 'k',
	queue: 1,
	warmUp: 0,
	probeBudget: 0,
	isOtherRegionAllowed: true,
};
const policy = {
	service: 's',
	customer: 'c',
	deadline: 1000,
	maxDeadline: 1000,
	idempotentMethods: [],
	idempotentPaths: [],
	maxAttempts: 1,
	retryShare: 0,
	hedgeShare: 0,
	share: 1,
	keyRetention: 600_000,
};
const index = new DeclarationIndex(1, {
	deployment: 'd',
	services: [service],
	calls: [policy],
	links: [],
});

/** A table that can be unavailable and can lose its answers after a write. */
class FakeTable implements TableService {
	readonly rows = new Map<string, Row>();
	isDown = false;
	lostAnswers = 0;

	async write(operations: readonly WriteOperation[]): Promise<readonly WriteResult[]> {
		if (this.isDown) {
			throw new StoreUnavailableError('down');
		}

		const results = operations.map((operation) => this.apply(operation));
		if (this.lostAnswers > 0) {
			this.lostAnswers -= 1;
			throw new StoreUnavailableError('lost');
		}

		return results;
	}

	async read(key: string): Promise<Row | undefined> {
		return this.rows.get(key);
	}

	async list(): Promise<readonly Row[]> {
		return [...this.rows.values()];
	}

	async deleteAll(): Promise<void> {
		this.rows.clear();
	}

	private apply({key, value, expect: condition, alsoAbsent = []}: WriteOperation): WriteResult {
		const row = [key, ...alsoAbsent].map((item) => this.rows.get(item)).find(Boolean);
		if (row && condition === Precondition.Absent) {
			return {isApplied: false, row};
		}

		const written = {key, value: value ?? '', etag: '1'};
		this.rows.set(key, written);
		return {isApplied: true, row: written};
	}
}

/** Nodes that share a table and call each other without delay. */
class TestCluster {
	readonly clock = new ManualClock(10_000_000);
	readonly table = new FakeTable();
	readonly nodes: KeyedCalls[] = [];
	runs = 0;
	next: AttemptResult = createRefused(RefusalReason.NoBackend);

	constructor(size: number) {
		for (let i = 0; i < size; i++) {
			const self: KeyOwner = {id: `10.0.0.${i + 1}:7001`, instance: `i${i}`};
			const {clock, table} = this;
			this.nodes.push(
				new KeyedCalls({
					clock,
					self,
					claims: new ClaimWriter({clock, store: table, self}),
					runCall: async () => {
						this.runs += this.next.end === AttemptEnd.Refused ? 0 : 1;
						return {result: this.next, attempts: 1, executor: undefined};
					},
					sendToOwner: async (owner, call) => {
						const position = Number(owner.instance.slice(1));
						const end = await this.nodes[position]!.runAsOwner(call, 'key');
						return end.result;
					},
					findSuccessor: async () => undefined,
				}),
			);
		}
	}

	async send(node: number): Promise<AttemptResult> {
		const pending = this.nodes[node]!.run(this.createCall(), 'key');
		for (let i = 0; i < 20; i++) {
			this.clock.advance(1);
			await Promise.resolve();
		}

		const end = await pending;
		return end.result;
	}

	private createCall(): Call {
		return {
			head: {
				service: 's',
				customer: 'c',
				method: 'POST',
				path: '/',
				headers: [],
				isIdempotent: false,
				key: 'key',
				origin: {requestId: 'r', caller: '', route: '', priority: 0},
				fingerprint: 'f',
			},
			policy,
			service,
			index,
			deadline: new Deadline(this.clock.now() + 1000),
			objective: new Deadline(this.clock.now() + 1000),
			objectiveDuration: 1000,
			body: createBufferedBody(new Uint8Array()),
			cancellation: new Cancellation(),
		};
	}
}

const answered: AttemptResult = {
	end: AttemptEnd.Answered,
	status: 200,
	headers: [],
	body: createBufferedBody(Uint8Array.from([1])),
	load: undefined,
};

describe('KeyedCalls', () => {
	it('runs a call at most once across repeated requests, store outages, lost answers and refusals', async () => {
		const step = fc.record({
			node: fc.nat(2),
			store: fc.constantFrom('up', 'up', 'down', 'loses one', 'loses two'),
			end: fc.constantFrom('answered', 'refused', 'unknown'),
		});
		await fc.assert(
			fc.asyncProperty(fc.array(step, {minLength: 1, maxLength: 12}), async (steps) => {
				const cluster = new TestCluster(3);
				for (const {node, store, end} of steps) {
					cluster.table.isDown = store === 'down';
					cluster.table.lostAnswers = store === 'loses one' ? 1 : store === 'loses two' ? 2 : 0;
					const ends = {
						answered,
						refused: createRefused(RefusalReason.NoBackend),
						unknown: createUnknown(RefusalReason.BackendLost),
					};
					cluster.next = ends[end];
					await cluster.send(node);
					expect(cluster.runs).toBeLessThanOrEqual(1);
				}
			}),
			{seed: 20_261_204, numRuns: 300},
		);
	});
});
