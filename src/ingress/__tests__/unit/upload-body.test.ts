import {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';
import {PassThrough} from 'node:stream';
import {setImmediate as turn} from 'node:timers/promises';
import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {RefusalReason} from '../../../call/index.js';
import {ManualClock, second, type Millis} from '../../../clock/index.js';
import {BodyMemory, type BodyLease} from '../../body-memory.js';
import {RefusedRequestError} from '../../caller-protocol.js';
import {RequestBodyError} from '../../request-body-error.js';
import {UploadBody} from '../../upload-body.js';

const memoryLimit = 1_000_000;
const timeLeft: Millis = 4 * second;

interface Options {
	readonly length?: number | undefined;
	readonly maxBytes?: number;
	readonly memory?: number;
}

function createFixture({length, maxBytes = 1_000_000, memory = memoryLimit}: Options = {}) {
	const clock = new ManualClock(1000);
	const source = new PassThrough({highWaterMark: 16_384});
	let reserved = 0;
	let readings = 0;
	const lease: BodyLease = new BodyMemory(memory, (bytes) => {
		reserved = bytes;
	}).open();
	const body = new UploadBody(source as unknown as IncomingMessage, {
		clock,
		lease,
		length,
		maxBytes,
		beginReading() {
			readings += 1;
		},
	});
	let result: string | undefined;
	const receive = () => {
		void body.receive(timeLeft).then(
			(failure) => {
				result = failure ?? 'useful';
			},
			(err: unknown) => {
				result = err instanceof Error ? err.name : 'unknown';
			},
		);
	};

	/** Delivers bytes evenly over a time. */
	const deliver = async (bytes: number, duration: Millis) => {
		const steps = 20;
		for (let i = 0; i < steps; i++) {
			source.write(Buffer.alloc(Math.round(bytes / steps), i));
			await turn();
			clock.advance(duration / steps);
			await turn();
		}
	};

	return {
		clock,
		source,
		body,
		lease,
		receive,
		deliver,
		state: () => ({result, reserved, readings}),
	};
}

async function readAll(body: UploadBody): Promise<Buffer> {
	const chunks: Buffer[] = [];
	for await (const chunk of body) {
		chunks.push(chunk as Buffer);
	}

	return Buffer.concat(chunks);
}

describe('UploadBody', () => {
	it('reads nothing before it is received', async () => {
		const {source, state, receive, deliver} = createFixture({length: 100_000});
		source.write(Buffer.alloc(1000));
		await turn();
		expect(source.readableLength).toBe(1000);
		expect(state()).toEqual({result: undefined, reserved: 0, readings: 0});
		receive();
		await deliver(99_000, 50);
		expect(state()).toMatchObject({result: 'useful', readings: 1});
	});

	it('starts the call once the body is complete, also when it arrives slowly', async () => {
		const {receive, deliver, state} = createFixture({length: 200_000});
		receive();
		await deliver(180_000, 1600);
		expect(state().result).toBeUndefined();
		await deliver(20_000, 200);
		expect(state().result).toBe('useful');
	});

	it('starts the call of a body that does not fit into its memory when the rest is expected soon', async () => {
		const {receive, deliver, state, source} = createFixture({length: 900_000});
		receive();
		await deliver(500_000, 300);
		expect(state().result).toBeUndefined();
		await deliver(100_000, 60);
		expect(state().result).toBe('useful');
		expect(source.isPaused()).toBe(true);
	});

	it('ends a body that does not fit into its memory and whose rest would hold a slot for long', async () => {
		const {receive, deliver, state} = createFixture({length: 900_000});
		receive();
		await deliver(600_000, 600);
		expect(state().result).toBe(RefusalReason.BodyTooSlow);
	});

	it.each([
		['sends nothing', 0],
		['trickles', 10_000],
	])('ends a body whose caller %s, as not run', async (_name, bytes) => {
		const {receive, deliver, state, body} = createFixture({length: 200_000});
		receive();
		await deliver(bytes, second);
		expect(state().result).toBe(RefusalReason.BodyTooSlow);
		expect(body.isForwarded).toBe(false);
		expect(body.destroyed).toBe(true);
	});

	it('ends a body whose caller stops while the call runs', async () => {
		const {receive, deliver, clock, state, body} = createFixture({length: 900_000});
		let failures = 0;
		body.once('failed', () => {
			failures += 1;
		});
		receive();
		await deliver(800_000, 200);
		expect(state().result).toBe('useful');
		body.resume();
		await turn();
		expect(failures).toBe(0);
		clock.advance(second);
		expect(failures).toBe(1);
		expect(body.isForwarded).toBe(true);
		expect(body.failure).toBe(RefusalReason.BodyTooSlow);
	});

	it('does not count the time in which the call waits for its start', async () => {
		const {receive, deliver, clock, state, body, source} = createFixture({length: 360_000});
		receive();
		await deliver(360_000, 100);
		expect(state().result).toBe('useful');
		for (let i = 0; i < 10; i++) {
			clock.advance(second);
			await turn();
		}

		expect(body.failure).toBeUndefined();
		const whole = readAll(body);
		source.end();
		expect(await whole).toHaveLength(360_000);
	});

	it('ends a body that is longer than allowed, even if its length is not declared', async () => {
		const {receive, deliver, state} = createFixture({maxBytes: 50_000});
		receive();
		await deliver(60_000, 50);
		expect(state().result).toBe(RefusalReason.BodyTooLarge);
	});

	it('holds no more than its reserved memory of a body that never ends', async () => {
		const {receive, deliver, state, body, source} = createFixture({maxBytes: 1_000_000_000});
		receive();
		await deliver(1_300_000, 100);
		expect(state().result).toBe('useful');
		expect(body.receivedBytes).toBeLessThanOrEqual(state().reserved + 65_000);
		expect(source.isPaused()).toBe(true);
		expect(state().reserved).toBeLessThanOrEqual(8 * 65_536);
	});

	it('ends a slow body when the memory is used up by others', async () => {
		const {receive, deliver, state} = createFixture({length: 360_000, memory: 100_000});
		receive();
		await deliver(90_000, second);
		expect(state().result).toBe(RefusalReason.BodyTooSlow);
	});

	it('is refused before it is read when the memory is used up, and the memory is returned', () => {
		const {receive, state, lease} = createFixture({length: 100_000, memory: 65_536});
		const other = lease;
		expect(other.tryGrow(1)).toBe(true);
		receive();
		expect(state()).toMatchObject({readings: 0, reserved: 1});
		other.release();
		expect(state().reserved).toBe(0);
	});

	it('reports a connection that closes before the end', async () => {
		const {receive, deliver, source, state} = createFixture({length: 100_000});
		receive();
		await deliver(50_000, 20);
		source.destroy();
		await turn();
		expect(state().result).toBe(RequestBodyError.name);
	});

	it('delivers each body unchanged, however its chunks arrive and are read', async () => {
		await fc.assert(
			fc.asyncProperty(
				fc.array(fc.integer({min: 1, max: 70_000}), {maxLength: 8}),
				fc.boolean(),
				fc.integer({min: 0, max: 8}),
				async (sizes, hasLength, readFrom) => {
					const whole = Buffer.concat(sizes.map((size, i) => Buffer.alloc(size, i + 1)));
					const length = hasLength ? whole.length : undefined;
					const {source, body, receive} = createFixture({length, maxBytes: 2_000_000});
					receive();
					let reading: Promise<Buffer> | undefined;
					for (const [i, size] of sizes.entries()) {
						reading ??= i >= readFrom ? readAll(body) : undefined;
						source.write(Buffer.alloc(size, i + 1));
						await turn();
					}

					source.end();
					const read = await (reading ?? readAll(body));
					expect(read.equals(whole)).toBe(true);
				},
			),
			{numRuns: 60},
		);
	});
});

describe('BodyMemory', () => {
	it('bounds the memory of all bodies together', () => {
		const memory = new BodyMemory(100, () => undefined);
		const first = memory.open();
		const other = memory.open();
		first.grow(60);
		expect(other.tryGrow(50)).toBe(false);
		expect(() => {
			other.grow(50);
		}).toThrow(RefusedRequestError);
		first.release();
		first.release();
		expect(other.tryGrow(100)).toBe(true);
		expect(other.tryGrow(1)).toBe(false);
	});
});
