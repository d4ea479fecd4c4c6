/**
 * Prints what a byte costs the readers of bytes from outside, for harmless bytes and for their worst ones, and exits with 1
 * if one of the worst costs more than the bounds. Usage: node dist/bench/hostile.js
 */
import {Buffer} from 'node:buffer';
import process from 'node:process';
import {Packr} from 'msgpackr';
import {parseConfiguration} from '../platform/configuration.js';
import {parseHeartbeat} from '../platform/announcements.js';
import {PlatformFormatError} from '../platform/fields.js';
import {AnswerScanner} from '../src/executor/answer-scanner.js';
import {ContinueFilter} from '../src/executor/continue-filter.js';
import {decodeFrame, FrameDecodeError} from '../src/link/frame-codec.js';
import {FrameType} from '../src/link/frame.js';
import {decodeGossip, GossipDecodeError} from '../src/membership/index.js';

/** Most times the cost of a harmless byte. */
const maxCostRatio = 4;
/** Most times the cost of a byte of the smallest input. */
const maxGrowth = 1.3;
const kib = 1024;
const smallest = 64 * kib;
const largest = 8 * kib * kib;
const maxFrame = 4 * kib * kib;
/** Largest input that is read a byte a time. */
const largestBytewise = kib * kib;
const rounds = 3;

interface Reader {
	readonly name: string;
	readonly maxSize: number;
	/** Errors by which it refuses bytes; any other ends the run. */
	readonly refusals: ReadonlyArray<new (message: string) => Error>;
	readonly harmless: (size: number) => Uint8Array;
	readonly worst: Readonly<Record<string, (size: number) => Uint8Array>>;
	read(bytes: Uint8Array): void;
}

const packr = new Packr({useRecords: false});
const repeat = (text: string) => (size: number) => Buffer.alloc(size, text, 'latin1') as Uint8Array;
const between = (start: string, text: string, end: string) => (size: number) => {
	const middle = repeat(text)(size - start.length - end.length);
	return Buffer.concat([Buffer.from(start), middle, Buffer.from(end)]);
};

const prose = 'The quick brown fox jumps over the lazy dog. ';
const noIds = new Set(['r1']);

/** Calls a reader with the bytes in pieces. */
function inPieces(bytes: Uint8Array, length: number, read: (piece: Uint8Array) => void): void {
	for (let start = 0; start < bytes.length; start += length) {
		read(bytes.subarray(start, start + length));
	}
}

const scannerInputs = {
	'starts of a status line': repeat('HTTP/1.'),
	'status lines': repeat('HTTP/1.1 200 OK\r\n'),
	'heads of others': repeat('HTTP/1.1 200 OK\r\nX-Attempt-Id: r2\r\n\r\n'),
	'fields without a head': repeat('a:b\r\n'),
	'ends of heads': repeat('\r\n\r\n'),
	'a head without end': between('HTTP/1.1 200 OK\r\n', 'a:b\r\n', ''),
	'starts that go no further': repeat('HTTP/HTTP/1'),
};

function createScannerReader(name: string, piece: number, maxSize: number): Reader {
	return {
		name,
		maxSize,
		refusals: [],
		harmless: repeat(prose),
		worst: scannerInputs,
		read(bytes) {
			const scanner = new AnswerScanner((headers) => headers[1], noIds);
			inPieces(bytes, piece, (part) => scanner.scan(part));
		},
	};
}

function createFilterReader(name: string, piece: number, maxSize: number): Reader {
	return {
		name,
		maxSize,
		refusals: [],
		harmless: repeat(prose),
		worst: {
			'interim answers': repeat('HTTP/1.1 103 H\r\nLink: </a>\r\n\r\n'),
			'interim answers with status 100': repeat('HTTP/1.1 100 Go\r\n\r\n'),
			'a head without end': between('HTTP/1.1 100 Go\r\n', 'a:b\r\n', ''),
		},
		read(bytes) {
			const filter = new ContinueFilter();
			filter.expectAnswer(() => true);
			inPieces(bytes, piece, (part) => filter.strip(part));
		},
	};
}

const heartbeat = (fill: (size: number) => Uint8Array) => (size: number) =>
	Buffer.concat([Buffer.from('{"born":1,"info":"'), fill(size - 20), Buffer.from('"}')]);

