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
