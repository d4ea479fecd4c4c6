import {Buffer} from 'node:buffer';
import {afterAll, beforeAll, describe, expect, it} from 'vitest';
import {parseAnswer} from '../scaffold/mesh/answer-parser.js';
import type {Behavior} from '../scaffold/mesh/mesh-backend.js';
import {eventually, Mesh, type MeshNode} from '../scaffold/mesh/mesh.js';
import {rawHead, RawCaller} from '../scaffold/mesh/raw-caller.js';

const answerBytes = 200_000;
const sentBytes = 150_000;
const firstWork = 400;

// Guards against a failure that a caller gets for a safe request although nothing of its answer had been forwarded.
describe('a safe request whose answer breaks off while it waits for its turn', () => {
	const mesh = new Mesh(70);
	let ingress: MeshNode;
	let broken = 0;

	const breakFirstOff: Behavior = ({id, path}, res) => {
		if (!path.includes('large')) {
			return false;
		}

		const isBroken = broken === 0;
		broken += 1;
		res.writeHead(200, {
			'x-attempt-id': id,
			'x-server-signature': 'signed',
			'content-length': answerBytes,
		});
		res.write(Buffer.alloc(isBroken ? sentBytes : answerBytes, 'y'), () => {
			if (isBroken) {
				res.req.socket.resetAndDestroy();
			} else {
				res.end();
			}
		});
		return true;
	};

	beforeAll(async () => {
		await mesh.startStore();
		const servers = [
			await mesh.addNode({zone: 'a', region: 'one', service: 'alpha'}),
			await mesh.addNode({zone: 'a', region: 'one', service: 'alpha'}),
		];
		ingress = await mesh.addNode({zone: 'a', region: 'one', service: 'beta'});
		await mesh.configure([
			{host: 'a.example', prefix: '/safe/', kind: 'safe', service: 'alpha', timeout_ms: 3000},
		]);
		await mesh.settle();
		await eventually(async () => (await mesh.statusFor(ingress, {path: '/safe/0'})) === 200);
		for (const {backend} of servers) {
			backend.behavior = breakFirstOff;
			backend.work = firstWork;
		}
	});

	afterAll(async () => {
		await mesh.stop();
	});

	it('is served by another attempt', async () => {
		const caller = await RawCaller.open(ingress.address, mesh.callerPort);
		const deadline = 3000;
		caller.send(rawHead('GET', '/safe/first', 'broken-0', {deadline}));
		caller.send(rawHead('GET', '/safe/large', 'broken-1', {deadline, isLast: true}));
		await caller.closed;
		const bytes = caller.received;
		const first = parseAnswer(bytes, true)!;
		const second = parseAnswer(bytes.subarray(first.size), true)!;
		expect([first.status, second.status, second.body?.length]).toEqual([200, 200, answerBytes]);
		expect(broken).toBe(2);
	});
});
