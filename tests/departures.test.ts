import {afterAll, beforeAll, describe, expect, it} from 'vitest';
import {checkInvariants, FaultKind, TraceEventKind, type FaultEvent} from '../src/replay/index.js';
import {sendCall} from '../scaffold/deployment/caller.js';
import {Deployment, ports} from '../scaffold/deployment/deployment.js';
import {small} from '../scaffold/deployment/place.js';
import {TraceRunner} from '../scaffold/replay/trace-runner.js';
import {drawTraffic, type CallKind} from '../scaffold/replay/traffic.js';

const deployment = new Deployment(small, 21);
const lookups: CallKind = {
	service: 'stock',
	method: 'GET',
	path: '/stock',
	isIdempotent: true,
	hasKey: false,
	timeout: 5000,
	resends: 0,
	rate: 40,
};
const orders: CallKind = {
	...lookups,
	method: 'POST',
	path: '/orders',
	isIdempotent: false,
	rate: 20,
};

function fault(at: number, kind: FaultKind, target: string): FaultEvent {
	return {kind: TraceEventKind.Fault, at, fault: kind, target};
}

beforeAll(async () => {
	await deployment.open();
});

afterAll(async () => {
	await deployment.stop();
});

describe('departures', () => {
	it('drains a node without interrupting a running call', async () => {
		const [leaving] = deployment.pairs;
		const running = sendCall({
			node: `${leaving!.address}:${ports.caller}`,
			service: 'stock',
			customer: 'kuressaare',
			method: 'POST',
			callId: 'in-flight',
			path: '/?ms=1500',
		});
		await deployment.waitFor('the call to run', async () => deployment.runsOf('in-flight') === 1);
		await deployment.operateNode('drain', leaving!);
		await deployment.setBehaviour(leaving!, {isDraining: true});
		const answer = await running;
		expect(answer.outcome).toBe('answered');
		await deployment.waitFor('two to serve', async () => deployment.isServing(2));
		deployment.group.signal(leaving!.backend, 'SIGKILL');
		deployment.group.signal(leaving!.node, 'SIGKILL');
		await deployment.startPair(leaving!);
		await deployment.waitUntilReady();
	});

	it('restarts every node and backend server under load without failed or duplicate calls', async () => {
		const calls = drawTraffic({
			plan: small,
			kinds: [lookups, orders],
			start: 0,
			end: 14_000,
			seed: 3,
			prefix: 'rolling',
		});
		const faults = deployment.pairs.flatMap((pair, i) => [
			fault(500 + i * 4500, FaultKind.Stop, pair.node),
			fault(3500 + i * 4500, FaultKind.Kill, pair.backend),
			fault(3600 + i * 4500, FaultKind.Restart, pair.backend),
			fault(3600 + i * 4500, FaultKind.Restart, pair.node),
		]);
		const events = [...calls, ...faults].toSorted((a, b) => a.at - b.at);
		const {books} = await new TraceRunner(deployment).run(events);
		const broken = checkInvariants(books).flatMap((result) => result.broken);
		expect(broken).toEqual([]);
		expect(books.stops.map((stop) => stop.exitCode)).toEqual([0, 0, 0]);
		const failed = books.callers.filter((entry) => entry.outcome !== 'answered');
		expect(failed).toEqual([]);
	});
});
