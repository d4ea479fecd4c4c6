import {afterAll, beforeAll, describe, expect, it} from 'vitest';
import {eventually, Mesh, type MeshNode, type MeshRoute} from '../scaffold/mesh/mesh.js';
import {
	sendPipelined,
	type PipelinedCall,
	type PipelineOptions,
	type PipelineTarget,
} from '../scaffold/mesh/pipelining-caller.js';
import {createRandom} from '../src/random/index.js';

/** Long enough that no request is refused or cut off because the machine is busy. */
const timeout = 30_000;
const routes: MeshRoute[] = [
	{host: 'a.example', prefix: '/safe/', kind: 'safe', service: 'alpha', timeout_ms: timeout},
	{host: 'a.example', prefix: '/unsafe/', kind: 'unsafe', service: 'alpha', timeout_ms: timeout},
];
const callerCount = 6;
const depth = 6;

describe('callers that pipeline requests', () => {
	const mesh = new Mesh(9);
	const random = createRandom(9);
	let first: MeshNode;
	let second: MeshNode;
	let ingress: MeshNode;
	let batches = 0;

	beforeAll(async () => {
		await mesh.startStore();
		first = await mesh.addNode({zone: 'a', region: 'one', service: 'alpha'});
		second = await mesh.addNode({zone: 'a', region: 'one', service: 'alpha'});
		ingress = await mesh.addNode({zone: 'a', region: 'one', service: 'beta'});
		await mesh.configure(routes);
		await mesh.settle();
		await eventually(async () => (await mesh.statusFor(ingress, {path: '/safe/0'})) === 200);
		first.backend.work = 15;
		second.backend.work = 35;
	});

	afterAll(async () => {
		await mesh.stop();
	});

	function target({address}: MeshNode): PipelineTarget {
		return {address, port: mesh.callerPort, host: 'a.example', timeout};
	}

	/** @returns the ids of all attempts that ran. */
	function runs(): string[] {
		return [first, second].flatMap(({backend}) => backend.seen.map(({id}) => id));
	}

	function createBatch(): PipelinedCall[] {
		batches += 1;
		return Array.from({length: depth}, (_, i) => {
			const isSafe = random.next() < 0.6;
			return {
				name: `b${batches}-${i}`,
				path: isSafe ? '/safe/p' : '/unsafe/p',
				isSafe,
				attempts: 0,
				status: undefined,
				answeredId: undefined,
			};
		});
	}

	async function callUntil(
		isOver: () => boolean,
		options: () => PipelineOptions = () => ({}),
	): Promise<PipelinedCall[]> {
		const all: PipelinedCall[] = [];
		const targets = [target(ingress), target(first)];
		await Promise.all(
			Array.from({length: callerCount}, async () => {
				while (!isOver()) {
					const batch = createBatch();
					all.push(...batch);
					await sendPipelined(targets, batch, options());
				}
			}),
		);
		return all;
	}

	function countUnsafeRuns(calls: readonly PipelinedCall[]): Map<string, number> {
		const ids = runs();
		const unsafe = calls.filter(({isSafe}) => !isSafe);
		return new Map(
			unsafe.map(({name}) => [name, ids.filter((id) => id.startsWith(`${name}.`)).length]),
		);
	}

	it('get each answer in the order of their requests', async () => {
		let left = 30;
		const calls = await callUntil(() => {
			left -= 1;
			return left < 0;
		});
		expect(calls.length).toBeGreaterThan(100);
		expect(calls.filter(({status}) => status !== 200)).toEqual([]);
		expect(calls.filter(({name, answeredId}) => answeredId !== `${name}.0`)).toEqual([]);
		expect(new Set(countUnsafeRuns(calls).values())).toEqual(new Set([1]));
	});

	it('have safe requests run together: none waits for the answer to an earlier one', async () => {
		const calls = createBatch().map((call) => ({...call, isSafe: true, path: '/safe/p'}));
		const held: Array<() => void> = [];
		for (const {backend} of [first, second]) {
			backend.behavior = ({id}, res) => {
				held.push(() => {
					res.writeHead(200, {'x-attempt-id': id, 'x-server-signature': 'signed'}).end(id);
				});
				if (held.length >= depth) {
					for (const answer of held.splice(0)) {
						answer();
					}
				}

				return true;
			};
		}

		await sendPipelined([target(ingress)], calls);
		expect(calls.map(({status, answeredId}) => ({status, answeredId}))).toEqual(
			calls.map(({name}) => ({status: 200, answeredId: `${name}.0`})),
		);
		first.backend.behavior = () => false;
		second.backend.behavior = () => false;
	});

	// A caller that resets its connection cannot know which unsafe requests ran, and sends none of them again.
	it('leave no request running, and run none twice, when they reset their connections', async () => {
		let left = 30;
		const calls = await callUntil(
			() => {
				left -= 1;
				return left < 0;
			},
			() => ({resetAfter: Math.floor(random.next() * depth)}),
		);
		for (const count of countUnsafeRuns(calls).values()) {
			expect(count).toBeLessThanOrEqual(1);
		}

		expect(calls.filter(({isSafe, status}) => isSafe && status !== 200)).toEqual([]);
		await eventually(async () => (await mesh.metric(ingress, 'turmeric_calls_in_flight')) === 0);
	});

	it('get every forwarded request answered, and run none twice, when their node stops', async () => {
		let isOver = false;
		const pending = callUntil(() => isOver);
		await eventually(() => runs().length > 500);
		const code = await mesh.endNode(ingress, 'SIGTERM');
		isOver = true;
		const calls = await pending;
		expect(code).toBe(0);
		expect(calls.some(({attempts, isSafe}) => attempts > 1 && !isSafe)).toBe(true);
		const unsafeRuns = countUnsafeRuns(calls);
		for (const {name, isSafe, status} of calls) {
			// Requests on a connection that was not accepted before the close never reached a backend server.
			const isUnread = !isSafe && status === undefined && unsafeRuns.get(name) === 0;
			expect({name, status: isUnread ? 200 : status}).toEqual({name, status: 200});
			expect(unsafeRuns.get(name) ?? 0).toBeLessThanOrEqual(1);
		}

		// An attempt that ran is the one that was answered: none was passed on behind the close.
		const answered = new Set(calls.map(({answeredId}) => answeredId));
		const names = new Set(calls.map(({name}) => name));
		const unanswered = runs().filter((id) => names.has(id.split('.', 1)[0]!) && !answered.has(id));
		expect(unanswered).toEqual([]);
	});
});
