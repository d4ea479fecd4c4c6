import {createServer, type AddressInfo, type Server, type Socket} from 'node:net';
import process from 'node:process';
import fc from 'fast-check';
import {afterAll, afterEach, beforeAll, beforeEach, describe, expect, it} from 'vitest';
import {
	AttemptEnd,
	maxInlineBodyBytes,
	type Attempt,
	type AttemptResult,
} from '../../../exchange/index.js';
import {readWholeBody} from '../../../exchange/__tests__/read-whole-body.js';
import {createTestAttempt} from '../../../exchange/__tests__/test-attempt.js';
import {withResolvers} from '../../../util/index.js';
import {BackendClient} from '../../backend-client.js';
import {TurmericBackendProtocol} from '../../backend-protocol.js';

/** How the end of a body is marked. */
enum Framing {
	Length = 'a length',
	Chunks = 'chunks',
	Connection = 'the end of the connection',
}

/** How an answer ends. */
enum Ending {
	Whole = 'whole',
	Closed = 'cut by a close',
	Reset = 'cut by a reset',
}

type Answer = {
	readonly size: number;
	readonly framing: Framing;
	readonly isKept: boolean;
	readonly ending: Ending;
	/** Time in ms until a cut answer ends after its last byte was written. */
	readonly endDelay: number;
};

/** Size of the head of each answer in bytes, so that sizes can be chosen by the reads of a connection. */
const headSize = 512;
/** Sizes of bodies, and of answers with their head, around multiples of 64 KiB, which is the size of a read. */
const sizes = [
	1,
	...[1, 2, 3].flatMap((blocks) =>
		[-1, 0, 1, -headSize - 1, -headSize, -headSize + 1].map(
			(extra) => blocks * maxInlineBodyBytes + extra,
		),
	),
	230_000,
];
const framings = [
	{framing: Framing.Length, isKept: true},
	{framing: Framing.Length, isKept: false},
	{framing: Framing.Chunks, isKept: true},
	{framing: Framing.Chunks, isKept: false},
	{framing: Framing.Connection, isKept: false},
];
/** Size of a chunk on the wire; no divisor of the sizes above, and less than one read. */
const chunkSize = 50_000;
/** Time in ms for which a slow reader leaves the answer to the connection and its end. */
const slowStart = 10;
const cancelRuns = 200;

async function sleep(durationMs: number): Promise<void> {
	await new Promise((resolve) => {
		setTimeout(resolve, durationMs);
	});
}

/** @returns bytes that differ from one block of 64 KiB to the next. */
function bytesOf(size: number): Buffer {
	const bytes = Buffer.alloc(size);
	for (let i = 0; i < size; i += 1) {
		bytes[i] = (i + (i >> 8) + (i >> 16)) & 0xff; // eslint-disable-line no-bitwise
	}

	return bytes;
}

function render({size, framing, isKept}: Answer): Buffer {
	const bytes = bytesOf(size);
	if (framing !== Framing.Chunks) {
		const length = framing === Framing.Length ? `Content-Length: ${size}\r\n` : '';
		return Buffer.concat([renderHead(isKept, length), bytes]);
	}

	const parts: Buffer[] = [renderHead(isKept, 'Transfer-Encoding: chunked\r\n')];
	for (let start = 0; start < size; start += chunkSize) {
		const chunk = bytes.subarray(start, start + chunkSize);
		parts.push(Buffer.from(`${chunk.length.toString(16)}\r\n`), chunk, Buffer.from('\r\n'));
	}

	return Buffer.concat([...parts, Buffer.from('0\r\n\r\n')]);
}

function renderHead(isKept: boolean, framing: string): Buffer {
	const connection = `Connection: ${isKept ? 'keep-alive' : 'close'}\r\n`;
	const head = `HTTP/1.1 200 OK\r\n${connection}${framing}X-Padding: `;
	return Buffer.from(`${head.padEnd(headSize - 4, 'x')}\r\n\r\n`);
}

function writeAnswer(socket: Socket, answer: Answer): void {
	const text = render(answer);
	if (answer.ending === Ending.Whole) {
		if (answer.isKept) {
			socket.write(text);
		} else {
			socket.end(text);
		}

		return;
	}

	socket.write(text.subarray(0, -1), () => {
		setTimeout(() => {
			if (answer.ending === Ending.Reset) {
				socket.resetAndDestroy();
			} else {
				socket.end();
			}
		}, answer.endDelay);
	});
}

/** @returns the body; undefined if it was cut. */
async function bodyOf(result: AttemptResult, isSlow: boolean): Promise<Buffer | undefined> {
	if (result.end !== AttemptEnd.Answered) {
		return undefined;
	}

	if (result.body.stream && isSlow) {
		await sleep(slowStart);
	}

	return readWholeBody(result.body);
}

