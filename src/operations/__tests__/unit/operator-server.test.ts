import {request} from 'node:http';
import {afterAll, beforeAll, describe, expect, it} from 'vitest';
import {jsonReply, OperatorServer} from '../../index.js';

const address = '127.0.0.1';
const port = 39_417;
/** Longest time in ms that one connection may take in a turn of the event loop. */
const maxTurnMs = 20;

/** @returns status and body, or the code of the error. */
async function post(path: string): Promise<string> {
	return new Promise((resolve) => {
		const req = request({host: address, port, path, method: 'POST', agent: false}, (res) => {
			let text = '';
			res.setEncoding('utf8');
			res.on('data', (chunk: string) => {
				text += chunk;
			});
			res.once('end', () => {
				resolve(`${res.statusCode} ${text.trim()}`);
			});
		});
		req.once('error', (err: NodeJS.ErrnoException) => {
			resolve(String(err.code));
		});
		req.end();
	});
}

describe('OperatorServer', () => {
	const server = new OperatorServer();

	beforeAll(async () => {
		server.registerHandler('POST /v1/things/*/name', (_body, parameter) => jsonReply(parameter));
		server.registerHandler('POST /v1/things', () => jsonReply('all'));
		await server.listen(address, port);
	});

	afterAll(() => {
		server.close();
	});

	it.each([
		['/v1/things', '200 "all"'],
		['/v1/things/a%20b/name?x=/v1', '200 "a b"'],
		['/v1/things/a/b/name', '404 {"error":"no route for POST /v1/things/a/b/name"}'],
		['/v1/things//name', '200 ""'],
		['//v1/things/a/name', '404 {"error":"no route for POST //v1/things/a/name"}'],
	])('finds the route of %s', async (path, answer) => {
		expect(await post(path)).toBe(answer);
	});

	// Guards against a path that holds up the node while its route is looked for.
	it('answers a path of many segments within a turn of the event loop', async () => {
		const path = `/v1/things/${'a/'.repeat(7500)}name`;
		await post('/v1/things');
		const times: number[] = [];
		for (let i = 0; i < 3; i += 1) {
			const startedAt = performance.now();
			expect(await post(path)).toContain('404');
			times.push(performance.now() - startedAt);
		}

		expect(Math.min(...times)).toBeLessThan(maxTurnMs);
	});

	// Guards against a request that ends the process.
	it('answers a path whose percent-encoding is none', async () => {
		expect(await post('/v1/things/%ff/name')).toContain('400');
	});
});
