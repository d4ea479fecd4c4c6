import type {ServerResponse} from 'node:http';
import {afterAll, beforeAll, beforeEach, describe, expect, it} from 'vitest';
import {
	eventually,
	Mesh,
	type MeshAnswer,
	type MeshNode,
	type MeshRoute,
} from '../scaffold/mesh/mesh.js';
import {serveNormally, type SeenRequest} from '../scaffold/mesh/mesh-backend.js';

const bound = {host: 'a.example', service: 'alpha', allowed_regions: ['one']};
const routes: MeshRoute[] = [
	{...bound, prefix: '/safe/', kind: 'safe'},
	{...bound, prefix: '/unsafe/', kind: 'unsafe'},
	{host: 'a.example', prefix: '/any/', kind: 'safe', service: 'alpha'},
	{host: 'a.example', prefix: '/inner/', kind: 'unsafe', service: 'beta'},
];
/** A refusal is at once if it comes long before the 300 ms for which a call may wait for an executor. */
const maxRefusalMs = 150;
/** Longer than what is sent in one piece with the head of a request. */
const longBody = 'x'.repeat(200_000);

describe('requests that may be sent to one region only', () => {
	const mesh = new Mesh(22);
	let near: MeshNode;
	let second: MeshNode;
	let far: MeshNode;
	let farIngress: MeshNode;

	beforeAll(async () => {
		await mesh.startStore();
		near = await mesh.addNode({zone: 'a', region: 'one', service: 'alpha'});
		second = await mesh.addNode({zone: 'b', region: 'one', service: 'alpha'});
		far = await mesh.addNode({zone: 'c', region: 'two', service: 'alpha'});
		farIngress = await mesh.addNode({zone: 'c', region: 'two', service: 'beta'});
		await mesh.configure(routes);
		await mesh.settle();
		await eventually(async () => {
			await mesh.send(farIngress, {path: '/any/0'});
			return far.backend.seen.length > 0;
		});
		await eventually(async () => (await mesh.statusFor(farIngress, {path: '/safe/0'})) === 200);
	});

	beforeEach(() => {
		for (const {backend} of mesh.nodes) {
			backend.behavior = serveNormally;
			backend.work = 5;
			backend.seen.length = 0;
		}
	});

	afterAll(async () => {
		await mesh.stop();
	});

	function seenElsewhere(): string[] {
		return [...far.backend.seen, ...farIngress.backend.seen].map(({path}) => path);
	}

	function expectRefused(answer: MeshAnswer): void {
		expect(answer.status).toBe(503);
		const {outcome, reason} = JSON.parse(answer.body) as Record<string, unknown>;
		expect({outcome, reason}).toEqual({outcome: 'not-run', reason: 'region-not-allowed'});
	}

	it('reach the backend servers of that region from an ingress of another one', async () => {
		for (let i = 0; i < 20; i++) {
			const body = i % 2 === 0 ? 'x' : longBody;
			const answer = await mesh.send(farIngress, {path: `/unsafe/${i}`, method: 'POST', body});
			expect(answer.status).toBe(200);
			expect(await mesh.statusFor(far, {path: `/safe/${i}`})).toBe(200);
		}

		expect(seenElsewhere()).toEqual([]);
		// A safe request may be hedged within the region.
		const ids = [...near.backend.seen, ...second.backend.seen].map(({id}) => id);
		expect(new Set(ids).size).toBe(40);
	});

	it('are neither hedged nor retried in another region when backend servers are slow, fail or break off', async () => {
		near.backend.work = 700;
		second.backend.work = 700;
		const slow = Array.from({length: 12}, async (_, i) =>
			mesh.send(i % 2 === 0 ? near : farIngress, {path: `/safe/slow-${i}`}),
		);
		await Promise.all(slow);
		for (const {backend} of [near, second]) {
			backend.behavior = ({path}, res) => {
				if (path.endsWith('broken')) {
					res.destroy();
				} else {
					res.writeHead(500, {'x-server-load': '0,0,4,100'}).end();
				}

				return true;
			};
		}

		for (let i = 0; i < 4; i++) {
			await mesh.send(farIngress, {path: `/safe/${i}-broken`});
			await mesh.send(near, {path: `/safe/${i}-failed`});
			await mesh.send(near, {path: `/unsafe/${i}-broken`, method: 'POST', body: longBody});
		}

		expect(seenElsewhere()).toEqual([]);
	});

	it('bind the nested calls that their backend server makes for them', async () => {
		const nested: MeshAnswer[] = [];
		const callNested = async (node: MeshNode, {id}: SeenRequest, res: ServerResponse) => {
			const inner = {path: `/inner/${id}`, method: 'POST', body: 'x', id: `${id}-1`};
			nested.push(await mesh.send(node, inner));
			const headers = {'x-attempt-id': id, 'x-server-signature': 's'};
			res.writeHead(200, {'x-server-load': '0,0,4,100', ...headers}).end('done');
		};

		for (const node of [near, second, far]) {
			node.backend.behavior = (req, res) => {
				void callNested(node, req, res);
				return true;
			};
		}

		expect(await mesh.send(near, {path: '/safe/1', id: 'bound'})).toMatchObject({body: 'done'});
		expectRefused(nested[0]!);
		expect(seenElsewhere()).toEqual([]);
		expect(await mesh.send(near, {path: '/any/1', id: 'free'})).toMatchObject({body: 'done'});
		expect(nested[1]?.status).toBe(200);
		// A parent that is hedged makes its nested call twice.
		const paths = new Set(farIngress.backend.seen.map(({path}) => path));
		expect(paths).toEqual(new Set(['/inner/free']));
	});

	it('are refused at once with the reason when only other regions are left', async () => {
		for (const node of [near, second]) {
			node.backend.stopHeartbeats();
			expect(await mesh.endNode(node, 'SIGTERM')).toBe(0);
		}

		await eventually(async () => {
			const {status} = await mesh.send(farIngress, {path: '/safe/probe'});
			return status === 503;
		});
		// The fastest of some, as the machine may be busy; a call that waits is never fast.
		const times: number[] = [];
		for (const body of ['x', longBody, 'x', longBody]) {
			const sentAt = performance.now();
			expectRefused(await mesh.send(farIngress, {path: '/unsafe/1', method: 'POST', body}));
			times.push(performance.now() - sentAt);
		}

		expect(Math.min(...times)).toBeLessThan(maxRefusalMs);

		expect(await mesh.statusFor(farIngress, {path: '/any/1'})).toBe(200);
		expect(seenElsewhere()).toEqual(['/any/1']);
	});
});
