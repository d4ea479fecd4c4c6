import {createHash} from 'node:crypto';
import {createConnection} from 'node:net';
import {request} from 'undici';
import {afterAll, beforeAll, describe, expect, it} from 'vitest';
import {sendCall} from '../scaffold/deployment/caller.js';
import {Deployment, fetchText, ports} from '../scaffold/deployment/deployment.js';
import {small} from '../scaffold/deployment/place.js';

const deployment = new Deployment(small);
const headers = {'turmeric-service': 'stock', 'turmeric-customer': 'kuressaare'};

function nodeAddress(index: number): string {
	return `${deployment.pairs[index]!.address}:${ports.caller}`;
}

async function sendRaw(index: number, text: string): Promise<string> {
	const {address} = deployment.pairs[index]!;
	return new Promise((resolve, reject) => {
		const socket = createConnection({host: address, port: ports.caller});
		const chunks: string[] = [];
		socket.setEncoding('utf8');
		socket.on('data', (chunk: string) => chunks.push(chunk));
		socket.once('close', () => {
			resolve(chunks.join(''));
		});
		socket.once('error', reject);
		socket.write(text);
	});
}

function countRuns(): number {
	return deployment.pairs.flatMap((pair) => deployment.book(pair)).length;
}

beforeAll(async () => {
	await deployment.open();
});

afterAll(async () => {
	await deployment.stop();
});

describe('the whole path', () => {
	it('answers a request sent to any node', async () => {
		for (const [i] of deployment.pairs.entries()) {
			const call = {node: nodeAddress(i), service: 'stock', customer: 'kuressaare'};
			const answer = await sendCall({...call, callId: `any-${i}`});
			expect(answer.status).toBe(200);
			expect(JSON.parse(answer.body)).toMatchObject({callId: `any-${i}`, service: 'stock'});
		}
	});

	it('forwards large bodies in both directions, complete and with trailers', async () => {
		const body = Buffer.alloc(3_000_000, 'grit');
		for (const [i] of deployment.pairs.entries()) {
			const res = await request(`http://${nodeAddress(i)}/big?size=2000000&chunked`, {
				method: 'POST',
				headers: {...headers, 'x-call-id': 'big'},
				body,
			});
			const text = await res.body.text();
			const json = text.slice(0, text.indexOf('}') + 1);
			expect(JSON.parse(json)).toMatchObject({received: body.length});
			expect(text.length).toBe(json.length + 2_000_000);
			expect(res.trailers['x-check']).toBe(String(text.length));
		}
	});

	it('answers HEAD without a body', async () => {
		const res = await request(`http://${nodeAddress(0)}/`, {method: 'HEAD', headers});
		expect(res.statusCode).toBe(200);
		expect(await res.body.text()).toBe('');
	});

	it('refuses unknown services and customers with outcome not-run', async () => {
		const base = {node: nodeAddress(0), callId: 'x', customer: 'kuressaare'};
		const noService = await sendCall({...base, service: 'nothing'});
		expect(noService).toMatchObject({status: 404, outcome: 'not-run', reason: 'no-service'});
		const noCustomer = await sendCall({...base, service: 'stock', customer: 'nobody'});
		expect(noCustomer).toMatchObject({outcome: 'not-run', reason: 'unknown-customer'});
	});

	it.each([
		[
			'two lengths',
			'POST / HTTP/1.1\r\nHost: stock\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab',
		],
		[
			'a length and chunks',
			'POST / HTTP/1.1\r\nHost: stock\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n',
		],
		['a bad head', 'GET / HTTP/1.1\r\nHost : stock\r\n\r\n'],
		[
			'a head that is too long',
			`GET / HTTP/1.1\r\nHost: stock\r\nX: ${'x'.repeat(20_000)}\r\n\r\n`,
		],
	])('refuses a request with %s and forwards nothing', async (_name, text) => {
		const before = countRuns();
		const answer = await sendRaw(0, text);
		expect(answer).toMatch(/^HTTP\/1\.1 4\d\d /v);
		expect(answer).toContain('turmeric-outcome: not-run');
		expect(countRuns()).toBe(before);
	});

	it('cancels the call at the backend server when the caller disconnects', async () => {
		const call = request(`http://${nodeAddress(0)}/slow?ms=20000`, {
			method: 'POST',
			headers: {...headers, 'x-call-id': 'lost'},
			signal: AbortSignal.timeout(300),
		});
		await expect(call).rejects.toThrow();
		await deployment.waitFor('the call to be canceled', async () => {
			const running = await Promise.all(
				deployment.pairs.map(async (pair) => deployment.running(pair)),
			);
			return running.every((count) => count === 0);
		});
	});

	it('serves metrics and health on the operator port', async () => {
		const {address} = deployment.pairs[0]!;
		const base = `http://${address}:${ports.operator}`;
		expect(await fetchText(`${base}/healthz`)).toBe('alive\n');
		expect(await fetchText(`${base}/readyz`)).toBe('ready\n');
		const metrics = await fetchText(`${base}/metrics`);
		expect(metrics).toContain('turmeric_refusals_total{reason="no-service"}');
	});

	it('runs a keyed call once when copies are sent to several nodes', async () => {
		const key = createHash('sha256').update('key').digest('hex');
		const answers = await Promise.all(
			Array.from({length: 9}, async (_, i) =>
				sendCall({
					node: nodeAddress(i % 3),
					service: 'stock',
					customer: 'kuressaare',
					method: 'POST',
					callId: 'keyed',
					key,
				}),
			),
		);
		expect(answers.map((answer) => answer.status)).toEqual(Array.from({length: 9}, () => 200));
		expect(deployment.runsOf('keyed')).toBe(1);
	});
});
