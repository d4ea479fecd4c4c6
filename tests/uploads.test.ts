import {Buffer} from 'node:buffer';
import {Agent, request, type ClientRequest} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {afterAll, beforeAll, describe, expect, it} from 'vitest';
import {eventually, Mesh, type MeshNode, type MeshRoute} from '../scaffold/mesh/mesh.js';

const routes: MeshRoute[] = [
	{
		host: 'a.example',
		prefix: '/upload/',
		kind: 'upload',
		service: 'alpha',
		timeout_ms: 4000,
	},
	{host: 'a.example', prefix: '/nobody/', kind: 'upload', service: 'gamma', timeout_ms: 1000},
	{host: 'a.example', prefix: '/safe/', kind: 'safe', service: 'alpha'},
];
/** Size limit in the configuration of the mesh. */
const maxBodyBytes = 1_000_000;
/** Most memory in MB that bodies add to a node: 32 MB, and what the runtime frees later. */
const maxMemoryMb = 80;

interface Upload {
	readonly out: ClientRequest;
	/** Status of the answer; undefined if the connection closed without one. */
	readonly status: Promise<number | undefined>;
	readonly isContinued: () => boolean;
}

/** Writes a piece again and again until the connection closes. */
function writeEndlessly(out: ClientRequest, piece: Uint8Array): void {
	let isReady = true;
	while (isReady && !out.destroyed) {
		isReady = out.write(piece);
	}

	if (!out.destroyed) {
		out.once('drain', () => {
			writeEndlessly(out, piece);
		});
	}
}

