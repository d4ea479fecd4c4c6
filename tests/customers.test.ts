import {execFile} from 'node:child_process';
import {Agent} from 'node:http';
import {promisify} from 'node:util';
import {afterAll, beforeAll, describe, expect, it} from 'vitest';
import {eventually, Mesh, type MeshNode, type MeshRoute} from '../scaffold/mesh/mesh.js';

const routes: MeshRoute[] = [
	{host: 'a.example', prefix: '/x/', kind: 'safe', service: 'alpha'},
	{host: 'a.example', prefix: '/put/', kind: 'unsafe', service: 'alpha'},
	{host: 'a.example', prefix: '/open/', kind: 'safe', service: 'alpha', anonymous: true},
];
/** Longest time in ms from the acknowledgement of a configuration until a removed key works nowhere. */
const maxApplyMs = 3000;

function withKey(key: string): {headers: Record<string, string>} {
	return {headers: {authorization: `Bearer ${key}`}};
}

describe('customers with keys', () => {
	const mesh = new Mesh(42);
	let alpha: MeshNode;
	let beta: MeshNode;
	let rejected: MeshNode;

	beforeAll(async () => {
		await mesh.startStore();
		alpha = await mesh.addNode({zone: 'a', region: 'one', service: 'alpha'});
		beta = await mesh.addNode({zone: 'b', region: 'one', service: 'beta'});
		rejected = await mesh.addNode({zone: 'b', region: 'one', service: 'beta'});
		await mesh.configure(routes, 1, {
			large: {api_keys: ['key-large', 'key-spare'], priority: 1, rate_per_s: 50},
			small: {api_keys: ['key-small']},
		});
		await mesh.settle();
		await eventually(
			async () => (await mesh.statusFor(beta, {path: '/x/0', ...withKey('key-small')})) === 200,
		);
	});

	afterAll(async () => {
		await mesh.stop();
	});

	it('are named to the backend server by the system alone, and their keys are not sent there', async () => {
		const headers = {
			'x-tenant': ['small', 'other'],
			'X-TENANT': 'third',
			authorization: 'Bearer key-large',
		};
		const answer = await mesh.send(beta, {path: '/x/1', id: 'forged', headers});
		expect(answer.status).toBe(200);
		const seen = alpha.backend.seen.find(({id}) => id === 'forged');
		const names = seen!.rawHeaders.filter((_text, i) => i % 2 === 0);
		expect(names.filter((name) => name.toLowerCase() === 'x-tenant')).toHaveLength(1);
		expect(seen!.headers['x-tenant']).toBe('large');
		expect(seen!.headers.authorization).toBeUndefined();
	});

	it('cannot be forged in a trailer', async () => {
		const headers = {
			...withKey('key-large').headers,
			'transfer-encoding': 'chunked',
			trailer: 'X-Tenant',
		};
		const answer = await mesh.send(beta, {
			path: '/put/1',
			method: 'POST',
			id: 'trailer',
			headers,
			trailers: {'X-Tenant': 'small'},
			body: 'x',
		});
		expect(answer.status).toBe(200);
		const seen = alpha.backend.seen.find(({id}) => id === 'trailer');
		expect(seen!.headers['x-tenant']).toBe('large');
		expect(seen!.trailers).toEqual({});
	});

	it.each([
		['no key', {}],
		['an unknown key', withKey('key-unknown')],
		['a customer without a key', {headers: {'x-tenant': 'large'}}],
	])('get 401 for a request with %s, which never reaches a backend server', async (_name, req) => {
		const answer = await mesh.send(beta, {path: '/x/2', id: 'refused', ...req});
		expect(answer.status).toBe(401);
		expect(alpha.backend.seen.some(({id}) => id === 'refused')).toBe(false);
		expect(await mesh.statusFor(beta, {path: '/open/2', ...req})).toBe(200);
	});

	it('lose a removed key in time, on open connections and at nodes that the store rejects', async () => {
		const nodes = [alpha, beta, rejected];
		const agents = nodes.map(() => new Agent({keepAlive: true, maxSockets: 1}));
		const statusAll = async (key: string) =>
			Promise.all(
				nodes.map(async (node, i) =>
					mesh.statusFor(node, {path: '/x/3', agent: agents[i], ...withKey(key)}),
				),
			);
		expect(await statusAll('key-large')).toEqual([200, 200, 200]);
		await mesh.setStoreFaults({refused: [rejected.address]});
		await mesh.configure(routes, 2, {
			large: {api_keys: ['key-new'], priority: 1, rate_per_s: 50},
			small: {api_keys: ['key-small']},
		});
		const ackedAt = performance.now();
		await eventually(async () => {
			const statuses = await statusAll('key-large');
			return statuses.every((status) => status === 401);
		});
		expect(performance.now() - ackedAt).toBeLessThan(maxApplyMs);
		expect(await statusAll('key-new')).toEqual([200, 200, 200]);
		expect(await statusAll('key-small')).toEqual([200, 200, 200]);
		await mesh.setStoreFaults({refused: []});
		for (const agent of agents) {
			agent.destroy();
		}
	});

	it('keep the configuration in force when the next one gives a key to two customers', async () => {
		await mesh.configure(routes, 3, {
			large: {api_keys: ['key-new']},
			small: {api_keys: ['key-new']},
		});
		await eventually(() =>
			mesh.output(alpha).includes('tenants.large and tenants.small share a key'),
		);
		expect(await mesh.version(alpha)).toBe(2);
		expect(await mesh.statusFor(alpha, {path: '/x/4', ...withKey('key-small')})).toBe(200);
	});

	it('are shown to operators with their use and refusals, without their keys', async () => {
		const {stdout} = await promisify(execFile)('node', [
			'dist/src/bin/turmericctl.js',
			'customers',
			mesh.operatorEndpoint(beta),
		]);
		expect(stdout).toMatch(/^large +1 +50 +\d/mv);
		expect(stdout).toMatch(/^small +- +- +\d/mv);
		const metrics = await mesh.operatorText(beta, '/metrics');
		expect(metrics).toContain('turmeric_customer_calls_total{customer="large",outcome="answered"}');
		const texts = [
			stdout,
			metrics,
			await mesh.operatorText(beta, '/v1/customers'),
			await mesh.operatorText(beta, '/v1/status'),
			await mesh.operatorText(beta, '/v1/members'),
			...mesh.nodes.map((node) => mesh.output(node)),
		];
		for (const text of texts) {
			expect(text).not.toMatch(/key-(?:large|small|spare|new|unknown)/v);
		}
	});
});