// Guards against answers whose connection ends while they wait for their reader: undici asserts then that it isn't
// paused, which ended the process.
describe('BackendClient, when a connection ends', () => {
	const sockets = new Set<Socket>();
	let failure = withResolvers<unknown>();
	const recordThrown = (err: unknown) => {
		failure.resolve(err);
	};

	let others: NodeJS.UncaughtExceptionListener[] = [];
	let server: Server;
	let client: BackendClient;
	let answer: Answer;

	beforeAll(async () => {
		others = process.listeners('uncaughtException');
		process.removeAllListeners('uncaughtException');
		process.on('uncaughtException', recordThrown);
		server = createServer((socket) => {
			sockets.add(socket);
			socket.on('error', () => undefined);
			socket.on('data', () => {
				writeAnswer(socket, answer);
			});
			socket.once('close', () => {
				sockets.delete(socket);
			});
		});
		await new Promise<void>((resolve) => {
			server.listen(0, '127.0.0.1', resolve);
		});
	});

	beforeEach(() => {
		failure = withResolvers<unknown>();
		const {port} = server.address() as AddressInfo;
		const endpoint = {address: '127.0.0.1', port};
		client = new BackendClient(
			{endpoint, instance: 'i-1', connections: 1},
			new TurmericBackendProtocol(),
			{now: () => 0},
		);
	});

	afterEach(() => {
		client.close();
		for (const socket of sockets) {
			socket.destroy();
		}
	});

	afterAll(() => {
		server.close();
		process.removeAllListeners('uncaughtException');
		for (const other of others) {
			process.on('uncaughtException', other);
		}
	});

	/** @returns the result and the body, which is undefined if it was cut, or what was thrown. */
	const call = async (attempt: Attempt, isSlow: boolean) => {
		const answered = client
			.send(
				attempt,
				{check: () => undefined},
				{onLoad: () => undefined, onNotice: () => undefined, onEnd: () => undefined},
			)
			.then(async (result) => ({result, body: await bodyOf(result, isSlow), thrown: undefined}));
		const failed = failure.promise.then((thrown) => ({result: undefined, body: undefined, thrown}));
		return Promise.race([answered, failed]);
	};

	const cases = framings.flatMap((framing) =>
		Object.values(Ending).flatMap((ending) =>
			[false, true].map((isSlow) => ({
				...framing,
				ending,
				isSlow,
				name: `${framing.framing}, ${framing.isKept ? 'kept' : 'closed'}, ${ending}, read ${isSlow ? 'slowly' : 'at once'}`,
			})),
		),
	);

	it.each(cases)('reads no more and no less than the answer ($name)', async (testCase) => {
		const {framing, isKept, ending, isSlow} = testCase;
		for (const size of sizes) {
			const delays = ending === Ending.Closed ? [0, 2 * slowStart] : [2 * slowStart];
			for (const endDelay of ending === Ending.Whole ? [0] : delays) {
				answer = {size, framing, isKept, ending, endDelay};
				const {body, thrown} = await call(createTestAttempt(), isSlow);
				expect(thrown).toBeUndefined();
				const isCut = framing === Framing.Connection && ending === Ending.Closed;
				const expected = isCut ? bytesOf(size - 1) : bytesOf(size);
				const isLost = ending !== Ending.Whole && !isCut;
				expect([size, endDelay, body && Buffer.compare(body, expected)]).toEqual([
					size,
					endDelay,
					isLost ? undefined : 0,
				]);
			}
		}
	});

	it('throws nothing and answers the next call when an answer is canceled at any moment', async () => {
		const cancelAt = fc.record({
			size: fc.constantFrom(...sizes),
			framing: fc.constantFrom(...framings),
			ending: fc.constantFrom(...Object.values(Ending)),
			endDelay: fc.nat(4),
			cancelDelay: fc.nat(6),
			isSlow: fc.boolean(),
		});
		// A failure prints its seed.
		await fc.assert(
			fc.asyncProperty(cancelAt, async ({size, framing, ending, endDelay, cancelDelay, isSlow}) => {
				answer = {size, ...framing, ending, endDelay};
				const attempt = createTestAttempt();
				const called = call(attempt, isSlow);
				await sleep(cancelDelay);
				attempt.cancellation.cancel();
				const {thrown} = await called;
				expect(thrown).toBeUndefined();
				answer = {
					size: 1,
					framing: Framing.Length,
					isKept: true,
					ending: Ending.Whole,
					endDelay: 0,
				};
				const next = await call(createTestAttempt(), false);
				expect(next.thrown).toBeUndefined();
				expect(next.body).toEqual(bytesOf(1));
			}),
			{numRuns: cancelRuns},
		);
	});
});
