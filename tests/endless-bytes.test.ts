import {request, type ServerResponse} from 'node:http';
import {afterAll, afterEach, beforeAll, describe, expect, it} from 'vitest';
import {eventually, Mesh, type MeshNode, type MeshRoute} from '../scaffold/mesh/mesh.js';

const routeTimeoutMs = 1000;
/** Longest time in ms from the time-out of a route to the end of the call. */
const maxOverrunMs = 500;
/** Longest concurrent call to another service in ms: 5 ms of work, the rest for a busy machine. */
const maxOtherCallMs = 500;
/** Most memory in MB for a body in transit through a node: link windows and socket buffers. */
const maxMemoryMb = 64;

const routes: MeshRoute[] = [
	{host: 'a.example', prefix: '/safe/', kind: 'safe', service: 'alpha', timeout_ms: routeTimeoutMs},
	{
		host: 'a.example',
		prefix: '/unsafe/',
		kind: 'unsafe',
		service: 'alpha',
		timeout_ms: routeTimeoutMs,
	},
	{host: 'a.example', prefix: '/other/', kind: 'safe', service: 'beta', timeout_ms: routeTimeoutMs},
];

/** Placeholder in the response head that is replaced by the id of the request. */
const idPlaceholder = 'ID';
const answerHead = `HTTP/1.1 200 OK\r\nX-Server-Signature: signed\r\nX-Attempt-Id: ${idPlaceholder}\r\n`;
const line = 'x'.repeat(4096);
const chunk = `1000\r\n${line}\r\n`;
const pauseMs = 5;

/** Endless responses: `head` is written once, then `piece` until the connection closes. */
const endlessResponses = [
	{name: 'bytes that are no answer', head: '', piece: line},
	{name: 'a header field without end', head: `${answerHead}X-Long: `, piece: line},
	{name: 'header fields without end', head: answerHead, piece: 'X-One: more\r\n'.repeat(100)},
	{
		name: 'interim answers without end',
		head: '',
		piece: 'HTTP/1.1 102 Processing\r\n\r\n'.repeat(50),
	},
	{
		name: 'a chunk extension without end',
		head: `${answerHead}Transfer-Encoding: chunked\r\n\r\n5;x=`,
		piece: line,
	},
	{
		name: 'chunks without end',
		head: `${answerHead}Transfer-Encoding: chunked\r\n\r\n`,
		piece: chunk,
	},
	{name: 'a body without a length', head: `${answerHead}Connection: close\r\n\r\n`, piece: line},
	{
		name: 'status lines in a body',
		head: `${answerHead}Connection: close\r\n\r\n`,
		piece: 'HTTP/1.1 200 OK\r\n'.repeat(1000),
	},
	{
		name: 'heads in chunks',
		head: `${answerHead}Transfer-Encoding: chunked\r\n\r\n`,
		piece: `12c0\r\n${'HTTP/1.1 200 OK\r\nX: 1\r\n\r\n'.repeat(192)}\r\n`,
	},
	{
		name: 'a body longer than its length',
		head: `${answerHead}Content-Length: 4096\r\n\r\n`,
		piece: line,
	},
];

function writeEndlessly(res: ServerResponse, head: string, piece: string, isSlow: boolean): void {
	const {socket} = res;
	const pump = () => {
		if (!socket?.writable) {
			return;
		}

		if (isSlow) {
			socket.write(piece);
			setTimeout(pump, pauseMs);
		} else if (socket.write(piece)) {
			setImmediate(pump);
		} else {
			socket.once('drain', pump);
		}
	};

	socket?.write(head);
	pump();
}

/** @returns the time in ms until the caller's connection fails or the response closes. */
async function call(node: MeshNode, port: number, path: string, id: string): Promise<number> {
	const startedAt = performance.now();
	return new Promise((resolve) => {
		const end = () => {
			resolve(performance.now() - startedAt);
		};

		const headers = {host: 'a.example', 'x-attempt-id': id, 'x-request-deadline': '5000'};
		const req = request({host: node.address, port, path, headers, agent: false}, (res) => {
			res.resume();
			res.once('close', end);
		});
		req.once('error', end);
		req.end();
	});
}

describe('a backend server that writes without end', () => {
	const mesh = new Mesh(6);
	let caller: MeshNode;
	let alpha: MeshNode;

	beforeAll(async () => {
		await mesh.startStore();
		alpha = await mesh.addNode({zone: 'a', region: 'one', service: 'alpha'});
		caller = await mesh.addNode({zone: 'a', region: 'one', service: 'beta'});
		await mesh.configure(routes);
		await mesh.settle();
		await eventually(async () => (await mesh.statusFor(caller, {path: '/safe/warm'})) === 200);
		await eventually(async () => (await mesh.statusFor(caller, {path: '/other/warm'})) === 200);
	});

	afterEach(() => {
		alpha.backend.behavior = () => false;
	});

	afterAll(async () => {
		await mesh.stop();
	});

	const cases = endlessResponses.flatMap((kind) => [
		{...kind, pace: 'fast', isSlow: false},
		{...kind, pace: 'slowly', isSlow: true},
	]);

	it.each(cases)(
		'($name, $pace) fails only its own call, within the time and memory limits',
		async (testCase) => {
			alpha.backend.behavior = (seen, res) => {
				const isEndless = seen.path.endsWith('/endless');
				if (isEndless) {
					writeEndlessly(
						res,
						testCase.head.replace(idPlaceholder, seen.id),
						testCase.piece,
						testCase.isSlow,
					);
				}

				return isEndless;
			};

			const before = [alpha, caller].map((node) => mesh.usage(node).residentMb);
			const id = `${testCase.name.replaceAll(' ', '-')}-${testCase.pace}`;
			const ended = call(caller, mesh.callerPort, '/unsafe/endless', id);
			const startedAt = performance.now();
			const otherAnswer = await mesh.send(caller, {path: '/other/1'});
			expect(otherAnswer.status).toBe(200);
			expect(performance.now() - startedAt).toBeLessThan(maxOtherCallMs);
			expect(await ended).toBeLessThan(routeTimeoutMs + maxOverrunMs);
			const runs = alpha.backend.seen.filter((seen) => seen.id === id);
			expect(runs).toHaveLength(1);
			await eventually(() => runs[0]!.isAbandoned);
			for (const [i, node] of [alpha, caller].entries()) {
				expect(mesh.usage(node).residentMb - before[i]!).toBeLessThan(maxMemoryMb);
			}

			expect(await mesh.statusFor(caller, {path: '/safe/after'})).toBe(200);
		},
	);
});
