import {Buffer} from 'node:buffer';
import {setTimeout as sleep} from 'node:timers/promises';
import {afterAll, beforeAll, describe, expect, it} from 'vitest';
import {eventually, Mesh, type MeshNode, type MeshRoute} from '../scaffold/mesh/mesh.js';
import {rawHead, RawCaller} from '../scaffold/mesh/raw-caller.js';

/** A stalled answer is cut at this deadline. */
const timeout = 8000;
const routes: MeshRoute[] = [
	{host: 'a.example', prefix: '/safe/', kind: 'safe', service: 'alpha', timeout_ms: timeout},
	{host: 'a.example', prefix: '/unsafe/', kind: 'unsafe', service: 'alpha', timeout_ms: timeout},
];
const answerBytes = 500_000;
const parts = 10;
const lanes = 6;
const callsPerLane = 12;

describe('an answer above 64 KiB', () => {
	const mesh = new Mesh(65);
	let executor: MeshNode;
	let ingress: MeshNode;

	beforeAll(async () => {
		await mesh.startStore();
		executor = await mesh.addNode({zone: 'a', region: 'one', service: 'alpha'});
		ingress = await mesh.addNode({zone: 'b', region: 'one', service: 'beta'});
		await mesh.configure(routes);
		await mesh.settle();
		await eventually(async () => (await mesh.statusFor(ingress, {path: '/safe/0'})) === 200);
		executor.backend.behavior = ({id, path, headers}, res) => {
			if (!path.includes('large')) {
				return false;
			}

			const isEndless = path.includes('endless');
			const isOnce = headers['x-once'] !== undefined;
			res.writeHead(200, {
				'x-attempt-id': id,
				'x-server-signature': 'signed',
				'x-instance-id': executor.backend.identity.instance,
				...(!isEndless && {'content-length': answerBytes}),
			});
			const write = async () => {
				const size = answerBytes / (isOnce ? 1 : parts);
				for (let at = 0; at < answerBytes && !res.destroyed; at += size) {
					res.write(Buffer.alloc(size, 'y'));
					await sleep(isOnce ? 0 : 5);
				}

				if (!isEndless) {
					res.end();
				}
			};

			void write();
			return true;
		};
	});

	afterAll(async () => {
		await mesh.stop();
	});

	// Guards against a stall of the link's flow control, which ends at the deadline as a cut answer.
	it('arrives whole at a caller of another node, as does an upload of this size', async () => {
		const send = async (n: number): Promise<number | string> => {
			const headers: Record<string, string> = n % 2 === 0 ? {'x-once': '1'} : {};
			if (n % 3 === 0) {
				const body = 'x'.repeat(answerBytes);
				const req = {path: '/unsafe/echo', method: 'PUT', body, deadline: timeout};
				const answer = await mesh.send(ingress, req);
				return answer.body.endsWith(body) ? answerBytes : `${answer.status} ${answer.body}`;
			}

			const answer = await mesh.send(ingress, {path: '/safe/large', deadline: timeout, headers});
			return answer.body.length;
		};

		const sizes = await Promise.all(
			Array.from({length: lanes}, async (_, lane) => {
				const got: Array<number | string> = [];
				for (let n = 0; n < callsPerLane; n += 1) {
					got.push(await send(lane + n).catch(String));
				}

				return got;
			}),
		);
		expect(sizes.flat().filter((size) => size !== answerBytes)).toEqual([]);
	});

	// The answer fills its window before anything reads it.
	it('arrives whole when it waits for its turn on a connection', async () => {
		executor.backend.work = 300;
		const caller = await RawCaller.open(ingress.address, mesh.callerPort);
		const options = {deadline: timeout};
		caller.send(rawHead('GET', '/safe/first', 'turn-0', options));
		caller.send(rawHead('GET', '/safe/large', 'turn-1', {...options, isLast: true}));
		await caller.closed;
		const text = caller.received.toString('latin1');
		expect(text.match(/HTTP\/1\.1 \d+/gv)).toEqual(['HTTP/1.1 200', 'HTTP/1.1 200']);
		expect(text.length - text.lastIndexOf('\r\n\r\n') - 4).toBe(answerBytes);
	});

	// Guards against a stream that its session counts for good, so that the node never has nothing in flight.
	it('keeps no node from a clean stop after its caller has left in the middle of it', async () => {
		const abort = new AbortController();
		const {backend} = executor;
		const path = '/safe/large-endless';
		const sent = mesh.send(ingress, {path, deadline: timeout, signal: abort.signal});
		const isLost = sent.then(
			() => false,
			() => true,
		);
		await eventually(() => backend.seen.some((seen) => seen.path === path));
		await sleep(100);
		abort.abort();
		expect(await isLost).toBe(true);
		await eventually(() => backend.seen.some((seen) => seen.path === path && seen.isAbandoned));
		expect(await mesh.endNode(executor, 'SIGTERM')).toBe(0);
		const events = mesh.log(executor).map(({event}) => event);
		expect(events).toContain('node-stopped');
		expect(events).not.toContain('node-stop-forced');
	});
});
