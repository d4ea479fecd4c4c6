import {Buffer} from 'node:buffer';
import {afterAll, beforeAll, describe, expect, it} from 'vitest';
import {Mesh, meshNetwork, type MeshNode, type MeshRoute} from '../scaffold/mesh/mesh.js';

const routes: MeshRoute[] = [
	{host: 'a.example', prefix: '/a/', kind: 'safe', service: 'alpha'},
	{host: 'a.example', prefix: '/b/', kind: 'safe', service: 'beta'},
];
const place = {region: 'one', zone: 'a', service: 'alpha'};
const nested = (depth: number) => `${'{"a":'.repeat(depth)}1${'}'.repeat(depth)}`;

/** Rows of the roster as another writer may leave them: key and value. */
const oddMembers: ReadonlyArray<readonly [string, string]> = [
	[`${meshNetwork}.62.11:99999`, JSON.stringify(place)],
	[`${meshNetwork}.62.90:-1`, JSON.stringify(place)],
	[`${meshNetwork}.62.91:1e300`, JSON.stringify(place)],
	['[::1]:7603', JSON.stringify(place)],
	['::1:7603', JSON.stringify(place)],
	['not an address', JSON.stringify(place)],
	['k'.repeat(200), JSON.stringify(place)],
	[`${meshNetwork}.62.92:7603`, nested(8000)],
	[`${meshNetwork}.62.93:7603`, JSON.stringify({...place, region: 'r'.repeat(40_000)})],
	[`${meshNetwork}.62.94:7603`, JSON.stringify({...place, zone: 'z'.repeat(3000)})],
	[`${meshNetwork}.62.95:7603`, JSON.stringify({...place, service: 's'.repeat(3000)})],
	[`${meshNetwork}.62.96:7603`, '[]'],
	[`${meshNetwork}.62.97:7603`, '{"region":1e400,"zone":{},"service":[]}'],
	[`${meshNetwork}.62.98:7603`, '\u{0}\u{FFFF}'],
];

/** Fields of heartbeats that name no backend server to use. */
const oddHeartbeats: ReadonlyArray<Record<string, unknown>> = [
	{address: `${meshNetwork}.62.11:99999`},
	{address: `${meshNetwork}.62.11:0`},
	{info: {service: 'gamma', version: 'v1', zone: 'z', slots: 4}},
	{
		info: {service: 'gamma', version: 'v1', zone: 'z', slots: 4},
		status: {state: 'draining', sequence: 1e6, cold_remaining_ms: 0},
	},
	{info: {service: 'alpha', zone: 'z', slots: 4}},
	{info: {service: 'alpha', version: 1, zone: 'z', slots: 4}},
	{info: {service: 'alpha', version: 'v1', zone: null, slots: 4}},
	{info: {service: 'alpha', version: 'v1', zone: 'z', slots: 1e15}},
	{info: {service: 'alpha', version: 'v1', zone: 'z', slots: 2 ** 32}},
	{info: {service: 's'.repeat(30_000), version: 'v1', zone: 'z', slots: 4}},
	{status: {state: 'ready', sequence: 1e308, cold_remaining_ms: 1e308}},
	{born: 1e300},
];

const oddFields = Object.fromEntries(
	oddHeartbeats.map((fields) => [JSON.stringify(fields), fields]),
);

describe('odd entries of other writers', () => {
	const mesh = new Mesh(62);
	let alpha: MeshNode;
	let beta: MeshNode;

	beforeAll(async () => {
		await mesh.startStore();
		for (const [key, value] of oddMembers) {
			await mesh.writeRow('members', key, Buffer.from(value, 'utf8').toString('base64'));
		}

		for (const key of ['evacuate/', `evacuate/${'z'.repeat(190)}`, 'other', 'config/']) {
			await mesh.writeRow('op', key, Buffer.from(nested(8000), 'utf8').toString('base64'));
		}

		alpha = await mesh.addNode({zone: 'a', region: 'one', service: 'alpha'});
		beta = await mesh.addNode({zone: 'b', region: 'one', service: 'beta'});
		await mesh.configure(routes);
	});

	afterAll(async () => {
		await mesh.stop();
	});

	async function expectService(): Promise<void> {
		for (const node of mesh.nodes) {
			for (const path of ['/a/1', '/b/1']) {
				await expect.poll(async () => mesh.statusFor(node, {path}), {timeout: 5000}).toBe(200);
			}
		}
	}

	function errors(node: MeshNode): unknown[] {
		return mesh.log(node).filter(({event}) => event === 'unexpected-error');
	}

	// Guards against nodes that end, or no longer find each other, over a row that they cannot use.
	it('in the roster keep no node from finding the others', async () => {
		await expectService();
		expect([...errors(alpha), ...errors(beta)]).toEqual([]);
	});

	// Guards against nodes that end over a heartbeat, and against one that takes the place of a good one.
	it.each([
		...oddHeartbeats.map((fields) => JSON.stringify(fields)),
		nested(8000),
		`{"status":${nested(8000)}}`,
		`${'['.repeat(30_000)}${']'.repeat(30_000)}`,
		'{"born":1e999}',
		'\u{0}',
	])('as a heartbeat end no node and stop no service: %s', async (text) => {
		await (text in oddFields
			? alpha.backend.heartbeat(oddFields[text])
			: alpha.backend.announce(text));
		await new Promise((resolve) => {
			setTimeout(resolve, 2500);
		});
		await expectService();
		expect([...errors(alpha), ...errors(beta)]).toEqual([]);
	});

	// Guards against a node that acknowledges that its server leaves, and goes on sending it requests. Last, as the server
	// does not come back.
	it('do not keep a node from obeying that its server leaves', async () => {
		const {backend} = alpha;
		const acks: unknown[] = [];
		for (const fields of oddHeartbeats) {
			const status = {state: 'ready', sequence: 1e6, cold_remaining_ms: 0};
			acks.push(await backend.heartbeat({status, ...fields}));
		}

		expect(acks.filter((status) => status === 200)).toEqual([]);
		backend.state = 'draining';
		expect(await backend.heartbeat()).toBe(200);
		const before = backend.seen.length;
		for (let i = 0; i < 20; i += 1) {
			await mesh.statusFor(beta, {path: '/a/left'});
		}

		expect(backend.seen).toHaveLength(before);
	});
});
