import {afterAll, beforeAll, describe, expect, it} from 'vitest';
import {Mesh, type MeshNode, type MeshRoute} from '../scaffold/mesh/mesh.js';

const routes: MeshRoute[] = [
	{host: 'a.example', prefix: '/long/', kind: 'unsafe', service: 'alpha', timeout_ms: 2500},
	{host: 'a.example', prefix: '/far/', kind: 'unsafe', service: 'beta', timeout_ms: 2500},
	{host: 'a.example', prefix: '/near/', kind: 'safe', service: 'gamma', timeout_ms: 300},
];
/** Length of a run of a long request, in ms; it fits into the time limit of its route. */
const work = 2200;
/** Time limit for a graceful stop in the settings of the nodes. */
const stopTimeout = 6000;

async function sleep(durationMs: number): Promise<void> {
	await new Promise((resolve) => {
		setTimeout(resolve, durationMs);
	});
}

describe('a node that stops while its backend server is busy', () => {
	const mesh = new Mesh(61);
	let stopping: MeshNode;
	let other: MeshNode;
	let quick: MeshNode;

	beforeAll(async () => {
		await mesh.startStore();
		stopping = await mesh.addNode({zone: 'a', region: 'one', service: 'alpha'});
		other = await mesh.addNode({zone: 'b', region: 'one', service: 'beta'});
		quick = await mesh.addNode({zone: 'b', region: 'one', service: 'gamma'});
		await mesh.configure(routes);
		await mesh.settle();
		await mesh.statusFor(other, {path: '/long/first', method: 'POST'});
	});

	afterAll(async () => {
		await mesh.stop();
	});

	// Guards against requests that a stopping node takes and then cuts, as they last longer than it does.
	it('cuts none of the requests that it takes late', async () => {
		stopping.backend.work = work;
		other.backend.work = work;

		const termAt = performance.now();
		const ended = mesh.endNode(stopping, 'SIGTERM');
		const until = async (offset: number) => sleep(termAt + offset - performance.now());
		await until(1500);
		const keepsBusy = mesh.send(other, {path: '/long/busy', method: 'POST', deadline: 2500});
		const late: Array<Promise<{id: string; status: number | undefined}>> = [];
		for (const offset of [3100, 3300, 3500]) {
			await until(offset);
			const id = `late-${offset}`;
			const request = {path: `/far/${offset}`, method: 'POST', id, deadline: 2500};
			late.push(
				mesh.statusFor(stopping, request).then(
					(status) => ({id, status}),
					() => ({id, status: undefined}),
				),
			);
		}

		// A request that ends before the node leaves is still served.
		expect(await mesh.statusFor(stopping, {path: '/near/1', deadline: 2500})).toBe(200);
		expect(quick.backend.seen).toHaveLength(1);
		const answers = await Promise.all(late);
		const ran = new Set(other.backend.seen.map(({id}) => id));
		const cut = answers.filter(({id, status}) => status === undefined && ran.has(id));
		expect(cut).toEqual([]);
		const refused = answers.filter((answer) => answer.status === 503);
		expect(refused.filter(({id}) => ran.has(id))).toEqual([]);
		expect(refused.length).toBeGreaterThan(0);
		const {status} = await keepsBusy;
		expect(status).toBe(200);
		expect(await ended).toBe(0);
		expect(performance.now() - termAt).toBeLessThan(stopTimeout);
	});

	// Guards against a second signal that ends the process at once, as the stop has already begun.
	it('cuts no request in flight when it gets a second signal to stop', async () => {
		const answer = mesh.send(other, {path: '/far/second', method: 'POST', deadline: 2500});
		await sleep(200);
		const ended = mesh.endNode(other, 'SIGTERM');
		await sleep(300);
		mesh.signalNode(other, 'SIGTERM');
		const {status} = await answer;
		expect(status).toBe(200);
		expect(await ended).toBe(0);
	});
});
