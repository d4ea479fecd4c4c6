import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import {
	eventually,
	Mesh,
	type MeshAnswer,
	type MeshNode,
	type MeshRoute,
} from '../scaffold/mesh/mesh.js';

const routes: MeshRoute[] = [
	{host: 'a.example', prefix: '/safe/', kind: 'safe', service: 'alpha', timeout_ms: 5000},
	{host: 'a.example', prefix: '/unsafe/', kind: 'unsafe', service: 'alpha', timeout_ms: 5000},
];
/** Longest time in ms from the acknowledgement of an evacuation until no node sends to its zone. */
const maxEvacuationMs = 5000;
/** A refusal is at once if it comes long before the 300 ms for which a call may wait for an executor. */
const maxRefusalMs = 150;
const evacuationRow = 'evacuate/a';

async function sleep(durationMs: number): Promise<void> {
	await new Promise((resolve) => {
		setTimeout(resolve, durationMs);
	});
}

describe('nodes on the platform, while an availability zone is evacuated', () => {
	let mesh: Mesh;
	let inA: MeshNode;
	let inB: MeshNode;
	let other: MeshNode;

	async function isServing(node: MeshNode): Promise<boolean> {
		return (await mesh.statusFor(node, {path: '/safe/0'})) === 200;
	}

	beforeEach(async () => {
		mesh = new Mesh(21);
		await mesh.startStore();
		inA = await mesh.addNode({zone: 'a', region: 'one', service: 'alpha'});
		inB = await mesh.addNode({zone: 'b', region: 'one', service: 'alpha'});
		other = await mesh.addNode({zone: 'c', region: 'two', service: 'beta'});
		await mesh.configure(routes);
		await mesh.settle();
		for (const node of mesh.nodes) {
			await eventually(async () => isServing(node));
		}
	});

	afterEach(async () => {
		await mesh.stop();
	});

	async function isEvacuatedAt(node: MeshNode, zone = 'a'): Promise<boolean> {
		const zones = await mesh.zones(node);
		return zones.some((entry) => entry.zone === zone && entry.isEvacuated);
	}

	async function awaitEvacuation(isEvacuated: boolean, nodes = mesh.nodes): Promise<void> {
		for (const node of nodes) {
			await eventually(async () => (await isEvacuatedAt(node)) === isEvacuated);
		}
	}

	async function sendFromAll(count: number, nodes = mesh.nodes): Promise<MeshAnswer[]> {
		const answers: MeshAnswer[] = [];
		for (let i = 0; i < count; i++) {
			for (const node of nodes) {
				const method = i % 2 === 0 ? 'GET' : 'POST';
				const path = i % 2 === 0 ? `/safe/${i}` : `/unsafe/${i}`;
				answers.push(await mesh.send(node, {path, method, body: method === 'POST' ? 'x' : ''}));
			}
		}

		return answers;
	}

	function hasEvent(node: MeshNode, name: string): boolean {
		return mesh.log(node).some(({event}) => event === name);
	}

	function statusesOf(answers: readonly MeshAnswer[]): Set<number> {
		return new Set(answers.map(({status}) => status));
	}

	it('send nothing new there, serve the callers of the zone from another one, and finish what runs', async () => {
		inA.backend.work = 800;
		const running: Array<Promise<MeshAnswer>> = [];
		const runsInA = () => inA.backend.seen.some(({path}) => path === '/unsafe/run');
		while (!runsInA()) {
			const req = {path: '/unsafe/run', method: 'POST', body: 'x', deadline: 5000};
			running.push(mesh.send(inA, req));
			await sleep(20);
		}

		await mesh.writeRow('op', evacuationRow, '');
		const acknowledgedAt = performance.now();
		await awaitEvacuation(true);
		expect(performance.now() - acknowledgedAt).toBeLessThan(maxEvacuationMs);

		const before = inA.backend.seen.length;
		expect(statusesOf(await sendFromAll(20))).toEqual(new Set([200]));
		expect(inA.backend.seen).toHaveLength(before);
		expect(statusesOf(await Promise.all(running))).toEqual(new Set([200]));
		await eventually(() => hasEvent(inA, 'zone-evacuated'));
		expect(mesh.log(inA).filter(({event}) => event === 'zone-evacuated')).toHaveLength(1);
		const lines = await mesh.control('zones', inB);
		expect(lines).toContainEqual(expect.stringMatching(/^one\/a: evacuated for \d+ s, from /v));
		expect(lines).toContainEqual(expect.stringMatching(/^two\/c: in use; 1 of 1 nodes serve$/v));
	});

	it('return to the zone when the row is removed', async () => {
		await mesh.writeRow('op', evacuationRow, '');
		await awaitEvacuation(true);
		await mesh.removeRow('op', evacuationRow);
		await awaitEvacuation(false);
		const before = inA.backend.seen.length;
		await eventually(async () => {
			await sendFromAll(2, [inA]);
			return inA.backend.seen.length > before;
		});
		await eventually(() => hasEvent(inB, 'evacuation-ended'));
	});

	it('learn of it from peers if the store rejects them', async () => {
		await mesh.setStoreFaults({refused: [inB.address, other.address]});
		await mesh.writeRow('op', evacuationRow, '');
		const acknowledgedAt = performance.now();
		await awaitEvacuation(true);
		expect(performance.now() - acknowledgedAt).toBeLessThan(maxEvacuationMs);
		const before = inA.backend.seen.length;
		expect(statusesOf(await sendFromAll(10))).toEqual(new Set([200]));
		expect(inA.backend.seen).toHaveLength(before);
	});

	it('keep it over a restart of a node of the zone while the store is down', async () => {
		await mesh.writeRow('op', evacuationRow, '');
		await awaitEvacuation(true);
		await mesh.endNode(inA, 'SIGKILL');
		await mesh.setStoreFaults({isDown: true});
		const before = inA.backend.seen.length;
		await mesh.startNode(inA);
		// From its first answer on, also while it is still joining.
		await eventually(async () => {
			const answer = await mesh.send(inA, {path: '/safe/early'});
			return answer.status === 200;
		});
		expect(statusesOf(await sendFromAll(10))).toEqual(new Set([200]));
		expect(inA.backend.seen).toHaveLength(before);
		const zones = await mesh.zones(inA);
		expect(zones.find(({zone}) => zone === 'a')?.source).not.toBe('store');
	});

	it('send nothing there after a freeze, when they still have the state from before it', async () => {
		mesh.signalNode(other, 'SIGSTOP');
		await mesh.writeRow('op', evacuationRow, '');
		await awaitEvacuation(true, [inA, inB]);
		const before = inA.backend.seen.length;
		mesh.signalNode(other, 'SIGCONT');
		expect(statusesOf(await sendFromAll(20, [other]))).toEqual(new Set([200]));
		await awaitEvacuation(true, [other]);
		expect(inA.backend.seen).toHaveLength(before);
	});

	it('read the end from a snapshot when the store has dropped the history that contains it', async () => {
		await mesh.writeRow('op', evacuationRow, '');
		await awaitEvacuation(true);
		await mesh.setStoreFaults({refused: mesh.nodes.map(({address}) => address)});
		// Ends the open polls, so that no node is told of the removal.
		await mesh.writeRow('op', 'other', '');
		await eventually(() => mesh.nodes.every((node) => hasEvent(node, 'feed-lost')));
		await mesh.removeRow('op', evacuationRow);
		await mesh.setStoreFaults({refused: [], isHistoryLost: true});
		await awaitEvacuation(false);
		await eventually(() => mesh.nodes.some((node) => hasEvent(node, 'feed-history-lost')));
	});

	it('end it when the store is restored to a state before the row, as versions of a later era go first', async () => {
		const copied = await mesh.storeVersion();
		await mesh.writeRow('op', evacuationRow, '');
		await awaitEvacuation(true);
		await mesh.restoreStore(copied);
		await awaitEvacuation(false);
	});

	it('refuse requests at once as not run while all zones with backend servers are evacuated', async () => {
		await mesh.writeRow('op', evacuationRow, '');
		await mesh.writeRow('op', 'evacuate/b', '');
		await awaitEvacuation(true);
		for (const node of mesh.nodes) {
			await eventually(async () => isEvacuatedAt(node, 'b'));
		}

		const before = inA.backend.seen.length + inB.backend.seen.length;
		for (const node of mesh.nodes) {
			// The fastest of some, as the machine may be busy; a call that waits is never fast.
			const times: number[] = [];
			for (let i = 0; i < 4; i++) {
				const sentAt = performance.now();
				const answer = await mesh.send(node, {path: '/safe/1'});
				times.push(performance.now() - sentAt);
				expect(answer.status).toBe(503);
				const {outcome, reason} = JSON.parse(answer.body) as Record<string, unknown>;
				expect({outcome, reason}).toEqual({outcome: 'not-run', reason: 'zone-evacuated'});
				expect(Number(answer.headers['retry-after'])).toBeGreaterThanOrEqual(1);
			}

			expect(Math.min(...times)).toBeLessThan(maxRefusalMs);
		}

		expect(inA.backend.seen.length + inB.backend.seen.length).toBe(before);
	});

	it('log an evacuation of a zone that no node knows, and go on', async () => {
		await mesh.writeRow('op', 'evacuate/nowhere', '');
		await eventually(() => hasEvent(other, 'evacuation-unknown-zone'));
		expect(statusesOf(await sendFromAll(4))).toEqual(new Set([200]));
	});
});
