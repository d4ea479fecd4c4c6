import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import {eventually, Mesh, type MeshNode, type MeshRoute} from '../scaffold/mesh/mesh.js';

const route: MeshRoute = {host: 'a.example', prefix: '/old/', kind: 'safe', service: 'alpha'};
const addedRoute: MeshRoute = {...route, prefix: '/new/'};
/** Longest time in ms from the acknowledgement of a configuration until every node applies it. */
const maxApplyMs = 2000;

describe('nodes on a store that was restored from an old copy', () => {
	let mesh: Mesh;
	let nodes: MeshNode[];

	beforeEach(async () => {
		mesh = new Mesh(8);
		await mesh.startStore();
		nodes = [
			await mesh.addNode({zone: 'a', region: 'one', service: 'alpha'}),
			await mesh.addNode({zone: 'b', region: 'one', service: 'alpha'}),
		];
		await mesh.configure([route]);
		await mesh.settle();
	});

	afterEach(async () => {
		await mesh.stop();
	});

	async function atEachNode(check: (node: MeshNode) => Promise<boolean>): Promise<void> {
		for (const node of nodes) {
			await eventually(async () => check(node));
		}
	}

	async function writeOtherRows(count: number): Promise<void> {
		for (let i = 0; i < count; i++) {
			await mesh.writeRow('op', 'other', `value-${i}`);
		}
	}

	it('apply a configuration whose version is below a position that was given out before the restore', async () => {
		const copied = await mesh.storeVersion();
		await writeOtherRows(10);
		await mesh.setStoreFaults({refused: nodes.map(({address}) => address)});
		await mesh.restoreStore(copied);
		await mesh.configure([route, addedRoute]);
		const acknowledgedAt = performance.now();
		await writeOtherRows(20);
		await mesh.setStoreFaults({refused: []});
		await atEachNode(async (node) => (await mesh.statusFor(node, {path: '/new/1'})) === 200);

		expect(performance.now() - acknowledgedAt).toBeLessThan(maxApplyMs);
	});

	it('keep the newest configuration while the store still has an older one', async () => {
		const copied = await mesh.storeVersion();
		await mesh.configure([route, addedRoute]);
		await eventually(async () => (await mesh.version(nodes[0]!)) === 2);
		await mesh.restoreStore(copied);
		await mesh.endNode(nodes[1]!, 'SIGKILL');
		await mesh.startNode(nodes[1]!);
		await mesh.settle();
		await atEachNode(async (node) => (await mesh.version(node)) === 2);

		await mesh.configure([route, addedRoute], 2);
		await mesh.configure([addedRoute]);
		await atEachNode(async (node) => (await mesh.version(node)) === 3);
	});

	it('are found by a node that starts after their rows were lost', async () => {
		await mesh.restoreStore(0);
		await mesh.configure([route], 1);
		await mesh.addNode({zone: 'c', region: 'two', service: 'alpha'});
		await mesh.settle();
	});
});
