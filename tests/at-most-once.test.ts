import {afterAll, beforeAll, describe, expect, it} from 'vitest';
import {sendCall, type CallerAnswer, type CallerRequest} from '../scaffold/deployment/caller.js';
import {Deployment, ports, type Pair} from '../scaffold/deployment/deployment.js';
import {small} from '../scaffold/deployment/place.js';

const deployment = new Deployment(small, 11);

function callTo(pair: Pair, request: Partial<CallerRequest> & {callId: string}): CallerRequest {
	const node = `${pair.address}:${ports.caller}`;
	return {node, service: 'stock', customer: 'kuressaare', method: 'POST', ...request};
}

/** Silences the backend servers of the other pairs, so that only the given pair serves calls. */
async function serveOnlyAt(pair: Pair): Promise<void> {
	for (const other of deployment.pairs) {
		if (other !== pair) {
			await deployment.setBehaviour(other, {isSilent: true});
		}
	}

	await deployment.waitFor('the other backend servers to be gone', async () => {
		const states = await Promise.all(deployment.pairs.map(async (item) => deployment.status(item)));
		return states.filter((status) => status.backend.state === 'absent').length === 2;
	});
	await waitForServing(1);
}

async function waitForServing(count: number): Promise<void> {
	await deployment.waitFor(`${count} members to serve`, async () => deployment.isServing(count));
}

async function restoreAll(): Promise<void> {
	for (const pair of deployment.pairs) {
		await deployment.setBehaviour(pair, {isSilent: false, slowness: 1});
	}

	await waitForServing(3);
}

async function waitUntilRunning(pair: Pair): Promise<void> {
	await deployment.waitFor('the call to run', async () => (await deployment.running(pair)) > 0);
}

function expectConsistentOutcome(answer: CallerAnswer, callId: string): void {
	const runs = deployment.runsOf(callId);
	expect(runs).toBeLessThanOrEqual(1);
	if (answer.outcome === 'not-run') {
		expect(runs).toBe(0);
	}
}

beforeAll(async () => {
	await deployment.open();
});

afterAll(async () => {
	await deployment.stop();
});

