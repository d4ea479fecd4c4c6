import {setImmediate as nextTurn} from 'node:timers/promises';
import {describe, expect, it} from 'vitest';
import {createRandom, type Random} from '../../../random/index.js';
import {AnswerStream} from '../../answer-stream.js';

const trials = 150;
const maxSize = 400_000;
/** Longest read, and credit that a reader gets at a time, as on a link. */
const readBytes = 16_384;
const creditBytes = 32_768;
const settleTurns = 20_000;

enum ReaderKind {
	Flowing = 'flowing',
	Credit = 'credit',
	Iterator = 'iterator',
}

function bytesOf(size: number): Buffer {
	const bytes = Buffer.allocUnsafeSlow(size);
	for (let i = 0; i < size; i += 1) {
		bytes[i] = (i * 7 + (i >> 8) + (i >> 16)) & 0xff; // eslint-disable-line no-bitwise
	}

	return bytes;
}

function pickChunkSize(random: Random): number {
	const kind = random.next();
	const max = kind < 0.3 ? 10 : kind < 0.65 ? 70_000 : 3000;
	return 1 + Math.floor(random.next() * max);
}

/** Reads within a credit that grows from time to time, like a body that is sent over a link. */
async function readWithCredit(
	stream: AnswerStream,
	taken: Buffer[],
	random: Random,
): Promise<void> {
	let credit = creditBytes;
	const pump = () => {
		while (credit > 0) {
			const size = Math.min(credit, readBytes, stream.readableLength);
			const chunk: unknown = size > 0 ? stream.read(size) : stream.read(0);
			if (!(chunk instanceof Uint8Array)) {
				return;
			}

			credit -= chunk.length;
			taken.push(Buffer.from(chunk));
		}
	};

	stream.on('readable', pump);
	for (let i = 0; i < settleTurns && !stream.readableEnded; i += 1) {
		await nextTurn();
		if (random.next() < 0.2) {
			credit += creditBytes;
			pump();
		}
	}
}

async function readSlowly(stream: AnswerStream, taken: Buffer[], random: Random): Promise<void> {
	for await (const chunk of stream) {
		taken.push(Buffer.from(chunk as Uint8Array));
		if (random.next() < 0.3) {
			await nextTurn();
		}
	}
}

async function readFlowing(stream: AnswerStream, taken: Buffer[], random: Random): Promise<void> {
	await new Promise<void>((resolve) => {
		stream.once('end', resolve);
		stream.on('data', (chunk: Uint8Array) => {
			taken.push(Buffer.from(chunk));
			if (random.next() < 0.2) {
				stream.pause();
				setImmediate(() => stream.resume());
			}
		});
	});
}

async function play(random: Random): Promise<{kind: ReaderKind; size: number; isEqual: boolean}> {
	const kinds = Object.values(ReaderKind);
	const kind = kinds[Math.floor(random.next() * kinds.length)]!;
	const bytes = bytesOf(1 + Math.floor(random.next() * maxSize));
	let isPaused = false;
	const stream = new AnswerStream(() => {
		isPaused = false;
	});
	const taken: Buffer[] = [];
	const reading = {
		[ReaderKind.Flowing]: readFlowing,
		[ReaderKind.Credit]: readWithCredit,
		[ReaderKind.Iterator]: readSlowly,
	}[kind](stream, taken, random);
	for (let at = 0; at < bytes.length;) {
		if (isPaused || random.next() < 0.4) {
			await nextTurn();
			continue;
		}

		const end = Math.min(bytes.length, at + pickChunkSize(random));
		isPaused = !stream.write(Buffer.from(bytes.subarray(at, end)));
		at = end;
	}

	stream.complete();
	await reading;
	return {kind, size: bytes.length, isEqual: Buffer.concat(taken).equals(bytes)};
}

describe('AnswerStream', () => {
	// Guards against blocks that overtake each other, as the end of a stream is reported within a read.
	it.each([20_261_205])('passes bytes on in order at any speed (seed %i)', async (seed) => {
		const random = createRandom(seed);
		for (let i = 0; i < trials; i += 1) {
			const {kind, size, isEqual} = await play(random);
			expect(isEqual, `seed ${seed}, trial ${i}, ${size} bytes, ${kind}`).toBe(true);
		}
	});

	// Guards against bytes that overtake earlier ones when the answer is complete before it is read.
	it('passes bytes on in order when the answer is complete before it is read', async () => {
		const bytes = bytesOf(200_000);
		const stream = new AnswerStream(() => undefined);
		for (let at = 0; at < bytes.length; at += 1000) {
			stream.write(bytes.subarray(at, at + 1000));
		}

		stream.complete();
		const taken: Buffer[] = [];
		await readWithCredit(stream, taken, createRandom(1));
		expect(Buffer.concat(taken).equals(bytes)).toBe(true);
	});
});
