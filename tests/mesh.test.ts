import {Agent} from 'node:http';
import type {Socket} from 'node:net';
import {afterAll, beforeAll, describe, expect, it} from 'vitest';
import {eventually, Mesh, type MeshNode, type MeshRoute} from '../scaffold/mesh/mesh.js';

const routes: MeshRoute[] = [
	{host: 'a.example', prefix: '/safe/', kind: 'safe', service: 'alpha'},
	{host: 'a.example', prefix: '/unsafe/', kind: 'unsafe', service: 'alpha'},
	{host: 'a.example', prefix: '/brief/', kind: 'unsafe', service: 'beta', timeout_ms: 300},
];

/** Longest time in ms from the acknowledgement of a configuration until every node applies it. */
const maxApplyMs = 2000;
/** Longest time in ms from the disconnect of a caller until its request is canceled. */
const maxCancelMs = 500;

async function sleep(durationMs: number): Promise<void> {
	await new Promise((resolve) => {
		setTimeout(resolve, durationMs);
	});
}

describe('nodes on the platform', () => {
	const mesh = new Mesh(1);
	let alpha: MeshNode;
	let beta: MeshNode;
	let other: MeshNode;

	beforeAll(async () => {
		await mesh.startStore();
		alpha = await mesh.addNode({zone: 'a', region: 'one', service: 'alpha'});
		beta = await mesh.addNode({zone: 'a', region: 'one', service: 'beta'});
		other = await mesh.addNode({zone: 'b', region: 'one', service: 'alpha'});
	});

	afterAll(async () => {
		await mesh.stop();
	});

	it('answer 503 and are not ready before they have a configuration', async () => {
		expect(await mesh.isReady(beta)).toBe(false);
		const answer = await mesh.send(beta, {path: '/safe/1'});
		expect(answer.status).toBe(503);
		expect(Number(answer.headers['retry-after'])).toBeGreaterThan(0);
	});

	it('forward a request to the backend server of another node', async () => {
		await mesh.configure(routes);
		await mesh.settle();
		await eventually(async () => (await mesh.statusFor(beta, {path: '/safe/0'})) === 200);
		const answer = await mesh.send(beta, {path: '/safe/x?q=1', id: 'whole-path', deadline: 900});
		expect(answer).toMatchObject({status: 200, headers: {'x-server-signature': 'signed'}});
		expect(answer.headers['x-attempt-id']).toBe('whole-path');
		const seen = [...alpha.backend.seen, ...other.backend.seen].find(({id}) => id === 'whole-path');
		expect(seen).toMatchObject({method: 'GET', path: '/safe/x?q=1'});
		expect(seen?.headers).toMatchObject({host: 'a.example', 'x-caller-service': 'beta'});
		const timeLeft = Number(seen?.headers['x-request-deadline']);
		expect(timeLeft).toBeGreaterThan(0);
		expect(timeLeft).toBeLessThanOrEqual(900);
	});

	it('forward bodies with a Content-Length unchanged', async () => {
		const body = 'x'.repeat(100_000);
		const answer = await mesh.send(beta, {path: '/unsafe/1', method: 'POST', body});
		expect(answer.status).toBe(200);
		expect(answer.body.endsWith(body)).toBe(true);
	});

	it('mark the end of an answer without a length only when its connection was closed in order', async () => {
		const callers = [beta, alpha];
		const answerWith = (end: (socket: Socket) => void) => {
			beta.backend.behavior = ({id}, {req: {socket}}) => {
				const head = `HTTP/1.1 200 OK\r\nX-Attempt-Id: ${id}\r\nX-Server-Signature: s`;
				socket.write(`${head}\r\nConnection: close\r\n\r\nwhole`, () => {
					end(socket);
				});
				return true;
			};
		};

		answerWith((socket) => socket.end());
		for (const caller of callers) {
			const {status, body, headers} = await mesh.send(caller, {path: '/brief/1'});
			expect({status, body}).toEqual({status: 200, body: 'whole'});
			expect(headers['content-length']).toBe('5');
		}

		answerWith((socket) => socket.resetAndDestroy());
		for (const caller of callers) {
			expect(await mesh.statusFor(caller, {path: '/brief/1'})).toBe(504);
		}

		beta.backend.behavior = () => false;
	});

	it('answer 404 where no route matches', async () => {
		expect(await mesh.statusFor(beta, {path: '/none/1'})).toBe(404);
		expect(await mesh.statusFor(beta, {path: '/safe/1', host: 'b.example'})).toBe(404);
	});

	it('answer 504 at the time-out of the route and cancel the request at the backend server', async () => {
		beta.backend.behavior = () => true;
		const startedAt = performance.now();
		const answer = await mesh.send(alpha, {path: '/brief/1', id: 'too-long'});
		expect(answer.status).toBe(504);
		expect(performance.now() - startedAt).toBeLessThan(300 + maxCancelMs);
		const seen = () => beta.backend.seen.find(({id}) => id === 'too-long');
		await eventually(() => seen()?.isAbandoned === true);
		beta.backend.behavior = () => false;
	});

	it('cancel the request at the backend server when the caller disconnects', async () => {
		alpha.backend.behavior = () => true;
		other.backend.behavior = () => true;
		const abort = new AbortController();
		const answer = mesh.send(beta, {path: '/unsafe/2', id: 'left', signal: abort.signal});
		const all = () => [...alpha.backend.seen, ...other.backend.seen];
		const find = () => all().find(({id}) => id === 'left');
		await eventually(() => find() !== undefined);
		abort.abort();
		const disconnectedAt = performance.now();
		await expect(answer).rejects.toThrow();
		await eventually(() => find()?.isAbandoned === true);
		expect(performance.now() - disconnectedAt).toBeLessThan(maxCancelMs);
		alpha.backend.behavior = () => false;
		other.backend.behavior = () => false;
	});

	it('never run an unsafe request twice when its answer is lost', async () => {
		const dropAnswer = (_req: unknown, res: {destroy(): unknown}) => {
			res.destroy();
			return true;
		};

		alpha.backend.behavior = dropAnswer;
		other.backend.behavior = dropAnswer;
		const answer = await mesh.send(beta, {path: '/unsafe/3', id: 'lost-answer'});
		expect([502, 504]).toContain(answer.status);
		const all = [...alpha.backend.seen, ...other.backend.seen];
		expect(all.filter(({id}) => id === 'lost-answer')).toHaveLength(1);
		alpha.backend.behavior = () => false;
		other.backend.behavior = () => false;
	});

	it('keep the newest configuration when an older one is written to the store', async () => {
		const added: MeshRoute = {host: 'a.example', prefix: '/new/', kind: 'safe', service: 'beta'};
		await mesh.configure([...routes, added], 10);
		const ackedAt = performance.now();
		for (const node of mesh.nodes) {
			await eventually(async () => (await mesh.version(node)) === 10);
		}

		expect(performance.now() - ackedAt).toBeLessThan(maxApplyMs);
		await mesh.configure(routes, 4);
		await mesh.writeRow('op', 'config', 'bm8gSlNPTg==');
		await sleep(300);
		for (const node of mesh.nodes) {
			expect(await mesh.version(node)).toBe(10);
			expect(await mesh.statusFor(node, {path: '/new/1'})).toBe(200);
		}
	});

	it('deliver configurations to a node that the store refuses, and after the history of the store is lost', async () => {
		await mesh.setStoreFaults({refused: [other.address]});
		await mesh.configure(routes, 11);
		const ackedAt = performance.now();
		await eventually(async () => (await mesh.version(other)) === 11);
		expect(performance.now() - ackedAt).toBeLessThan(maxApplyMs);
		await mesh.setStoreFaults({refused: [], isHistoryLost: true});
		await mesh.configure(routes, 12);
		for (const node of mesh.nodes) {
			await eventually(async () => (await mesh.version(node)) === 12);
		}
	});

	it('send no request to a deregistered backend server', async () => {
		other.backend.stopHeartbeats();
		expect(await other.backend.deregister()).toBe(200);
		const before = other.backend.seen.length;
		for (let i = 0; i < 40; i++) {
			expect(await mesh.statusFor(beta, {path: `/safe/${i}`})).toBe(200);
		}

		expect(other.backend.seen).toHaveLength(before);
	});

	it('reject malformed announcements and keep serving', async () => {
		expect(await alpha.backend.heartbeat({info: {service: 7}})).toBe(400);
		expect(await alpha.backend.heartbeat({status: {state: 'asleep', sequence: 999}})).toBe(400);
		expect(await mesh.statusFor(beta, {path: '/safe/1'})).toBe(200);
	});

	it('interrupt no request on keep-alive connections when a node stops', async () => {
		alpha.backend.work = 150;
		const agent = new Agent({keepAlive: true, maxSockets: 4});
		const progress = {isOver: false};
		const answers: number[] = [];
		let cutRequests = 0;
		const callers = Array.from({length: 4}, async (_, caller) => {
			for (let i = 0; !progress.isOver; i++) {
				const id = `stop-${caller}-${i}`;
				try {
					answers.push(await mesh.statusFor(beta, {path: '/unsafe/s', id, agent}));
				} catch {
					// Requests sent while the connection was closing never reached a backend server: not counted.
					cutRequests += alpha.backend.seen.some((seen) => seen.id === id) ? 1 : 0;
					await sleep(20);
				}
			}
		});
		await sleep(300);
		const code = await mesh.endNode(beta, 'SIGTERM');
		progress.isOver = true;
		await Promise.all(callers);
		agent.destroy();
		expect(code).toBe(0);
		expect(cutRequests).toBe(0);
		expect(answers.length).toBeGreaterThan(20);
		expect(answers.every((status) => status === 200)).toBe(true);
	});

	it('find a backend server that kept running while its node was down', async () => {
		beta.backend.stopHeartbeats();
		await mesh.startNode(beta);
		await eventually(async () => (await mesh.statusFor(beta, {path: '/brief/2'})) === 200);
		const found = mesh.log(beta).filter(({event}) => event === 'backend-found');
		expect(found).toHaveLength(1);
	});

	it('report and log the cause of a failed request under its id', async () => {
		const {body} = await mesh.send(alpha, {path: '/none/1', id: 'no-route-1'});
		expect(JSON.parse(body)).toMatchObject({reason: 'no-route'});
		beta.backend.behavior = () => true;
		await mesh.send(alpha, {path: '/brief/1', id: 'traced'});
		await eventually(() => mesh.log(beta).some(({request}) => request === 'traced'));
		const lines = [...mesh.log(alpha), ...mesh.log(beta)].filter(
			({request}) => request === 'traced',
		);
		expect(lines.map(({event}) => event)).toContain('call-ended');
		expect(lines.map(({event}) => event)).toContain('attempt-ended');
	});
});