const readers: readonly Reader[] = [
	createScannerReader('scan of answers', smallest, largest),
	createScannerReader('scan of answers, a byte a time', 1, largestBytewise),
	createFilterReader('filter of interim answers', smallest, largest),
	createFilterReader('filter of interim answers, a byte a time', 1, largestBytewise),
	{
		name: 'frames of links',
		maxSize: maxFrame,
		refusals: [FrameDecodeError],
		harmless: (size) =>
			packr.pack([FrameType.Open, ...Array.from({length: size / prose.length}, () => prose)]),
		worst: {
			'nested lists': repeat('\u0091'),
			'nested maps': repeat('\u0081\u00A1a'),
			'empty texts': (size) => packr.pack(Array.from({length: size - 8}, () => '')),
			'small maps': (size) => packr.pack(Array.from({length: size / 4}, () => ({a: 1}))),
			'a long field list': (size) =>
				packr.pack([FrameType.Open, ...Array.from({length: size / 2}, () => 1)]),
		},
		read(bytes) {
			decodeFrame(bytes);
		},
	},
	{
		name: 'gossip',
		maxSize: smallest,
		refusals: [GossipDecodeError],
		harmless: (size) => packr.pack(Array.from({length: size / prose.length}, () => prose)),
		worst: {
			'nested lists': repeat('\u0091'),
			'small maps': (size) => packr.pack(Array.from({length: size / 4}, () => ({a: 1}))),
		},
		read(bytes) {
			decodeGossip(bytes);
		},
	},
	{
		name: 'heartbeats',
		maxSize: smallest,
		refusals: [PlatformFormatError],
		harmless: heartbeat(repeat(prose)),
		worst: {
			'nested lists': repeat('['),
			'nested objects': repeat('{"a":'),
			escapes: heartbeat(repeat(String.raw`\u0041`)),
			'a long number': between('{"born":', '1', '}'),
		},
		read(bytes) {
			parseHeartbeat('i-1', Buffer.from(bytes).toString('utf8'));
		},
	},
	{
		name: 'configurations',
		maxSize: largest,
		refusals: [PlatformFormatError],
		harmless: between('{"routes":"', prose, '"}'),
		worst: {
			'nested lists': repeat('['),
			'nested objects': repeat('{"a":'),
			'the same key': between('{', '"a":1,', '"b":1}'),
			escapes: between('{"routes":"', String.raw`\u0041`, ''),
		},
		read(bytes) {
			parseConfiguration(Buffer.from(bytes).toString('utf8'));
		},
	},
];

/** @returns ns a byte, the least of some rounds. */
function measure(reader: Reader, bytes: Uint8Array): number {
	// Each measurement reads as much, so that short inputs are measured as well.
	const times = Math.max(1, Math.floor(reader.maxSize / bytes.length));
	let least = Number.POSITIVE_INFINITY;
	for (let round = 0; round < rounds; round += 1) {
		const startedAt = process.hrtime.bigint();
		for (let i = 0; i < times; i += 1) {
			readOnce(reader, bytes);
		}

		const elapsed = Number(process.hrtime.bigint() - startedAt);
		least = Math.min(least, elapsed / (times * bytes.length));
	}

	return least;
}

function readOnce(reader: Reader, bytes: Uint8Array): void {
	try {
		reader.read(bytes);
	} catch (err) {
		if (!reader.refusals.some((known) => err instanceof known)) {
			throw err;
		}
	}
}

let broken = 0;
for (const reader of readers) {
	const {name, maxSize, harmless, worst} = reader;
	const plain = measure(reader, harmless(maxSize));
	console.log(`${name}: harmless bytes ${plain.toFixed(2)} ns a byte`);
	for (const [input, create] of Object.entries(worst)) {
		const small = measure(reader, create(smallest));
		const large = maxSize === smallest ? small : measure(reader, create(maxSize));
		const isBroken = large > maxCostRatio * plain || large > maxGrowth * small;
		broken += isBroken ? 1 : 0;
		const ratios = `${(large / plain).toFixed(1)} times harmless, ${(large / small).toFixed(2)} times 64 KiB`;
		console.log(`  ${input}: ${large.toFixed(2)} ns a byte, ${ratios}${isBroken ? ' BEYOND' : ''}`);
	}
}

console.log(`${broken} beyond the bounds`);
process.exitCode = broken > 0 ? 1 : 0;
