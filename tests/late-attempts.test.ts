import {Buffer} from 'node:buffer';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import {Mesh, type MeshNode, type MeshRoute} from '../scaffold/mesh/mesh.js';
import type {Behavior, SeenRequest} from '../scaffold/mesh/mesh-backend.js';

const routes: MeshRoute[] = [
	{host: 'a.example', prefix: '/late/', kind: 'unsafe', service: 'alpha', timeout_ms: 2500},
];
/** Lengths of runs, in ms; the longest one fits into the time limit of the route. */
const works = [200, 2200, 600, 1800, 1000, 1400, 400];
const timeLimit = 2500;
/** Length of a run that goes on while the peer is paused, in ms. */
const pausedWork = 1400;
/** Part of a shorter time limit that a run leaves over, in ms. */
const spareTime = 500;
const largeBytes = 200_000;
const smallBytes = 20;
/** Time limit for a graceful stop in the settings of the nodes. */
const stopTimeout = 6000;
/** Time after SIGTERM from which on a stopping node refuses attempts, in ms. */
const drainAt = 1800;
/** Time before its deadline by which the backend server has written an answer that has to arrive, in ms. */
const deliveryTime = 250;
/** Time before the pause of the peer in which it sends an attempt to the stopping node, in ms. */
const leadTime = 120;
/** Pause of a caller between two requests, in ms. */
const callerPause = 10;

/** A request of a caller, as it has ended. */
interface Outcome {
	readonly id: string;
	/** Undefined if the connection closed before the answer was complete. */
	readonly status: number | undefined;
	/** Whether the body is the one that the backend server sends. */
	readonly isWhole: boolean;
	/** When its own time limit passes. */
	readonly limitAt: number;
	readonly endedAt: number;
}

async function sleep(durationMs: number): Promise<void> {
	await new Promise((resolve) => {
		setTimeout(resolve, durationMs);
	});
}

/** When the backend server wrote the answer to a request, which is late where the machine is overloaded. */
const writtenTimes = new Map<string, number>();

const serveVaried: Behavior = ({path, id}, res) => {
	const [work, bytes] = path.split('/').slice(2).map(Number);
	const signed = {'x-attempt-id': id, 'x-server-signature': 'signed'};
	setTimeout(() => {
		writtenTimes.set(id, performance.now());
		res.writeHead(200, {...signed, 'content-length': bytes}).end(Buffer.alloc(bytes!, 'x'));
	}, work);
	return true;
};

