import {afterAll, beforeAll, describe, expect, it} from 'vitest';
import {eventually, Mesh, type MeshRoute} from '../scaffold/mesh/mesh.js';

const first: MeshRoute = {host: 'a.example', prefix: '/first/', kind: 'safe', service: 'alpha'};
const added: MeshRoute = {host: 'a.example', prefix: '/added/', kind: 'safe', service: 'alpha'};

const services = ['alpha', 'beta', 'gamma', 'delta'];

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
			for (const service of services) {
				await mesh.addNode({zone, region: 'one', service, hasRelay: true});
			}
		}

		await mesh.configure([first]);
		await mesh.settle();
	});

	afterAll(async () => {
		await mesh.stop();
	});

	/** Lets each node send a request to each other, so that links are open between all. */
	async function linkAll(): Promise<void> {
		await mesh.configure(
			services.flatMap((service) => [
				{...first, prefix: `/${service}/`, service},
				{...first, prefix: `/unsafe-${service}/`, service, kind: 'unsafe', timeout_ms: 2500},
			]),
		);
		await sleep(500);
		for (const service of services) {
			const paths = Array.from({length: 10}, (_, i) => `/${service}/${i}`);
			await Promise.all(
				mesh.nodes.flatMap((node) =>
					paths.map(async (path) => mesh.statusFor(node, {path, deadline: 3000})),
				),
			);
		}
	}

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

	// Guards against nodes that wait for the content of a revision on silent links, one after the other.
	it.each([100, 3000])(
		'apply a configuration in time %i ms after their links and polls of the store went silent',
		async (delay) => {
			await linkAll();
			mesh.silenceLinks();
			await mesh.silenceStore();
			await sleep(delay);
			const version = (await mesh.version(mesh.nodes[0]!)) + 1;
			expect(await measureApply(version)).toBeLessThan(maxApplyMs);
		},
	);

	// Guards against unsafe requests that wait on a silent link until their deadline.
	it('get every request answered that is sent after their links went silent', async () => {
		await linkAll();
		mesh.silenceLinks();
		await sleep(300);
		const answers = await Promise.all(
			mesh.nodes.flatMap((node) =>
				services.map(async (service, i) => {
					const id = `unsafe-${node.name}-${i}`;
					const path = `/unsafe-${service}/1`;
					return {
						id,
						status: await mesh.statusFor(node, {path, method: 'POST', id, deadline: 2500}),
					};
				}),
			),
		);
		expect(answers.filter(({status}) => status !== 200)).toEqual([]);
		const runs = mesh.nodes.flatMap(({backend}) => backend.seen.map(({id}) => id));
		expect(runs.filter((id) => id.startsWith('unsafe-'))).toHaveLength(answers.length);
	});
});
