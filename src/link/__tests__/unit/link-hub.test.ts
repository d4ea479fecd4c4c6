import {setImmediate as nextTurn} from 'node:timers/promises';
import {afterEach, describe, expect, it} from 'vitest';
import {AttemptState, Deadline, RefusalReason} from '../../../call/index.js';
import {
	AttemptEnd,
	Cancellation,
	createBufferedBody,
	type Attempt,
	type AttemptRunner,
} from '../../../exchange/index.js';
import {Metrics, silentLogger} from '../../../telemetry/index.js';
import {SystemClock} from '../../../wiring/index.js';
import {LinkHub, type PeerIdentity} from '../../index.js';

const address = '127.0.0.1';
/** Below the ports that the operating system gives to outgoing connections. */
const ports = {near: 17_011, far: 17_012};
const clock = new SystemClock();
const hubs: LinkHub[] = [];
let sequence = 0;

function createIdentity(port: number, region: string): PeerIdentity {
	return {id: `${address}:${port}`, instance: `i-${port}`, region};
}

async function createHub(identity: PeerIdentity, port: number, runner: AttemptRunner) {
	const hub = new LinkHub({
		owner: {identity, secret: 'test-secret', clock},
		address,
		metrics: new Metrics(),
		logger: silentLogger,
		delegate: {
			staleness: () => 0,
			runnerFor: () => runner,
			queryAndFence: () => AttemptState.Fenced,
			getContent: () => ({content: undefined, delta: undefined}),
			acceptHandover: () => undefined,
			peerLeaving: () => undefined,
			peerLoadReported: () => undefined,
			peerSilent: () => undefined,
			peerLost: () => undefined,
		},
	});
	hubs.push(hub);
	await hub.listen(port);
	return hub;
}

function createAttempt(allowedRegions: readonly string[] | undefined): Attempt {
	sequence += 1;
	return {
		id: {instance: 'i', sequence},
		head: {
			service: 's',
			customer: '',
			method: 'POST',
			path: '/',
			headers: [],
			isIdempotent: false,
			key: undefined,
			origin: {requestId: 'r1', caller: '', route: 'r', priority: 0},
			fingerprint: 'f',
			allowedRegions,
		},
		share: 1,
		canRetryElsewhere: false,
		deadline: new Deadline(clock.now() + 10_000),
		objective: new Deadline(clock.now() + 10_000),
		body: createBufferedBody(new Uint8Array(4)),
		cancellation: new Cancellation(),
	};
}

afterEach(() => {
	for (const hub of hubs.splice(0)) {
		hub.stop();
	}
});

describe('LinkHub', () => {
	// The member record of the peer may be wrong, as when another VM has taken over its address.
	it('sends no call to a peer whose region, as it has proved on the link, the call does not allow', async () => {
		const arrived: Array<readonly string[] | undefined> = [];
		const runner: AttemptRunner = {
			async run({head}) {
				arrived.push(head.allowedRegions);
				const body = createBufferedBody(new Uint8Array());
				return {end: AttemptEnd.Answered, status: 200, headers: [], body, load: undefined};
			},
		};
		const near = await createHub(createIdentity(ports.near, 'one'), ports.near, runner);
		const far = createIdentity(ports.far, 'two');
		await createHub(far, ports.far, runner);
		const toFar = near.runnerTo(far.id);
		expect(await toFar.run(createAttempt(['one']))).toMatchObject({
			end: AttemptEnd.Refused,
			reason: RefusalReason.RegionNotAllowed,
		});
		expect(arrived).toEqual([]);
		expect(await toFar.run(createAttempt(['one', 'two']))).toMatchObject({status: 200});
		expect(await toFar.run(createAttempt(undefined))).toMatchObject({status: 200});
		expect(arrived).toEqual([['one', 'two'], undefined]);
	});

	// Guards against a node that exits while answers wait in its links, as no call counts any more.
	it('tells that answers have not been sent completely', async () => {
		const runner: AttemptRunner = {
			async run() {
				const body = createBufferedBody(new Uint8Array(60_000));
				return {end: AttemptEnd.Answered, status: 200, headers: [], body, load: undefined};
			},
		};
		const near = await createHub(createIdentity(ports.near, 'one'), ports.near, runner);
		const far = createIdentity(ports.far, 'one');
		const farHub = await createHub(far, ports.far, runner);
		let answers = 0;
		const calls = Array.from({length: 400}, async () => {
			await near.runnerTo(far.id).run(createAttempt(undefined));
			answers += 1;
		});
		let isUnsentSeen = false;
		while (answers < calls.length) {
			await nextTurn();
			const session = farHub.getSession(`${address}:${ports.near}`);
			const isUnsent = (session?.link.backlog ?? 0) > 0;
			isUnsentSeen ||= isUnsent && farHub.callsInFlight === 0;
			expect(farHub.unsentLinks).toBe(isUnsent ? 1 : 0);
		}

		await Promise.all(calls);
		expect(isUnsentSeen).toBe(true);
		expect(farHub.unsentLinks).toBe(0);
	});
});
