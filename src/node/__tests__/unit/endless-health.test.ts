import {createServer, type AddressInfo} from 'node:net';
import {afterEach, describe, expect, it} from 'vitest';
import {ManualClock} from '../../../clock/index.js';
import {BackendFinder, type BackendFinderDependencies} from '../../backend-finder.js';
import {BackendProbe, type BackendProbeDependencies} from '../../backend-probe.js';

/** Bytes in one write. */
const writeBytes = 60_000;
/** The larger time limit of the two queries, which is 1 s, and as much for a busy machine; in ms. */
const maxQueryTime = 2000;

const chunked = 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n';
const kinds = [
	{name: 'a head', start: 'HTTP/1.1 200 OK\r\n', piece: `X-A: ${'a'.repeat(1000)}\r\n`},
	{name: 'interim heads', start: '', piece: 'HTTP/1.1 103 Early Hints\r\nX-A: a\r\n\r\n'},
	{name: 'chunks of one byte', start: chunked, piece: '1\r\na\r\n'},
	{name: 'a chunk extension', start: `${chunked}1;x=`, piece: 'e'.repeat(1000)},
	{name: 'trailers', start: `${chunked}0\r\n`, piece: `X-A: ${'a'.repeat(1000)}\r\n`},
	{
		name: 'a body with a huge length',
		start: 'HTTP/1.1 200 OK\r\nContent-Length: 1000000000000\r\n\r\n',
		piece: 'a'.repeat(1000),
	},
];

let close: () => void = () => undefined;

/** @returns the port of a server that answers without end, and when its connection was closed. */
async function startServer(start: string, piece: string) {
	const block = Buffer.from(piece.repeat(Math.ceil(writeBytes / piece.length)));
	let onClosed: (time: number) => void;
	const closed = new Promise<number>((resolve) => {
		onClosed = resolve;
	});
	const server = createServer((socket) => {
		socket.on('error', () => undefined);
		socket.once('data', () => {
			const startedAt = performance.now();
			socket.once('close', () => {
				onClosed(performance.now() - startedAt);
			});
			socket.write(start);
			const pump = () => {
				if (socket.destroyed) {
					return;
				}

				if (socket.write(block)) {
					setImmediate(pump);
				} else {
					socket.once('drain', pump);
				}
			};

			pump();
		});
	});
	await new Promise<void>((resolve) => {
		server.listen(0, '127.0.0.1', resolve);
	});
	close = () => {
		server.close();
	};

	return {port: (server.address() as AddressInfo).port, closed};
}

afterEach(() => {
	close();
});

const protocol = {
	readInstance: () => undefined,
	readNotice: () => undefined,
	readLoad: () => undefined,
};
const revisions = {inForce: {service: () => ({healthPath: '/health', probeBudget: 0})}};

// Guards against a health answer that is read for as long as the backend server sends it.
describe.each(kinds)('a health answer without end: $name', ({start, piece}) => {
	it('ends a probe within its time limit', async () => {
		const {port, closed} = await startServer(start, piece);
		const target = {address: '127.0.0.1', port, service: 's', healthPath: '/health', instance: 'i'};
		const probe = new BackendProbe({
			clock: new ManualClock(),
			metrics: {probeTime: {inc: () => undefined}},
			backend: {current: target, isPresent: true, markUnreachable: () => undefined},
			revisions,
			protocol,
			rate: {period: 100, maxSpeedAge: 200, idleTimeout: 1000, defaultBudget: 150},
			executor: {
				speedAge: 0,
				idleTime: 0,
				isLimited: false,
				readSpeed: () => undefined,
				readNotice: () => undefined,
			},
		} as unknown as BackendProbeDependencies);
		void probe.probeNow();
		const time = await closed;
		expect(time).toBeLessThan(maxQueryTime);
	});

	it('ends a search within its time limit', async () => {
		const {port, closed} = await startServer(start, piece);
		const finder = new BackendFinder({
			clock: new ManualClock(),
			logger: {log: () => undefined},
			revisions,
			backend: {isPresent: false, hasAnnounced: false},
			executor: {readNotice: () => undefined},
			protocol,
			endpoint: {address: '127.0.0.1', port},
			service: 's',
		} as unknown as BackendFinderDependencies);
		finder.start();
		const time = await closed;
		expect(time).toBeLessThan(maxQueryTime);
	});
});
