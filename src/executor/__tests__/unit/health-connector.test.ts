import {createServer, type AddressInfo} from 'node:net';
import {Agent} from 'undici';
import {afterEach, describe, expect, it} from 'vitest';
import {createHealthConnector} from '../../health-connector.js';

const go = 'HTTP/1.1 100 Continue\r\n\r\n';
const whole = 'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok';
const cleanUps: Array<() => void> = [];

async function createHealthAgent(answers: string[]) {
	let connections = 0;
	const server = createServer((socket) => {
		connections += 1;
		socket.on('error', () => undefined);
		socket.on('data', () => {
			socket.write(answers.shift()!);
		});
	});
	await new Promise<void>((resolve) => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const agent = new Agent({connections: 1, connect: createHealthConnector()});
	cleanUps.push(() => {
		void agent.destroy();
		server.close();
	});
	const {port} = server.address() as AddressInfo;
	const ask = async () => {
		const res = await agent.request({
			origin: `http://127.0.0.1:${port}`,
			path: '/health',
			method: 'GET',
			signal: AbortSignal.timeout(1000),
		});
		return `${res.statusCode} ${await res.body.text()}`;
	};

	return {ask, count: () => connections};
}

describe('health connector', () => {
	afterEach(() => {
		for (const run of cleanUps.splice(0)) {
			run();
		}
	});

	// Guards against a health answer that is lost because interim answers precede it.
	it('skips interim answers with status 100 ahead of each answer', async () => {
		const {ask, count} = await createHealthAgent([go + whole, go + go + whole, whole]);
		const seen = [await ask(), await ask(), await ask()];
		expect(seen).toEqual(['200 ok', '200 ok', '200 ok']);
		expect(count()).toBe(1);
	});

	it.each([
		['have a length', 'HTTP/1.1 100 Go\r\nContent-Length: 0\r\n\r\n'],
		['have no end', go.repeat(101)],
	])('skips none that %s', async (_, interim) => {
		const {ask} = await createHealthAgent([interim + whole]);
		await expect(ask()).rejects.toThrow('bad response');
	});
});
