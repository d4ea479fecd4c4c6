import {afterAll, beforeAll, describe, expect, it} from 'vitest';
import {eventually, Mesh, type MeshNode, type MeshRoute} from '../scaffold/mesh/mesh.js';

const routes: MeshRoute[] = [{host: 'a.example', prefix: '/safe/', kind: 'safe', service: 'alpha'}];

describe('nodes beside a backend server that says in its answers that it leaves', () => {
	const mesh = new Mesh(7);
	let leaving: MeshNode;
	let staying: MeshNode;

	/** @returns the statuses of 60 requests, sent in turn to both nodes. */
	async function sendSome(): Promise<number[]> {
		const statuses: number[] = [];
		for (let i = 0; i < 60; i++) {
			const status = await mesh.statusFor(i % 2 === 0 ? leaving : staying, {path: '/safe/1'});
			statuses.push(status);
		}

		return statuses;
	}

	beforeAll(async () => {
		await mesh.startStore();
		leaving = await mesh.addNode({zone: 'a', region: 'one', service: 'alpha'});
		staying = await mesh.addNode({zone: 'b', region: 'one', service: 'alpha'});
		await mesh.configure(routes);
		await mesh.settle();
		await eventually(async () => {
			const statuses = await sendSome();
			return statuses.every((status) => status === 200) && leaving.backend.seen.length > 0;
		});
	});

	afterAll(async () => {
		await mesh.stop();
	});

	it('send it nothing after the first such answer although it announces itself as ready', async () => {
		leaving.backend.notices = {'server-leaving': '1'};
		await eventually(async () => {
			const before = leaving.backend.seen.length;
			await sendSome();
			return leaving.backend.seen.length === before;
		});
		const before = leaving.backend.seen.length;
		await new Promise((resolve) => {
			setTimeout(resolve, 1500);
		});
		expect(new Set(await sendSome())).toEqual(new Set([200]));
		expect(leaving.backend.seen.length).toBe(before);
	});

	it('send it nothing after the node beside it was killed and has started again', async () => {
		const before = leaving.backend.seen.length;
		await mesh.endNode(leaving, 'SIGKILL');
		await mesh.startNode(leaving);
		await mesh.settle();
		await sendSome();
		expect(leaving.backend.seen.length).toBe(before);
	});
});

describe('a node that starts again', () => {
	const mesh = new Mesh(75);
	let restarted: MeshNode;
	let other: MeshNode;

	async function sendSome(): Promise<void> {
		for (let i = 0; i < 40; i++) {
			await mesh.statusFor(i % 2 === 0 ? restarted : other, {path: '/safe/1'});
		}
	}

	async function restart(): Promise<void> {
		await mesh.endNode(restarted, 'SIGKILL');
		const {healthQueries} = restarted.backend;
		await mesh.startNode(restarted);
		await eventually(async () => restarted.backend.healthQueries > healthQueries + 1);
	}

	beforeAll(async () => {
		await mesh.startStore();
		restarted = await mesh.addNode({zone: 'a', region: 'one', service: 'alpha'});
		other = await mesh.addNode({zone: 'b', region: 'one', service: 'alpha'});
		await mesh.configure(routes);
		await mesh.settle();
		await eventually(async () => {
			await sendSome();
			return restarted.backend.seen.length > 0;
		});
	});

	afterAll(async () => {
		await mesh.stop();
	});

	// Guards against a sound backend server that is kept out of use because its health path is wrong.
	it('uses a backend server again that goes on announcing itself, whatever its health path says', async () => {
		const {backend} = restarted;
		backend.isHealthy = false;
		await restart();
		const before = backend.seen.length;
		await eventually(async () => {
			await sendSome();
			return backend.seen.length > before;
		});
		backend.isHealthy = true;
	});

	// Guards against requests to a backend server that left before, as two of its announcements arrive late.
	it('uses no backend server that left before, although its announcements arrive late', async () => {
		const {backend} = restarted;
		backend.stopHeartbeats();
		backend.isHealthy = false;
		expect(await backend.deregister()).toBe(200);
		await restart();
		const before = backend.seen.length;
		expect(await backend.heartbeat()).toBe(200);
		expect(await backend.heartbeat()).toBe(200);
		await mesh.settle();
		await sendSome();
		expect(backend.seen.length).toBe(before);
	});
});