describe('an upload', () => {
	const mesh = new Mesh(124);
	let near: MeshNode;
	let far: MeshNode;
	let ingress: MeshNode;
	let nextId = 0;

	function start(path: string, headers: Record<string, string>, agent?: Agent): Upload {
		nextId += 1;
		let isContinued = false;
		const out = request({
			host: ingress.address,
			port: mesh.callerPort,
			method: 'POST',
			path,
			agent,
			headers: {
				host: 'a.example',
				'x-attempt-id': `u${nextId}`,
				'x-request-deadline': '4000',
				...headers,
			},
		});
		out.once('continue', () => {
			isContinued = true;
		});
		const status = new Promise<number | undefined>((resolve) => {
			out.once('response', (res) => {
				res.resume();
				resolve(res.statusCode);
			});
			out.once('error', () => {
				resolve(undefined);
			});
			out.once('close', () => {
				resolve(undefined);
			});
		});
		out.flushHeaders();
		return {out, status, isContinued: () => isContinued};
	}

	function uploadsAt(node: MeshNode): string[] {
		return node.backend.seen.filter(({path}) => path.startsWith('/upload/')).map(({body}) => body);
	}

	beforeAll(async () => {
		await mesh.startStore();
		const settings = ['[cold]', 'overage =', 'slack ='];
		near = await mesh.addNode({zone: 'a', region: 'one', service: 'alpha', settings});
		far = await mesh.addNode({zone: 'b', region: 'two', service: 'alpha'});
		ingress = await mesh.addNode({zone: 'a', region: 'one', service: 'beta'});
		await mesh.configure(routes);
		await mesh.settle();
		await eventually(async () => (await mesh.statusFor(ingress, {path: '/safe/0'})) === 200);
	});

	afterAll(async () => {
		await mesh.stop();
	});

	it('reaches the backend server unchanged, also in small pieces and without a length', async () => {
		const body = 'abcdefgh'.repeat(45_000);
		const length = {'content-length': String(body.length)};
		const whole = start('/upload/whole', length);
		whole.out.end(body);
		expect(await whole.status).toBe(200);
		const chunked = start('/upload/chunked', {'transfer-encoding': 'chunked'});
		for (let i = 0; i < body.length; i += 9000) {
			chunked.out.write(body.slice(i, i + 9000));
			await sleep(2);
		}

		chunked.out.end();
		expect(await chunked.status).toBe(200);
		const bodies = [...uploadsAt(near), ...uploadsAt(far)];
		expect(bodies).toHaveLength(2);
		expect(bodies.every((received) => received === body)).toBe(true);
	});

	it('is refused before its body is sent when no backend server can take it, or when it is too large', async () => {
		const expectation = {expect: '100-continue'};
		const refused = start('/nobody/1', {...expectation, 'content-length': '300000'});
		expect(await refused.status).toBe(503);
		expect(refused.isContinued()).toBe(false);
		refused.out.destroy();
		const large = start('/upload/1', {...expectation, 'content-length': String(2 * maxBodyBytes)});
		expect(await large.status).toBe(413);
		expect(large.isContinued()).toBe(false);
		large.out.destroy();
		const served = start('/upload/1', {...expectation, 'content-length': '300000'});
		served.out.once('continue', () => {
			served.out.end(Buffer.alloc(300_000, 'x'));
		});
		expect(await served.status).toBe(200);
		expect(served.isContinued()).toBe(true);
	});

	it('that was refused while its caller sends gets its answer, and the connection goes on', async () => {
		const agent = new Agent({keepAlive: true, maxSockets: 1});
		for (let i = 0; i < 10; i++) {
			const refused = start('/nobody/1', {'content-length': '300000'}, agent);
			refused.out.end(Buffer.alloc(300_000, 'x'));
			expect(await refused.status).toBe(503);
			expect(refused.out.reusedSocket).toBe(i > 0);
		}

		agent.destroy();
	});

	it('whose caller stops is ended soon, never reaches the backend server, and holds no slot meanwhile', async () => {
		const before = uploadsAt(near).length + uploadsAt(far).length;
		const startedAt = performance.now();
		// More than the slots of all backend servers.
		const stalled = Array.from({length: 30}, () => {
			const upload = start('/upload/stalled', {'content-length': '300000'});
			upload.out.write(Buffer.alloc(80_000, 'x'));
			return upload;
		});
		for (let i = 0; i < 20; i++) {
			const sentAt = performance.now();
			expect(await mesh.statusFor(ingress, {path: '/safe/1'})).toBe(200);
			expect(performance.now() - sentAt).toBeLessThan(400);
		}

		const statuses = await Promise.all(stalled.map(async ({status}) => status));
		expect(performance.now() - startedAt).toBeLessThan(3000);
		expect(statuses.every((status) => status === 408)).toBe(true);
		expect(uploadsAt(near).length + uploadsAt(far).length).toBe(before);
		await eventually(() => mesh.output(ingress).includes('upload-ended'));
	});

	it('that never ends is ended at the size limit, with bounded memory', async () => {
		const before = mesh.usage(ingress).residentMb;
		const endless = Array.from({length: 8}, () =>
			start('/upload/endless', {'transfer-encoding': 'chunked'}),
		);
		const piece = Buffer.alloc(65_536, 'x');
		for (const {out} of endless) {
			writeEndlessly(out, piece);
		}

		const statuses = await Promise.all(endless.map(async ({status}) => status));
		for (const {out} of endless) {
			out.destroy();
		}

		expect(statuses).not.toContain(200);
		expect(mesh.usage(ingress).residentMb - before).toBeLessThan(maxMemoryMb);
		expect(await mesh.statusFor(ingress, {path: '/safe/1'})).toBe(200);
	});

	it('that is cut while it crosses a link has an unknown outcome and is not sent again', async () => {
		const before = uploadsAt(near).length + uploadsAt(far).length;
		// More than an ingress holds back, so that the first part of it is forwarded.
		const upload = start('/upload/cut', {'content-length': '900000'});
		upload.out.write(Buffer.alloc(850_000, 'x'));
		const findExecutor = () => [near, far].find(({backend}) => backend.openBodies > 0);
		await eventually(() => findExecutor() !== undefined);
		await mesh.endNode(findExecutor()!, 'SIGKILL');
		upload.out.end(Buffer.alloc(50_000, 'x'));
		expect(await upload.status).toBe(504);
		await sleep(500);
		expect(uploadsAt(near).length + uploadsAt(far).length).toBe(before);
		expect(findExecutor()).toBeUndefined();
	});
});
