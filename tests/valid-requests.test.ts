import {Agent, request} from 'node:http';
import {afterAll, beforeAll, describe, expect, it} from 'vitest';
import type {Behavior} from '../scaffold/mesh/mesh-backend.js';
import {eventually, Mesh, type MeshNode, type MeshRoute} from '../scaffold/mesh/mesh.js';

const routes: MeshRoute[] = [
	{host: 'a.example', prefix: '/bu72/', kind: 'safe', service: 'alpha'},
	{host: 'a.example', prefix: '/bu72/deep/', kind: 'unsafe', service: 'alpha'},
	{host: 'b.example', prefix: '/lone/', kind: 'unsafe', service: 'beta'},
];

/** Requests at the same time; more than one backend server has slots for, and less than two. */
const callers = 6;

/** @returns whether callers take it for a refusal or a redirect that the system itself decided on. */
function isOwnRefusal(status: number): boolean {
	return status >= 300 && status < 500;
}

/** @returns routes that come and go. */
function createRoutes(count: number): MeshRoute[] {
	return Array.from({length: count}, (_, i) => ({
		host: i % 2 === 0 ? 'a.example' : 'c.example',
		prefix: `/bu${i}/`,
		kind: 'safe',
		service: 'alpha',
	}));
}

/** The answer of a program that knows nothing of the request, such as the HTTP library of the backend server. */
function answerBarely(status: number): Behavior {
	return (_req, res) => {
		res.writeHead(status, {location: '/elsewhere'}).end('another program');
		return true;
	};
}

describe('valid requests', () => {
	const mesh = new Mesh(10);
	let alpha: MeshNode;
	let other: MeshNode;
	let beta: MeshNode;

	beforeAll(async () => {
		await mesh.startStore();
		alpha = await mesh.addNode({zone: 'a', region: 'one', service: 'alpha'});
		other = await mesh.addNode({zone: 'a', region: 'one', service: 'alpha'});
		beta = await mesh.addNode({zone: 'a', region: 'one', service: 'beta'});
		await mesh.configure(routes);
		await mesh.settle();
		for (const {name, path, host} of [
			{name: alpha, path: '/bu72/0', host: 'a.example'},
			{name: beta, path: '/lone/0', host: 'b.example'},
		]) {
			await eventually(async () => (await mesh.statusFor(name, {path, host})) === 200);
		}
	});

	afterAll(async () => {
		await mesh.stop();
	});

	it.each([301, 400, 404, 408, 431])(
		'get no %i that is not the answer of a backend server to them',
		async (status) => {
			alpha.backend.behavior = answerBarely(status);
			beta.backend.behavior = answerBarely(status);
			const seenBefore = alpha.backend.seen.length;
			const statuses: number[] = [];
			const send = async () => mesh.statusFor(beta, {path: '/bu72/fa1'});
			// While servers are idle, one that has failed is not chosen again before long.
			while (alpha.backend.seen.length < seenBefore + 3) {
				const requests = Array.from({length: callers}, send);
				statuses.push(...(await Promise.all(requests)));
			}

			const lone = await mesh.send(alpha, {host: 'b.example', path: '/lone/1', method: 'POST'});
			expect(statuses.filter((item) => isOwnRefusal(item))).toEqual([]);
			expect({status: lone.status, isForeign: lone.body.includes('another')}).toEqual({
				status: 504,
				isForeign: false,
			});
			alpha.backend.behavior = () => false;
			beta.backend.behavior = () => false;
		},
	);

	// A backend server that was paused, or a caller that comes back, sends what is left of its time: less than nothing.
	it.each([-40, -0.5, 0])(
		'are refused as not run if %d ms of their time are left',
		async (deadline) => {
			const answer = await mesh.send(beta, {path: '/bu72/fa1', deadline, id: `late${deadline}`});
			expect(answer.status).toBe(503);
			expect(JSON.parse(answer.body)).toMatchObject({outcome: 'not-run'});
			const seen = [...alpha.backend.seen, ...other.backend.seen];
			expect(seen.map(({id}) => id)).not.toContain(`late${deadline}`);
		},
	);

	// The node had read a part of the body and kept the connection, but never read the rest. The next request on it got
	// no answer until a 408 after 60 to 90 s.
	it('are answered on the connection of an upload that was too slow', async () => {
		const agent = new Agent({keepAlive: true, maxSockets: 1});
		const size = 400_000;
		const upload = request({
			host: beta.address,
			port: mesh.callerPort,
			method: 'POST',
			path: '/bu72/deep/upload',
			agent,
			headers: {
				host: 'a.example',
				'x-attempt-id': 'slow-upload',
				'x-request-deadline': '300',
				'content-length': String(size),
			},
		});
		upload.write(Buffer.alloc(size / 2));
		const status = await new Promise((resolve) => {
			upload.once('response', (res) => {
				res.resume().once('end', () => {
					resolve(res.statusCode);
				});
				upload.end(Buffer.alloc(size / 2));
			});
			upload.on('error', () => undefined);
		});
		expect(status).toBe(504);
		const answer = await mesh.send(beta, {path: '/bu72/fa1', agent});
		expect(answer.status).toBe(200);
		agent.destroy();
	});

	it('find their route on kept connections and new ones while configurations change', async () => {
		const statuses: number[] = [];
		const progress = {isOver: false};
		const agent = new Agent({keepAlive: true});
		const nodes = [alpha, other, beta];
		const running = nodes.map(async (node, i) => {
			const host = ['a.example', 'A.EXAMPLE', 'a.example:7600'][i];
			while (!progress.isOver) {
				statuses.push(
					await mesh.statusFor(node, {path: '/bu72/fa1?q=/', host, agent}),
					await mesh.statusFor(node, {path: '/bu72/deep/1', method: 'POST', body: 'b'}),
				);
			}
		});
		for (let i = 0; i < 20; i += 1) {
			const extra = createRoutes(i);
			await mesh.configure(i % 2 === 0 ? [...extra, ...routes] : [...routes, ...extra]);
			await mesh.awaitVersion(beta, i + 2);
		}

		await mesh.writeRow('op', 'config', 'bm90IGEgY29uZmlndXJhdGlvbg==');
		const isRejected = (node: MeshNode) =>
			mesh.log(node).some(({event}) => event === 'revision-rejected');
		await eventually(() => nodes.some((node) => isRejected(node)));
		await eventually(() => statuses.length > 200);
		progress.isOver = true;
		await Promise.all(running);
		agent.destroy();
		expect(statuses.filter((status) => isOwnRefusal(status))).toEqual([]);
	});
});
