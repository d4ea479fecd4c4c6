import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import {Readable} from 'node:stream';
import {setImmediate as nextTurn} from 'node:timers/promises';
import {afterEach, describe, expect, it} from 'vitest';
import {Deadline} from '../../../call/index.js';
import {ManualClock} from '../../../clock/index.js';
import {AttemptEnd, createStreamBody} from '../../../exchange/index.js';
import {createTestAttempt} from '../../../exchange/__tests__/test-attempt.js';
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
			const deadline = new Deadline(1_000_000);
			const attempt = createTestAttempt({
				head: {method: 'PUT'},
				deadline,
				objective: deadline,
				body: createStreamBody(stream),
			});
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
