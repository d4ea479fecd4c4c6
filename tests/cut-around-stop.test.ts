import {Buffer} from 'node:buffer';
import {afterAll, beforeAll, describe, expect, it} from 'vitest';
import {eventually, Mesh, type MeshNode, type MeshRoute} from '../scaffold/mesh/mesh.js';
import type {Behavior} from '../scaffold/mesh/mesh-backend.js';
import {rawHead, RawCaller} from '../scaffold/mesh/raw-caller.js';

const routes: MeshRoute[] = [
	{host: 'a.example', prefix: '/patient/', kind: 'unsafe', service: 'beta', timeout_ms: 10_000},
	{host: 'a.example', prefix: '/far/', kind: 'unsafe', service: 'beta', timeout_ms: 2000},
	{host: 'a.example', prefix: '/small/', kind: 'safe', service: 'alpha', timeout_ms: 2000},
	{host: 'a.example', prefix: '/large/', kind: 'safe', service: 'beta', timeout_ms: 2000},
];
/** Time limit for a graceful stop in the settings of the nodes. */
const stopTimeout = 6000;
const largeBytes = 60_000;
/** Length of a run, in ms: those that begin when the node leaves end after it. */
const work = 400;

async function sleep(durationMs: number): Promise<void> {
	await new Promise((resolve) => {
		setTimeout(resolve, durationMs);
	});
}

const serveLarge: Behavior = ({path, id}, res) => {
	if (!path.startsWith('/large/')) {
		return false;
	}

	const signed = {'x-attempt-id': id, 'x-server-signature': 'signed'};
	res.writeHead(200, {...signed, 'content-length': largeBytes}).end(Buffer.alloc(largeBytes));
	return true;
};

/** @returns the ids among those that ran whose callers got no complete answer. */
function findCut(callers: readonly RawCaller[], ran: ReadonlySet<string>): string[] {
	const answers = callers.flatMap((caller) => caller.answers());
	const complete = answers.filter(({isComplete, status}) => isComplete && status === 200);
	const answered = new Set(complete.map(({id}) => id));
	return [...ran].filter((id) => !answered.has(id));
}

describe('a node that stops', () => {
	const mesh = new Mesh(66);
	let stopping: MeshNode;
	let other: MeshNode;
	const callers: RawCaller[] = [];

	const open = async () => {
		const caller = await RawCaller.open(stopping.address, mesh.callerPort);
		callers.push(caller);
		return caller;
	};

	const ran = () => new Set(other.backend.seen.map(({id}) => id));

	beforeAll(async () => {
		await mesh.startStore();
		stopping = await mesh.addNode({zone: 'a', region: 'one', service: 'alpha'});
		other = await mesh.addNode({zone: 'b', region: 'one', service: 'beta'});
		other.backend.behavior = serveLarge;
		await mesh.configure(routes);
		await mesh.settle();
		await mesh.statusFor(stopping, {path: '/far/first', method: 'POST'});
	});

	afterAll(async () => {
		for (const caller of callers) {
			caller.destroy();
		}

		await mesh.stop();
	});

	const restart = async () => {
		callers.length = 0;
		other.backend.seen.length = 0;
		other.backend.work = work;
		if (
			mesh.log(stopping).some(({event}) => event === 'node-stopped' || event === 'node-stop-forced')
		) {
			await mesh.startNode(stopping);
			await mesh.settle();
			await mesh.statusFor(stopping, {path: '/far/first', method: 'POST'});
			other.backend.seen.length = 0;
		}
	};

	/** @returns whether the node accepts no more connections, as it does just before it leaves. */
	const isClosed = async () => {
		try {
			const probe = await RawCaller.open(stopping.address, mesh.callerPort);
			probe.destroy();
			return false;
		} catch {
			return true;
		}
	};

	// Guards against requests on connections that are not idle, taken after the node has found that nothing is in flight.
	it.each(['nothing', 'half a head', 'a whole request'])(
		'cuts no request that it reads while it leaves on a connection that has sent %s before',
		async (before) => {
			await restart();
			const rests: Array<() => void> = [];
			for (let i = 0; i < 40; i += 1) {
				const caller = await open();
				const text = rawHead('POST', `/far/${i}`, `${before.length}-${i}`);
				const sent = before === 'half a head' ? 30 : 0;
				caller.send(
					before === 'a whole request' ? rawHead('GET', '/small/', 'first') : text.slice(0, sent),
				);
				rests.push(() => {
					caller.send(text.slice(sent));
				});
			}

			await eventually(
				() =>
					before !== 'a whole request' || callers.every((caller) => caller.answers().length === 1),
			);
			const termAt = performance.now();
			const ended = mesh.endNode(stopping, 'SIGTERM');
			await eventually(isClosed, 5);
			for (const send of rests) {
				send();
				await sleep(4);
			}

			expect(await ended).toBe(0);
			expect(performance.now() - termAt).toBeLessThan(stopTimeout);
			await Promise.all(callers.map(async (caller) => caller.closed));
			expect(findCut(callers, ran())).toEqual([]);
		},
	);

	// Guards against requests whose heads were read in time, but which are passed on too late to be answered.
	it('cuts no request whose body arrives while it stops', async () => {
		await restart();
		other.backend.work = 3000;
		const bodies = ['b1', 'b2', 'b3'];
		for (const id of bodies) {
			const caller = await open();
			caller.send(`${rawHead('POST', '/patient/', id, {length: 4, deadline: 10_000})}bo`);
		}

		const termAt = performance.now();
		const ended = mesh.endNode(stopping, 'SIGTERM');
		await eventually(isClosed, 5);
		for (const caller of callers) {
			caller.send('dy');
		}

		await ended;
		expect(performance.now() - termAt).toBeLessThan(stopTimeout);
		await Promise.all(callers.map(async (caller) => caller.closed));
		expect(findCut(callers, ran())).toEqual([]);
		const answers = callers.flatMap((caller) => caller.answers());
		expect(answers.map(({status}) => status)).toEqual([503, 503, 503]);
	});

	// Guards against a connection that is destroyed as its answer was handed over, while it has not taken all of it.
	it('cuts no answer that a slow caller has not taken when the ingress closes', async () => {
		await restart();
		const caller = await open();
		caller.pause();
		const count = 150;
		for (let i = 0; i < count; i += 1) {
			caller.send(rawHead('GET', `/large/${i}`, `large-${i}`));
		}

		let last = -1;
		await eventually(async () => {
			const before = last;
			last = other.backend.seen.length;
			await sleep(300);
			return last > 0 && last === before;
		});
		expect(other.backend.seen.length).toBeLessThan(count);
		const termAt = performance.now();
		const ended = mesh.endNode(stopping, 'SIGTERM');
		await sleep(termAt + 3500 - performance.now());
		caller.resume();
		expect(await ended).toBe(0);
		expect(performance.now() - termAt).toBeLessThan(stopTimeout);
		await caller.closed;
		expect(findCut(callers, ran())).toEqual([]);
	});
});
