import {afterAll, beforeAll, describe, expect, it} from 'vitest';
import {sendCall, type CallerAnswer} from '../scaffold/deployment/caller.js';
import {Deployment, fetchText, ports} from '../scaffold/deployment/deployment.js';
import {small} from '../scaffold/deployment/place.js';

const deployment = new Deployment(small, 41);

async function send(index: number, path: string, callId: string): Promise<CallerAnswer> {
	const node = `${deployment.pairs[index]!.address}:${ports.caller}`;
	return sendCall({node, service: 'stock', customer: 'kuressaare', path, callId, timeout: 4000});
}

async function restartCrashedBackends(): Promise<void> {
	for (const pair of deployment.pairs) {
		const isAlive = await deployment.running(pair).then(
			() => true,
			() => false,
		);
		if (!isAlive) {
			await deployment.startBackend(pair);
		}
	}

	await deployment.waitFor('all to serve', async () => deployment.isServing(3));
}

beforeAll(async () => {
	await deployment.open();
});

afterAll(async () => {
	await deployment.stop();
});

describe('a request that crashes backend servers', () => {
	it('is held on every node after two crashes, while other requests are still served', async () => {
		await send(0, '/stock', 'neighbour');
		const first = await send(0, '/crash', 'poison');
		expect(first.outcome).toBe('unknown');
		expect(deployment.runsOf('poison')).toBe(2);
		await deployment.waitFor('the hold to be everywhere', async () => {
			const texts = await Promise.all(
				deployment.pairs.map(async (pair) =>
					fetchText(`http://${pair.address}:${ports.operator}/v1/holds`),
				),
			);
			return texts.every((text) => text.includes('fingerprint'));
		});
		await restartCrashedBackends();
		for (const [i] of deployment.pairs.entries()) {
			const answer = await send(i, '/crash', 'poison');
			expect(answer).toMatchObject({outcome: 'not-run', reason: 'held'});
		}

		expect(deployment.runsOf('poison')).toBe(2);
		const neighbour = await send(1, '/stock', 'neighbour');
		expect(neighbour.outcome).toBe('answered');
	});

	it('runs again after an operator lifts the hold', async () => {
		const node = `${deployment.pairs[0]!.address}:${ports.operator}`;
		const text = await fetchText(`http://${node}/v1/holds`);
		const {holds} = JSON.parse(text) as {holds: Array<{fingerprint: string}>};
		await fetch(`http://${node}/v1/holds/${holds[0]!.fingerprint}`, {method: 'DELETE'});
		await deployment.waitFor('the hold to be lifted everywhere', async () => {
			const texts = await Promise.all(
				deployment.pairs.map(async (pair) =>
					fetchText(`http://${pair.address}:${ports.operator}/v1/holds`),
				),
			);
			return texts.every((item) => !item.includes('fingerprint'));
		});
		const answer = await send(2, '/crash', 'poison-again');
		expect(answer.outcome).toBe('unknown');
		expect(deployment.runsOf('poison-again')).toBeGreaterThan(0);
	});
});
