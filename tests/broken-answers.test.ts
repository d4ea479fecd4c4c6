import {Buffer} from 'node:buffer';
import {connect} from 'node:net';
import {afterAll, beforeAll, describe, expect, it} from 'vitest';
import {parseAnswer} from '../scaffold/mesh/answer-parser.js';
import type {Behavior} from '../scaffold/mesh/mesh-backend.js';
import {eventually, Mesh, type MeshNode} from '../scaffold/mesh/mesh.js';

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
		const heads = ['/safe/first', '/safe/large'].map(
			(path, i) =>
				`GET ${path} HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: broken-${i}\r\nX-Request-Deadline: 3000\r\n`,
		);
		const bytes = await new Promise<Buffer>((resolve, reject) => {
			const socket = connect(mesh.callerPort, ingress.address);
			const chunks: Buffer[] = [];
			socket.on('data', (chunk) => chunks.push(chunk));
			socket.once('error', reject);
			socket.once('close', () => {
				resolve(Buffer.concat(chunks));
			});
			socket.write(`${heads.join('\r\n')}Connection: close\r\n\r\n`);
		});
		const first = parseAnswer(bytes, true)!;
		const second = parseAnswer(bytes.subarray(first.size), true)!;
		expect([first.status, second.status, second.body?.length]).toEqual([200, 200, answerBytes]);
		expect(broken).toBe(2);
	});
});
