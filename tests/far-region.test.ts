import {afterAll, beforeAll, expect, it} from 'vitest';
import {eventually, Mesh, type MeshRoute} from '../scaffold/mesh/mesh.js';

const route: MeshRoute = {host: 'a.example', prefix: '/a/', kind: 'safe', service: 'alpha'};
/** Longest time in ms from the acknowledgement of a configuration until every node applies it. */
const maxApplyMs = 2000;
const changes = 12;
const mesh = new Mesh(64);

beforeAll(async () => {
	await mesh.startStore();
	for (const [region, zone] of [
		['one', 'a'],
		['two', 'b'],
	] as const) {
		for (let i = 0; i < 4; i++) {
			await mesh.addNode({region, zone, service: 'alpha'});
		}
	}

	await mesh.configure([route]);
	await mesh.settle();
});

afterAll(async () => {
	await mesh.stop();
});

// Guards against news that cross to another region by chance only, when none of its nodes can read the store.
it('nodes of a region that the store rejects apply every configuration in time', async () => {
	const far = mesh.nodes.filter(({region}) => region === 'two');
	await mesh.setStoreFaults({refused: far.map(({address}) => address)});
	const times: number[] = [];
	for (let version = 2; version < 2 + changes; version++) {
		const startedAt = performance.now();
		await mesh.configure([route], version);
		await Promise.all(
			mesh.nodes.map(async (node) => eventually(async () => (await mesh.version(node)) >= version)),
		);
		times.push(Math.round(performance.now() - startedAt));
	}

	expect(times.filter((time) => time >= maxApplyMs)).toEqual([]);
}, 60_000);
