import {createServer, type AddressInfo, type Server, type Socket} from 'node:net';
import process from 'node:process';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import {afterAll, beforeAll, describe, expect, it} from 'vitest';
import {AttemptEnd, Cancellation} from '../../../exchange/index.js';
import {createTestAttempt} from '../../../exchange/__tests__/test-attempt.js';
import {BackendClient} from '../../backend-client.js';
import {TurmericBackendProtocol} from '../../backend-protocol.js';

/** An answer that waits holds two windows of 64 KiB and a read; the rest is what the first run loads. */
const maxHeldBytes = 2_000_000;
/** Bytes in one write; a chunk of one byte keeps a small part of them. */
const writeBytes = 60_000;
/** Time in ms without a drained socket after which the writer is held back. */
const stallTime = 300;

const kinds = [
	{name: 'chunks of 4 KiB', piece: `1000\r\n${'a'.repeat(4096)}\r\n`},
	{name: 'chunks of one byte', piece: '1\r\na\r\n'},
	{name: 'chunks of one byte with an extension', piece: `1;x=${'e'.repeat(200)}\r\na\r\n`},
];

async function usedMemory(): Promise<number> {
	setFlagsFromString('--expose-gc');
	const gc = runInNewContext('gc') as () => void;
	// Buffers are freed after the collection that found them.
	for (let i = 0; i < 3; i += 1) {
		gc();
		await new Promise((resolve) => {
			setTimeout(resolve, 20);
		});
	}

	const {heapUsed, external} = process.memoryUsage();
	return heapUsed + external;
}

/** Writes the same bytes without end, and calls `stalled` once nothing is taken any more. */
function writeEndlessly(socket: Socket, block: Buffer, stalled: () => void): void {
	let timer: NodeJS.Timeout | undefined;
	const pump = () => {
		clearTimeout(timer);
		timer = setTimeout(stalled, stallTime);
		if (socket.write(block)) {
			setImmediate(pump);
		} else {
			socket.once('drain', pump);
		}
	};

	socket.once('close', () => {
		clearTimeout(timer);
	});
	pump();
}

// Guards against answers that take far more memory than their bytes: each chunk kept the buffer that it was read into.
describe('BackendClient, while the reader of an endless answer waits', () => {
	let server: Server;
	let block: Buffer;
	let stalled: () => void;

	beforeAll(async () => {
		server = createServer((socket) => {
			socket.on('error', () => undefined);
			socket.once('data', () => {
				socket.write('HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n');
				writeEndlessly(socket, block, stalled);
			});
		});
		await new Promise<void>((resolve) => {
			server.listen(0, '127.0.0.1', resolve);
		});
	});

	afterAll(() => {
		server.close();
	});

	it.each(kinds)('holds little more than the bytes it counts ($name)', async ({piece}) => {
		block = Buffer.from(piece.repeat(Math.ceil(writeBytes / piece.length)));
		const held = new Promise<void>((resolve) => {
			stalled = resolve;
		});
		const {port} = server.address() as AddressInfo;
		const client = new BackendClient(
			{endpoint: {address: '127.0.0.1', port}, instance: 'i-1', connections: 1},
			new TurmericBackendProtocol(),
			{now: () => 0},
		);
		const cancellation = new Cancellation();
		const before = await usedMemory();
		const result = await client.send(
			createTestAttempt({cancellation}),
			{check: () => undefined},
			{onLoad: () => undefined, onNotice: () => undefined, onEnd: () => undefined},
		);
		await held;
		const growth = (await usedMemory()) - before;
		expect(growth).toBeLessThan(maxHeldBytes);
		expect(result.end).toBe(AttemptEnd.Answered);
		cancellation.cancel();
		client.close();
	});
});
