import {setTimeout as sleep} from 'node:timers/promises';
import {afterAll, beforeAll, describe, expect, it} from 'vitest';
import type {MeshBackend} from '../scaffold/mesh/mesh-backend.js';
import {
	eventually,
	Mesh,
	type MeshAnswer,
	type MeshNode,
	type MeshRoute,
} from '../scaffold/mesh/mesh.js';

const routes: MeshRoute[] = [
	{host: 'a.example', prefix: '/safe/', kind: 'safe', service: 'alpha', priority: 1},
	{host: 'a.example', prefix: '/unsafe/', kind: 'unsafe', service: 'alpha', priority: 0},
];
const coldRate = 2;
/** Requests that a cold backend server may get in any second from all nodes together. */
const max = 1.5 * coldRate + 8;
const settings = ['[cold]', 'overage = 1.5', 'slack = 8'];
const sendPeriodMs = 10;
const windowMs = 1000;

interface TimedAnswer extends MeshAnswer {
	readonly path: string;
	readonly tookMs: number;
}

function startsSince(backend: MeshBackend, from: number): number[] {
	return backend.seen.map(({at}) => at).filter((at) => at >= from);
}

function busiestSecond(times: readonly number[]): number {
	return Math.max(
		0,
		...times.map((from) => times.filter((at) => at >= from && at < from + windowMs).length),
	);
}

function shareOf(answers: readonly TimedAnswer[], status: number): number {
	return answers.filter((answer) => answer.status === status).length / answers.length;
}

describe('nodes beside cold backend servers', () => {
	const mesh = new Mesh(122);
	let first: MeshNode;
	let second: MeshNode;
	let other: MeshNode;

	async function becomeCold(node: MeshNode, durationMs: number): Promise<number> {
		node.backend.coldUntil = performance.now() + durationMs;
		await node.backend.heartbeat();
		return performance.now();
	}

	async function sendTimed(node: MeshNode, path: string, method: string): Promise<TimedAnswer> {
		const sentAt = performance.now();
		const answer = await mesh.send(node, {path, method});
		return {...answer, path, tookMs: performance.now() - sentAt};
	}

	/** Sends requests in turn to two nodes for a while; `action` runs at the same time. */
	async function sendFor(durationMs: number, action?: () => Promise<void>): Promise<TimedAnswer[]> {
		const until = performance.now() + durationMs;
		const answers: Array<Promise<TimedAnswer>> = [];
		const acting = action?.();
		for (let i = 0; performance.now() < until; i++) {
			const isUnsafe = i % 4 === 0;
			const from = i % 2 === 0 ? other : second;
			answers.push(sendTimed(from, isUnsafe ? '/unsafe/1' : '/safe/1', isUnsafe ? 'POST' : 'GET'));
			await sleep(sendPeriodMs);
		}

		await acting;
		return Promise.all(answers);
	}

	/** @returns the reasons of the attempts that a node has refused. */
	function refusalReasons(node: MeshNode, from: number): unknown[] {
		const since = performance.timeOrigin + from;
		return mesh
			.log(node)
			.filter(({event}) => event === 'attempt-refused')
			.filter(({timestamp}) => Date.parse(String(timestamp)) >= since)
			.map(({reason}) => reason);
	}

	beforeAll(async () => {
		mesh.serviceFields = {cold_per_s: coldRate, cold_start_s: 3};
		await mesh.startStore();
		first = await mesh.addNode({zone: 'a', region: 'one', service: 'alpha', settings});
		second = await mesh.addNode({zone: 'b', region: 'one', service: 'alpha', settings});
		other = await mesh.addNode({zone: 'a', region: 'one', service: 'beta', settings});
		await mesh.configure(routes);
		await mesh.settle();
		for (const node of [other, second]) {
			await eventually(async () => (await mesh.statusFor(node, {path: '/safe/0'})) === 200);
		}

		// Longer than the window in which the nodes of a restart send nothing.
		await sleep(1500);
	});

	afterAll(async () => {
		await mesh.stop();
	});

	it('send it no more requests from all nodes together than it tolerates while the others are full', async () => {
		second.backend.work = 100;
		const from = await becomeCold(first, 6000);
		const answers = await sendFor(5000);
		const starts = startsSince(first.backend, from);
		expect(busiestSecond(starts)).toBeLessThanOrEqual(max);
		expect(starts.length).toBeGreaterThan(3 * max);
		expect(shareOf(answers, 200) + shareOf(answers, 503)).toBeCloseTo(1);
	});

	it('keep the bound while the node beside it is killed and starts again', async () => {
		const from = await becomeCold(first, 20_000);
		await sendFor(8000, async () => {
			await sleep(1500);
			await mesh.endNode(first, 'SIGKILL');
			await mesh.startNode(first);
		});
		const starts = startsSince(first.backend, from);
		expect(busiestSecond(starts)).toBeLessThanOrEqual(max);
		expect(starts.at(-1)! - from).toBeGreaterThan(7000);
		await eventually(async () => mesh.isReady(first));
	});

	it('refuse at once what cold backend servers cannot bear, the least valuable first', async () => {
		const from = Math.max(await becomeCold(first, 20_000), await becomeCold(second, 20_000));
		await sleep(1000);
		const answers = await sendFor(5000);
		for (const {backend} of [first, second]) {
			expect(busiestSecond(startsSince(backend, from))).toBeLessThanOrEqual(max);
		}

		const refused = answers.filter(({status}) => status === 503);
		expect(refused.length).toBeGreaterThan(answers.length / 2);
		expect(refused.length + answers.length * shareOf(answers, 200)).toBeCloseTo(answers.length);
		// Executors refuse with this reason on arrival, and with another one the calls that have waited in vain.
		const reasons = [first, second].flatMap((node) => refusalReasons(node, from));
		const atOnce = reasons.filter((reason) => reason === 'backend-cold');
		expect(atOnce.length / reasons.length).toBeGreaterThan(0.8);
		const times = refused.map(({tookMs}) => tookMs).toSorted((a, b) => a - b);
		expect(times[Math.floor(times.length / 2)]).toBeLessThan(100);
		for (const {headers, body} of refused) {
			expect(Number(headers['retry-after'])).toBeGreaterThan(0);
			expect(Number(headers['retry-after'])).toBeLessThanOrEqual(1);
			expect(body).toContain('"outcome":"not-run"');
		}

		const unsafe = answers.filter(({path}) => path === '/unsafe/1');
		const safe = answers.filter(({path}) => path === '/safe/1');
		expect(shareOf(unsafe, 200)).toBeGreaterThan(2 * shareOf(safe, 200));
	});

	it('use the backend servers in full again as soon as they are warm', async () => {
		second.backend.work = 5;
		await becomeCold(first, 0);
		await becomeCold(second, 0);
		const from = performance.now();
		const answers = await sendFor(2000);
		expect(shareOf(answers, 200)).toBeGreaterThan(0.99);
		expect(busiestSecond(startsSince(first.backend, from))).toBeGreaterThan(2 * max);
		const names = mesh.log(first).map(({event}) => event);
		expect(names).toContain('backend-cold');
		expect(names).toContain('backend-warm');
	});
});
