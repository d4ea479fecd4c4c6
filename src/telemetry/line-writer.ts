import {fstatSync, write, writeSync} from 'node:fs';
import {Socket} from 'node:net';
import {Writable} from 'node:stream';
import {concatBytes} from '../util/index.js';

/** Takes bytes somewhere. */
export interface Sink {
	/**
	 * @param bytes - what to write.
	 * @param done - called when it is written or could not be.
	 */
	write(bytes: Uint8Array, done: (err: Error | undefined) => void): void;
	/**
	 * Writes at once, as the process ends.
	 * @param bytes - what to write.
	 */
	writeSync(bytes: Uint8Array): void;
}

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
/** Lines are collected for so long, as each write costs several calls of the system, in ms. */
const collectTime = 250;
const retryTime = 10;
/** A pipe takes so many bytes without parting them. Source: POSIX, PIPE_BUF. */
const pipeBytes = 4096;

/**
 * Writes log lines without ever blocking the loop or growing without bound: what a slow reader does
 * not take, and what comes too fast, is dropped and counted.
 */
export class LineWriter extends Writable {
	private pending: Uint8Array[] = [];
	private pendingBytes = 0;
	private isWriting = false;
	private isScheduled = false;
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
	takeDroppedCount(): number {
		const dropped = this.droppedLines;
		this.droppedLines = 0;
		return dropped;
	}

	/** Writes what waits at once, as the process ends. */
	flushSync(): void {
		if (this.pending.length > 0) {
			this.sink.writeSync(concatBytes(this.pending));
			this.pending = [];
		}
	}

	override _write(chunk: Uint8Array, _encoding: string, done: () => void): void {
		if (this.mayTake(chunk.length)) {
			this.pending.push(chunk);
			this.pendingBytes += chunk.length;
			this.flushLater();
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

	private flushLater(): void {
		if (!this.isScheduled) {
			this.isScheduled = true;
			setTimeout(() => {
				this.isScheduled = false;
				this.flush();
			}, collectTime).unref();
		}
	}

	// At least one line, and no more than a pipe takes as a whole.
	private takeLines(): Uint8Array[] {
		let count = 0;
		let size = 0;
		do {
			size += this.pending[count]!.length;
			count += 1;
		} while (count < this.pending.length && size + this.pending[count]!.length <= pipeBytes);

		return this.pending.splice(0, count);
	}

	private flush(): void {
		if (this.isWriting || this.pending.length === 0) {
			return;
		}

		const bytes = concatBytes(this.takeLines());
		this.isWriting = true;
		this.sink.write(bytes, (err) => {
			this.isWriting = false;
			this.pendingBytes -= bytes.length;
			if (err) {
				this.droppedLines += 1;
			}

			this.flush();
		});
	}
}

/** Writes to an open file off the loop. */
export class FileSink implements Sink {
	constructor(private readonly descriptor: number) {}

	write(bytes: Uint8Array, done: (err: Error | undefined) => void): void {
		write(this.descriptor, bytes, (err, written) => {
			if (err?.code === 'EAGAIN') {
				setTimeout(() => {
					this.write(bytes, done);
				}, retryTime);
			} else if (Boolean(err) || written === bytes.length) {
				done(err ?? undefined);
			} else {
				this.write(bytes.subarray(written), done);
			}
		});
	}

	writeSync(bytes: Uint8Array): void {
		writeAtEnd(this.descriptor, bytes);
	}
}

/** Writes to a pipe or socket on the loop, which wakes up no other thread. */
export class PipeSink implements Sink {
	private readonly socket: Socket;

	constructor(private readonly descriptor: number) {
		this.socket = new Socket({fd: descriptor, readable: false, writable: true});
		this.socket.unref();
		this.socket.on('error', () => {
			// Each write is told of its own error.
		});
	}

	write(bytes: Uint8Array, done: (err: Error | undefined) => void): void {
		this.socket.write(bytes, (err) => {
			done(err ?? undefined);
		});
	}

	writeSync(bytes: Uint8Array): void {
		writeAtEnd(this.descriptor, bytes);
	}
}

function writeAtEnd(descriptor: number, bytes: Uint8Array): void {
	try {
		writeSync(descriptor, bytes);
	} catch {
		// The reader is gone or full, and the process ends: there is nowhere to tell it.
	}
}

/**
 * @param descriptor - an open file, pipe or socket.
 * @returns what writes to it without blocking the loop.
 */
export function createSink(descriptor: number): Sink {
	const stats = fstatSync(descriptor);
	return stats.isFIFO() || stats.isSocket() ? new PipeSink(descriptor) : new FileSink(descriptor);
}
