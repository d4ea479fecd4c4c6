import {afterAll, beforeAll, describe, expect, it} from 'vitest';
import {sendCall, type CallerAnswer, type CallerRequest} from '../scaffold/deployment/caller.js';
import {Deployment, fetchText, ports, type Pair} from '../scaffold/deployment/deployment.js';
import {small} from '../scaffold/deployment/place.js';

const deployment = new Deployment(small, 51);

async function send(
	pair: Pair,
	request: Partial<CallerRequest> & {callId: string},
): Promise<CallerAnswer> {
	const node = `${pair.address}:${ports.caller}`;
	return sendCall({node, service: 'stock', customer: 'kuressaare', method: 'POST', ...request});
}

async function setServing(serving: readonly Pair[]): Promise<void> {
	for (const pair of deployment.pairs) {
		await deployment.setBehaviour(pair, {isSilent: !serving.includes(pair)});
	}

	await deployment.waitFor('the others to be gone', async () =>
		deployment.isServing(serving.length),
	);
}

beforeAll(async () => {
	await deployment.open();
});

afterAll(async () => {
	await deployment.stop();
});

describe('broken paths', () => {
	it('never presents a truncated streamed answer as complete', async () => {
		for (const [i, pair] of deployment.pairs.entries()) {
			const path = '/?size=300000&break-after=100000';
			const answer = await send(pair, {callId: `part-${i}`, path});
			expect(answer.outcome).toBe('broken');
		}
	});

	it('reports outcome unknown when a small answer is truncated', async () => {
		for (const [i, pair] of deployment.pairs.entries()) {
			const answer = await send(pair, {callId: `small-${i}`, path: '/?size=2000&break-after=500'});
			expect(answer).toMatchObject({outcome: 'unknown', reason: 'backend-lost'});
			expect(deployment.runsOf(`small-${i}`)).toBe(1);
		}
	});

	it('resolves the outcome of a call whose frame is lost when its link is cut', async () => {
		const [ingress, , executor] = deployment.pairs;
		await setServing([executor!]);
		await send(ingress!, {callId: 'opens-the-link'});
		await deployment.setNetworkFaults({cutRegions: ['parnu']});
		const pending = send(ingress!, {callId: 'on-its-way', timeout: 8000});
		await new Promise((resolve) => {
			setTimeout(resolve, 500);
		});
		await deployment.setNetworkFaults({cutRegions: []});
		const answer = await pending;
		const runs = deployment.runsOf('on-its-way');
		// The frame is lost with its connection, so the executor can confirm that the call did not run.
		expect(answer.outcome).not.toBe('unknown');
		expect(runs).toBe(answer.outcome === 'answered' ? 1 : 0);
		await setServing(deployment.pairs);
	});

	it('reports outcome unknown, and runs the call once, when a link is cut during the call', async () => {
		const [ingress, , executor] = deployment.pairs;
		await setServing([executor!]);
		await send(ingress!, {callId: 'opens-it-again'});
		const pending = send(ingress!, {callId: 'in-flight', path: '/?ms=1500', timeout: 6000});
		await deployment.waitFor('the call to run', async () => deployment.runsOf('in-flight') === 1);
		await deployment.setNetworkFaults({cutRegions: ['parnu']});
		await deployment.setNetworkFaults({cutRegions: []});
		const answer = await pending;
		expect(answer.outcome).toBe('unknown');
		expect(deployment.runsOf('in-flight')).toBe(1);
		await setServing(deployment.pairs);
	});

	it('runs a keyed call at most once while the store is slow', async () => {
		await deployment.setStoreFaults({delay: 1200});
		const answers = await Promise.all(
			deployment.pairs.map(async (pair) =>
				send(pair, {callId: 'slow-store', key: 'slow-store', timeout: 4000}),
			),
		);
		await deployment.setStoreFaults({delay: 0});
		const runs = deployment.runsOf('slow-store');
		expect(runs).toBeLessThanOrEqual(1);
		for (const answer of answers) {
			expect(['answered', 'not-run', 'unknown']).toContain(answer.outcome);
			expect(answer.outcome === 'answered' && runs === 0).toBe(false);
		}
	});

	it('rejects a peer that does not know the secret', async () => {
		const {address} = deployment.pairs[0]!;
		const {WebSocket} = await import('ws');
		const {encodeFrame, FrameType, protocolVersion} = await import('../src/link/index.js');
		const socket = new WebSocket(`ws://${address}:${ports.link}/`);
		const closed = new Promise((resolve) => {
			socket.once('close', resolve);
		});
		socket.once('message', () => {
			const identity = {id: '127.0.0.9:7001', instance: 'x', region: 'harju'};
			const proof = {nonce: 'n', proof: 'guess'};
			const version = protocolVersion;
			socket.send(encodeFrame({type: FrameType.Hello, version, ...identity, ...proof}));
		});
		await closed;
		const metrics = await fetchText(`http://${address}:${ports.operator}/metrics`);
		expect(metrics).toContain('turmeric_link_rejects_total{reason="bad-proof"} 1');
	});
});
