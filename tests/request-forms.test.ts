import {afterAll, beforeAll, describe, expect, it} from 'vitest';
import {requestRows} from '../scaffold/conformance/request-row.js';
import {RequestRun} from '../scaffold/conformance/request-run.js';
import {eventually, Mesh, type MeshNode} from '../scaffold/mesh/mesh.js';

describe('a request', () => {
	const mesh = new Mesh(74);
	let run: RequestRun;

	beforeAll(async () => {
		await mesh.startStore();
		const nodes: MeshNode[] = [
			await mesh.addNode({zone: 'a', region: 'one', service: 'beta'}),
			await mesh.addNode({zone: 'a', region: 'one', service: 'alpha'}),
			await mesh.addNode({zone: 'b', region: 'one', service: 'alpha'}),
		];
		await mesh.configure([
			{host: 'a.example', prefix: '/safe/', kind: 'safe', service: 'alpha'},
			{host: 'a.example', prefix: '/unsafe/', kind: 'unsafe', service: 'alpha'},
		]);
		await mesh.settle();
		await eventually(async () => (await mesh.statusFor(nodes[0]!, {path: '/safe/0'})) === 200);
		run = new RequestRun(mesh, nodes);
	});

	afterAll(async () => {
		await mesh.stop();
	});

	// Guards against sound requests that are refused, or changed on their way, for how they are written.
	it.each(requestRows)('reaches a backend server as it is meant ($name)', async (row) => {
		const violations: Array<string | undefined> = [];
		for (const kind of ['safe', 'unsafe']) {
			violations.push(await run.play(row, kind));
		}

		expect(violations).toEqual([undefined, undefined]);
	});
});