describe('at most once', () => {
	it('reports outcome unknown, and runs the call once, when the executor is killed during the call', async () => {
		const [ingress, executor] = [deployment.pairs[0]!, deployment.pairs[1]!];
		await serveOnlyAt(executor);
		const pending = sendCall(callTo(ingress, {callId: 'killed', path: '/?ms=3000', timeout: 4000}));
		await waitUntilRunning(executor);
		deployment.group.signal(executor.node, 'SIGKILL');
		const answer = await pending;
		expect(answer.outcome).toBe('unknown');
		expectConsistentOutcome(answer, 'killed');
		await deployment.startNode(executor);
		await restoreAll();
	});

	it('reports outcome unknown when the backend server is killed during the call', async () => {
		const [ingress, executor] = [deployment.pairs[0]!, deployment.pairs[2]!];
		await serveOnlyAt(executor);
		const pending = sendCall(callTo(ingress, {callId: 'lost', path: '/?ms=3000', timeout: 4000}));
		await waitUntilRunning(executor);
		deployment.group.signal(executor.backend, 'SIGKILL');
		const answer = await pending;
		expect(answer).toMatchObject({outcome: 'unknown', reason: 'backend-lost'});
		expectConsistentOutcome(answer, 'lost');
		await deployment.startBackend(executor);
		await restoreAll();
	});

	it('runs a call at most once when its executor is frozen', async () => {
		const [ingress, executor] = [deployment.pairs[0]!, deployment.pairs[1]!];
		await serveOnlyAt(executor);
		deployment.group.signal(executor.node, 'SIGSTOP');
		const pending = sendCall(callTo(ingress, {callId: 'frozen', timeout: 2500}));
		await restoreAllExcept(executor);
		const answer = await pending;
		deployment.group.signal(executor.node, 'SIGCONT');
		await restoreAll();
		expectConsistentOutcome(answer, 'frozen');
	});

	it('does not run a call that waited in the socket of the executor past its deadline', async () => {
		const [ingress, executor] = [deployment.pairs[0]!, deployment.pairs[2]!];
		await serveOnlyAt(executor);
		await sendCall(callTo(ingress, {callId: 'warm'}));
		deployment.group.signal(executor.node, 'SIGSTOP');
		const answer = await sendCall(callTo(ingress, {callId: 'late', timeout: 400}));
		expect(answer.outcome).not.toBe('answered');
		await new Promise((resolve) => {
			setTimeout(resolve, 1200);
		});
		deployment.group.signal(executor.node, 'SIGCONT');
		await restoreAll();
		// Once the executor answers this later call on the same link, it has read the late frame.
		await sendCall(callTo(ingress, {callId: 'after'}));
		expect(deployment.runsOf('late')).toBe(0);
	});

	it('runs copies of a keyed call once and answers all of them', async () => {
		const request = {callId: 'twice', key: 'twice', path: '/?ms=800', timeout: 5000};
		const answers = await Promise.all(
			deployment.pairs.map(async (pair) => sendCall(callTo(pair, request))),
		);
		expect(answers.map((answer) => answer.outcome)).toEqual(['answered', 'answered', 'answered']);
		expect(deployment.runsOf('twice')).toBe(1);
	});

	it('reports outcome unknown for a key whose owner was killed, and does not run the call again', async () => {
		const owner = deployment.pairs[0]!;
		const request = {callId: 'orphan', key: 'orphan', path: '/?ms=2000', timeout: 6000};
		const first = sendCall(callTo(owner, request));
		await deployment.waitFor('the call to run', async () => deployment.runsOf('orphan') > 0);
		deployment.group.signal(owner.node, 'SIGKILL');
		await first;
		const again = await sendCall(callTo(deployment.pairs[1]!, request));
		expect(again.outcome).toBe('unknown');
		expect(deployment.runsOf('orphan')).toBe(1);
		await deployment.startNode(owner);
		await waitForServing(3);
		const third = await sendCall(callTo(owner, request));
		expect(third.outcome).toBe('unknown');
		expect(deployment.runsOf('orphan')).toBe(1);
	});

	it('replays the answer after the owner of a key has stopped gracefully', async () => {
		const owner = deployment.pairs[1]!;
		const request = {callId: 'heir', key: 'heir'};
		const first = await sendCall(callTo(owner, request));
		expect(first.outcome).toBe('answered');
		deployment.group.signal(owner.node, 'SIGTERM');
		expect(await deployment.group.get(owner.node).ended).toBe(0);
		const again = await sendCall(callTo(deployment.pairs[0]!, request));
		expect(again).toMatchObject({outcome: 'answered', body: first.body});
		expect(deployment.runsOf('heir')).toBe(1);
		await deployment.startNode(owner);
		await waitForServing(3);
	});

	it('claims a key even if the response of the store is lost', async () => {
		await deployment.setStoreFaults({lostAnswers: 1});
		const request = {callId: 'swallowed', key: 'swallowed'};
		const first = await sendCall(callTo(deployment.pairs[0]!, request));
		const again = await sendCall(callTo(deployment.pairs[2]!, request));
		expect([first.outcome, again.outcome]).toEqual(['answered', 'answered']);
		expect(deployment.runsOf('swallowed')).toBe(1);
		await deployment.setStoreFaults({lostAnswers: 0});
	});

	it('while the store is down, refuses keys that it cannot claim and serves issued keys', async () => {
		await deployment.setStoreFaults({isDown: true});
		const [node, other] = [deployment.pairs[0]!, deployment.pairs[2]!];
		const refused = await sendCall(callTo(node, {callId: 'no-claim', key: 'no-claim'}));
		// An earlier copy may have run: the claim that would show it cannot be read.
		expect(refused).toMatchObject({outcome: 'unknown', reason: 'store-unavailable'});
		expect(deployment.runsOf('no-claim')).toBe(0);
		const issued = await fetch(`http://${node.address}:${ports.caller}/turmeric/keys`, {
			method: 'POST',
		});
		const {key} = (await issued.json()) as {key: string};
		const request = {callId: 'issued', key};
		const answers = await Promise.all([
			sendCall(callTo(other, request)),
			sendCall(callTo(node, request)),
		]);
		expect(answers.map((answer) => answer.outcome)).toEqual(['answered', 'answered']);
		expect(deployment.runsOf('issued')).toBe(1);
		await deployment.setStoreFaults({isDown: false});
		await deployment.waitFor('the store to be asked again', async () => {
			const answer = await sendCall(callTo(node, {callId: 'no-claim', key: 'no-claim'}));
			return answer.outcome === 'answered';
		});
		expect(deployment.runsOf('no-claim')).toBe(1);
	});

	it('reports outcome unknown, not not-run, while it cannot check whether an earlier copy ran', async () => {
		const [owner, other] = [deployment.pairs[0]!, deployment.pairs[2]!];
		const request = {callId: 'earlier', key: 'earlier'};
		const first = await sendCall(callTo(owner, request));
		expect(first.outcome).toBe('answered');
		await deployment.setStoreFaults({isDown: true});
		const copy = await sendCall(callTo(other, request));
		expect(copy.outcome).toBe('unknown');
		const elsewhere = await sendCall(callTo(other, {...request, service: 'nothing'}));
		expect(elsewhere).toMatchObject({outcome: 'unknown', reason: 'key-not-checked'});
		await deployment.setStoreFaults({isDown: false});
		await deployment.waitFor('the answer to be replayed', async () => {
			const answer = await sendCall(callTo(other, request));
			return answer.outcome === 'answered';
		});
		expect(deployment.runsOf('earlier')).toBe(1);
	});

	it('refuses a key that was already used for a different request', async () => {
		const [a, b] = [deployment.pairs[0]!, deployment.pairs[1]!];
		await sendCall(callTo(a, {callId: 'mine', key: 'shared', path: '/one'}));
		const answer = await sendCall(callTo(b, {callId: 'other', key: 'shared', path: '/two'}));
		expect(answer).toMatchObject({status: 422, outcome: 'not-run', reason: 'key-reused'});
		expect(deployment.runsOf('other')).toBe(0);
	});
});

async function restoreAllExcept(excluded: Pair): Promise<void> {
	for (const pair of deployment.pairs) {
		if (pair !== excluded) {
			await deployment.setBehaviour(pair, {isSilent: false});
		}
	}
}
