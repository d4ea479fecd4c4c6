import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import {Readable} from 'node:stream';
import {setImmediate as nextTurn} from 'node:timers/promises';
import {afterEach, describe, expect, it} from 'vitest';
import {Deadline} from '../../../call/index.js';
import {ManualClock} from '../../../clock/index.js';
import {AttemptEnd, Cancellation, createStreamBody, type Attempt} from '../../../exchange/index.js';
import {BackendClient} from '../../backend-client.js';
import {TurmericBackendProtocol} from '../../index.js';

const settleLimit = 5000;

describe('BackendClient', () => {
	const server = createServer((req, res) => {
		req.resume();
		req.once('end', () => res.end('ok'));
	});

	afterEach(() => {
		server.closeAllConnections();
		server.close();
	});

	// Guards against a request that waits for the rest of a body that was lost while the call waited for a slot.
	it(
		'ends a call whose body has closed before it is sent',
		async () => {
			await new Promise<void>((resolve) => {
				server.listen(0, '127.0.0.1', resolve);
			});
			const {port} = server.address() as AddressInfo;
			const clock = new ManualClock(1000);
			const target = {endpoint: {address: '127.0.0.1', port}, instance: 'i', connections: 1};
			const client = new BackendClient(target, new TurmericBackendProtocol(), clock);
			const stream = new Readable({read: () => undefined});
			stream.on('error', () => undefined);
			stream.destroy(new Error('cut'));
			await nextTurn();
			const attempt: Attempt = {
				id: {instance: 'a', sequence: 1},
				head: {
					service: 's',
					customer: '',
					method: 'PUT',
					path: '/',
					headers: [],
					isIdempotent: true,
					key: undefined,
					origin: {requestId: 'r1', caller: '', route: 'r', priority: 0},
					fingerprint: 'f',
				},
				share: 1,
				canRetryElsewhere: false,
				deadline: new Deadline(1_000_000),
				objective: new Deadline(1_000_000),
				body: createStreamBody(stream),
				cancellation: new Cancellation(),
			};
			const listener = {
				onLoad: () => undefined,
				onNotice: () => undefined,
				onEnd: () => undefined,
			};
			const result = await client.send(attempt, {check: () => undefined}, listener);
			expect(result.end).not.toBe(AttemptEnd.Answered);
			client.close();
		},
		settleLimit,
	);
});
