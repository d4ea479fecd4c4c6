import {createServer, type AddressInfo} from 'node:net';
import {describe, expect, it} from 'vitest';
import {ManualClock} from '../../../clock/index.js';
import {TurmericBackendProtocol, type BackendNotice} from '../../../executor/index.js';
import {BackendProbe, type BackendProbeDependencies} from '../../backend-probe.js';

/** @returns what a probe has read from a health answer with a status and the notice of a leaving. */
async function probe(status: string): Promise<BackendNotice[]> {
	const server = createServer((socket) => {
		socket.on('error', () => undefined);
		socket.once('data', () => {
			socket.end(`HTTP/1.1 ${status} X\r\nTurmeric-Leaving: 1\r\nContent-Length: 0\r\n\r\n`);
		});
	});
	await new Promise<void>((resolve) => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const {port} = server.address() as AddressInfo;
	const notices: BackendNotice[] = [];
	const ended = new Promise((resolve) => {
		const target = {address: '127.0.0.1', port, service: 's', healthPath: '/health', instance: 'i'};
		const deps = {
			clock: new ManualClock(),
			metrics: {probeTime: {inc: resolve}},
			backend: {current: target, isPresent: true, markUnreachable: () => undefined},
			revisions: {inForce: {service: () => ({healthPath: '/health', probeBudget: 0})}},
			protocol: new TurmericBackendProtocol(),
			rate: {period: 100, maxSpeedAge: 200, idleTimeout: 1000, defaultBudget: 150},
			executor: {
				speedAge: 0,
				idleTime: 0,
				isLimited: false,
				readSpeed: () => undefined,
				readNotice(_instance: string, notice: BackendNotice) {
					notices.push(notice);
				},
			},
		};
		void new BackendProbe(deps as unknown as BackendProbeDependencies).probeNow();
	});
	await ended;
	server.close();
	return notices;
}

// Guards against a leaving that is read from what is no answer of the backend server.
describe('a health answer', () => {
	it.each(['200', '404', '503'])('with status %s is read', async (status) => {
		expect(await probe(status)).toMatchObject([{isLeaving: true}]);
	});

	it.each(['000', '099', '600', '700', '999', '20', '2x0'])(
		'with status %s is not',
		async (status) => {
			expect(await probe(status)).toEqual([]);
		},
	);
});
