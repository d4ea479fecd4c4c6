import {write} from 'node:fs';
import {Writable} from 'node:stream';

/** Takes bytes somewhere, and says when it has. */
export type Sink = (bytes: Uint8Array, done: (err: Error | null) => void) => void; // eslint-disable-line @typescript-eslint/no-restricted-types

/** Bounds of what a writer takes. */
export interface LineLimits {
	/** Bytes that may wait to be written. */
	readonly pendingBytes: number;
	/** Lines a second on the mean. */
	readonly linesPerSecond: number;
}

/** About four times the lines of a busy node; a reader that hangs costs no more memory than this. */
export const defaultLineLimits: LineLimits = {pendingBytes: 1_048_576, linesPerSecond: 600};

const millisPerSecond = 1000;

/**
 * Writes log lines without ever blocking the loop or growing without bound: what a slow reader does
 * not take, and what comes too fast, is dropped and counted.
 */
export class LineWriter extends Writable {
	private pending: Uint8Array[] = [];
	private pendingBytes = 0;
	private isWriting = false;
	private tokens: number;
	private refilledAt: number;
	private droppedLines = 0;

	constructor(
		private readonly sink: Sink,
		private readonly now: () => number,
		private readonly limits = defaultLineLimits,
	) {
		super({decodeStrings: true});
		this.tokens = limits.linesPerSecond;
		this.refilledAt = now();
	}

	/** @returns lines dropped since the last call. */
	takeDropped(): number {
		const dropped = this.droppedLines;
		this.droppedLines = 0;
		return dropped;
	}

	override _write(chunk: Uint8Array, _encoding: string, done: () => void): void {
		if (this.mayTake(chunk.length)) {
			this.pending.push(chunk);
			this.pendingBytes += chunk.length;
			this.flush();
		} else {
			this.droppedLines += 1;
		}

		done();
	}

	private mayTake(bytes: number): boolean {
		const now = this.now();
		const {linesPerSecond, pendingBytes} = this.limits;
		const earned = ((now - this.refilledAt) / millisPerSecond) * linesPerSecond;
		this.tokens = Math.min(linesPerSecond, this.tokens + earned);
		this.refilledAt = now;
		if (this.tokens < 1 || this.pendingBytes + bytes > pendingBytes) {
			return false;
		}

		this.tokens -= 1;
		return true;
	}

	private flush(): void {
		if (this.isWriting || this.pending.length === 0) {
			return;
		}

		const bytes = joinBytes(this.pending);
		this.pending = [];
		this.isWriting = true;
		this.sink(bytes, (err) => {
			this.isWriting = false;
			this.pendingBytes -= bytes.length;
			if (err) {
				this.droppedLines += 1;
			}

			this.flush();
		});
	}
}

/**
 * @param descriptor - an open file.
 * @returns a sink that writes to it off the loop.
 */
export function createFileSink(descriptor: number): Sink {
	const writeAll: Sink = (bytes, done) => {
		write(descriptor, bytes, (err, written) => {
			if (err?.code === 'EAGAIN') {
				setTimeout(writeAll, 10, bytes, done);
			} else if (err || written === bytes.length) {
				done(err);
			} else {
				writeAll(bytes.subarray(written), done);
			}
		});
	};

	return writeAll;
}

function joinBytes(chunks: readonly Uint8Array[]): Uint8Array {
	let length = 0;
	for (const chunk of chunks) {
		length += chunk.length;
	}

	const bytes = new Uint8Array(length);
	let at = 0;
	for (const chunk of chunks) {
		bytes.set(chunk, at);
		at += chunk.length;
	}

	return bytes;
}
