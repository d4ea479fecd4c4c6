import {afterAll, beforeAll, describe, expect, it} from 'vitest';
import {eventually, Mesh, type MeshRoute} from '../scaffold/mesh/mesh.js';

const first: MeshRoute = {host: 'a.example', prefix: '/first/', kind: 'safe', service: 'alpha'};
const added: MeshRoute = {host: 'a.example', prefix: '/added/', kind: 'safe', service: 'alpha'};

/** Longest time in ms from the acknowledgement of a configuration until every node applies it. */
const maxApplyMs = 2000;

async function sleep(durationMs: number): Promise<void> {
	await new Promise((resolve) => {
		setTimeout(resolve, durationMs);
	});
}

describe('nodes whose connections go silent', () => {
	const mesh = new Mesh(60);

	beforeAll(async () => {
		await mesh.startStore();
		for (const zone of ['a', 'b']) {
			await mesh.addNode({zone, region: 'one', service: 'alpha'});
			await mesh.addNode({zone, region: 'one', service: 'beta'});
		}

		await mesh.configure([first]);
		await mesh.settle();
	});

	afterAll(async () => {
		await mesh.stop();
	});

	async function measureApply(version: number): Promise<number> {
		const startedAt = performance.now();
		await mesh.configure([first, added], version);
		await Promise.all(
			mesh.nodes.map(async (node) => eventually(async () => (await mesh.version(node)) >= version)),
		);
		return performance.now() - startedAt;
	}

	// Guards against polls that wait for many seconds on a connection on which no answer can arrive.
	it.each([0, 300, 900, 1500])(
		'apply a configuration in time that is written %i ms after their polls of the store went silent',
		async (delay) => {
			// All polls are answered at the same moment, and so are of the same age.
			const version = (await mesh.version(mesh.nodes[0]!)) + 1;
			await measureApply(version);
			await sleep(500);
			await mesh.silenceStore();
			await sleep(delay);
			expect(await measureApply(version + 1)).toBeLessThan(maxApplyMs);
		},
	);
});