describe('a node that stops while a peer goes on sending attempts', () => {
	let mesh: Mesh;
	let sender: MeshNode;
	let stopping: MeshNode;

	beforeEach(async () => {
		writtenTimes.clear();
		mesh = new Mesh(67);
		await mesh.startStore();
		sender = await mesh.addNode({zone: 'a', region: 'one', service: 'beta'});
		stopping = await mesh.addNode({zone: 'a', region: 'one', service: 'alpha'});
	});

	afterEach(async () => {
		await mesh.stop();
	});

	const sendLate = async (i: number): Promise<Outcome> => {
		const work = works[i % works.length]!;
		const deadline = i % 2 === 0 ? timeLimit : Math.min(timeLimit, work + spareTime);
		return sendOne(`late-${i}`, work, i % 3 === 0 ? largeBytes : smallBytes, deadline);
	};

	const sendOne = async (
		id: string,
		work: number,
		bytes: number,
		deadline: number,
	): Promise<Outcome> => {
		const limitAt = performance.now() + deadline;
		const end = (status: number | undefined, size: number) => ({
			id,
			status,
			isWhole: size === bytes,
			limitAt,
			endedAt: performance.now(),
		});

		try {
			const request = {path: `/late/${work}/${bytes}/${id}`, method: 'POST', id, deadline};
			const {status, body} = await mesh.send(sender, request);
			return end(status, body.length);
		} catch {
			return end(undefined, 0);
		}
	};

	// Guards against attempts that a stopping node takes from a peer and cuts, runs twice, or reports as not run though they ran.
	it.each([
		{callers: 4, hasSecond: false, pause: undefined},
		{callers: 4, hasSecond: true, pause: undefined},
		{callers: 16, hasSecond: false, pause: undefined},
		{callers: 16, hasSecond: true, pause: undefined},
		// The peer sends attempts before it reads that the node leaves, and takes answers late.
		{callers: 16, hasSecond: false, pause: {from: drainAt - 300, to: drainAt + 500}},
		{callers: 16, hasSecond: true, pause: {from: drainAt - 300, to: drainAt + 500}},
		{callers: 4, hasSecond: true, pause: {from: drainAt - 300, to: drainAt + 1700}},
	])(
		'cuts no attempt that it has begun to run ($callers callers, another server: $hasSecond, pause of the peer: $pause)',
		async ({callers, hasSecond, pause}) => {
			const second = hasSecond
				? await mesh.addNode({zone: 'a', region: 'one', service: 'alpha'})
				: undefined;
			await mesh.configure(routes);
			await mesh.settle();
			const backends = [stopping.backend, ...(second ? [second.backend] : [])];
			for (const backend of backends) {
				backend.behavior = serveVaried;
			}

			await mesh.statusFor(sender, {path: `/late/5/${smallBytes}/first`, method: 'POST'});
			const outcomes: Outcome[] = [];
			const over = new AbortController();
			let count = 0;
			const call = async () => {
				while (!over.signal.aborted) {
					count += 1;
					outcomes.push(await sendLate(count));
					await sleep(callerPause);
				}
			};

			const calls = Array.from({length: callers}, async () => call());
			await sleep(500);
			const termAt = performance.now();
			const ended = mesh.endNode(stopping, 'SIGTERM');
			const inPause: Array<Promise<Outcome>> = [];
			if (pause) {
				await sleep(termAt + pause.from - leadTime - performance.now());
				// Among few callers, the other server may have got all requests.
				const isTaken = () => stopping.backend.seen.some(({id}) => id.startsWith('paused'));
				for (let i = 0; !isTaken() && performance.now() < termAt + pause.from; i += 1) {
					inPause.push(sendOne(`paused-${i}`, pausedWork, smallBytes, timeLimit));
					await sleep(callerPause);
				}

				await sleep(termAt + pause.from - performance.now());
				mesh.signalNode(sender, 'SIGSTOP');
				await sleep(termAt + pause.to - performance.now());
				mesh.signalNode(sender, 'SIGCONT');
			}

			const resumedAt = performance.now();
			const code = await ended;
			const duration = performance.now() - termAt;
			over.abort();
			await Promise.all(calls);
			outcomes.push(...(await Promise.all(inPause)));

			const seen: SeenRequest[] = backends.flatMap((backend) => backend.seen);
			const ran = new Set(seen.map(({id}) => id));
			const ranHere = new Set(stopping.backend.seen.map(({id}) => id));
			const isAnswered = ({status, isWhole}: Outcome) => status === 200 && isWhole;
			// An answer that is not there in time, or only while the peer is paused, is replaced at the time limit.
			const isTooLate = ({id, limitAt}: Outcome) => {
				const writtenAt = writtenTimes.get(id)!;
				const isPaused = pause && writtenAt > termAt + pause.from - deliveryTime;
				return (isPaused ? Math.max(writtenAt, resumedAt) : writtenAt) > limitAt - deliveryTime;
			};

			const cut = outcomes.filter(
				(outcome) =>
					ranHere.has(outcome.id) &&
					!isAnswered(outcome) &&
					!(outcome.status === 504 && isTooLate(outcome)),
			);
			expect(cut).toEqual([]);
			expect(seen.map(({id}) => id)).toHaveLength(ran.size);
			const refused = outcomes.filter(({status}) => status === 503);
			expect(refused.filter(({id}) => ran.has(id))).toEqual([]);
			expect(code).toBe(0);
			expect(duration).toBeLessThan(stopTimeout);
			// The node had runs in flight when it began to refuse, and the peer went on sending.
			const late = outcomes.filter(
				(outcome) =>
					ranHere.has(outcome.id) && isAnswered(outcome) && outcome.endedAt > termAt + drainAt,
			);
			expect(late.length).toBeGreaterThan(0);
			const served = second ? second.backend.seen.length : refused.length;
			expect(served).toBeGreaterThan(0);
		},
	);
});
