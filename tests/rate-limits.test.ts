import {afterAll, beforeAll, describe, expect, it} from 'vitest';
import type {MeshBackend} from '../scaffold/mesh/mesh-backend.js';
import {eventually, Mesh, type MeshNode, type MeshRoute} from '../scaffold/mesh/mesh.js';

const routes: MeshRoute[] = [
	{host: 'a.example', prefix: '/safe/', kind: 'safe', service: 'alpha'},
	{host: 'a.example', prefix: '/unsafe/', kind: 'unsafe', service: 'alpha'},
];
const limit = 3;
const windowMs = 4000;
/** Requests that a backend server with the limit may get in a window. */
const maxInWindow = 1.5 * limit * (windowMs / 1000) + 5;
const sendPeriodMs = 15;

function busiestWindow(times: readonly number[]): number {
	let most = 0;
	for (const [i, from] of times.entries()) {
		const end = times.findIndex((time) => time >= from + windowMs);
		most = Math.max(most, (end === -1 ? times.length : end) - i);
	}

	return most;
}

function startsSince(backend: MeshBackend, from: number): number[] {
	return backend.seen.map(({at}) => at).filter((at) => at >= from);
}

describe('nodes beside a backend server that names a rate limit', () => {
	const mesh = new Mesh(11);
	let limited: MeshNode;
	let free: MeshNode;
	let other: MeshNode;

	/** Sends requests in turn to each node for a while, while `action` runs, and counts the statuses. */
	async function sendFor(durationMs: number, action?: () => Promise<void>): Promise<number[]> {
		const until = performance.now() + durationMs;
		const answers: Array<Promise<number>> = [];
		const acting = action?.();
		for (let i = 0; performance.now() < until; i++) {
			const path = i % 3 === 0 ? '/unsafe/1' : '/safe/1';
			const from = i % 2 === 0 ? other : free;
			answers.push(mesh.statusFor(from, {path, method: i % 3 === 0 ? 'POST' : 'GET'}));
			await new Promise((resolve) => {
				setTimeout(resolve, sendPeriodMs);
			});
		}

		await acting;
		return Promise.all(answers);
	}

	beforeAll(async () => {
		await mesh.startStore();
		limited = await mesh.addNode({zone: 'a', region: 'one', service: 'alpha'});
		free = await mesh.addNode({zone: 'b', region: 'one', service: 'alpha'});
		other = await mesh.addNode({zone: 'a', region: 'one', service: 'beta'});
		await mesh.configure(routes);
		await mesh.settle();
		for (const node of [other, free]) {
			await eventually(async () => (await mesh.statusFor(node, {path: '/safe/0'})) === 200);
		}

		limited.backend.work = 60;
		free.backend.work = 20;
	});

	afterAll(async () => {
		await mesh.stop();
	});

	it('send it no more requests from all nodes together than the limit allows', async () => {
		limited.backend.notices = {'server-limit': String(limit)};
		const from = performance.now();
		const statuses = await sendFor(6000);
		const starts = startsSince(limited.backend, from);
		expect(busiestWindow(starts)).toBeLessThanOrEqual(maxInWindow);
		expect(statuses.filter((status) => status === 200).length / statuses.length).toBeGreaterThan(
			0.98,
		);
		expect(starts.length).toBeGreaterThan(limit);
	});

	it('keep the limit while the node beside it is killed and starts again', async () => {
		const from = performance.now();
		await sendFor(7000, async () => {
			await mesh.endNode(limited, 'SIGKILL');
			await mesh.startNode(limited);
		});
		expect(busiestWindow(startsSince(limited.backend, from))).toBeLessThanOrEqual(maxInWindow);
	});

	it('use the backend server in full again once its answers name no limit', async () => {
		limited.backend.notices = {};
		await sendFor(1500);
		const from = performance.now();
		await sendFor(3000);
		expect(startsSince(limited.backend, from).length).toBeGreaterThan(3 * limit * 3);
	});
});
