import {fstatSync, write, writeSync} from 'node:fs';
import {Socket} from 'node:net';
import {Writable} from 'node:stream';
import {concatBytes} from '../util/index.js';

/** Destination of log output. */
export interface Sink {
	/**
	 * @param bytes - bytes to write.
	 * @param done - called when the write has finished or failed.
	 */
	write(bytes: Uint8Array, done: (err: Error | undefined) => void): void;
	/**
	 * Writes synchronously, for use at process exit.
	 * @param bytes - bytes to write.
	 */
	writeSync(bytes: Uint8Array): void;
}

/** Limits of a {@link LineWriter}. */
export interface LineLimits {
	/** Maximum number of bytes that wait to be written. */
	readonly pendingBytes: number;
	/** Average number of lines per second; a burst may use up to one second of it. */
	readonly linesPerSecond: number;
}

/** About four times the line rate of a busy node; also bounds the memory used while the reader hangs. */
export const defaultLineLimits: LineLimits = {pendingBytes: 1_048_576, linesPerSecond: 600};

const millisPerSecond = 1000;
/** Time for which lines are batched, as each write costs several system calls. */
const batchTimeMs = 250;
/** Delay before a write that failed with `EAGAIN` is repeated. */
const retryDelayMs = 10;
/** Maximum number of bytes that a pipe writes atomically. Source: POSIX, PIPE_BUF. */
const maxAtomicPipeBytes = 4096;

/**
 * Writes log lines without blocking the event loop and with bounded memory: lines that a slow reader
 * does not read in time or that exceed the rate are dropped and counted.
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

	/** @returns the number of lines dropped since the last call. */
	takeDroppedCount(): number {
		const dropped = this.droppedLines;
		this.droppedLines = 0;
		return dropped;
	}

	/** Writes pending lines synchronously, for use at process exit. */
	flushSync(): void {
		if (this.pending.length > 0) {
			this.sink.writeSync(concatBytes(this.pending));
			this.pending = [];
		}
	}

	override _write(chunk: Uint8Array, _encoding: string, done: () => void): void {
		if (this.tryReserve(chunk.length)) {
			this.pending.push(chunk);
			this.pendingBytes += chunk.length;
			this.scheduleFlush();
		} else {
			this.droppedLines += 1;
		}

		done();
	}

	private tryReserve(bytes: number): boolean {
		const now = this.now();
		const {linesPerSecond, pendingBytes} = this.limits;
		const refill = ((now - this.refilledAt) / millisPerSecond) * linesPerSecond;
		this.tokens = Math.min(linesPerSecond, this.tokens + refill);
		this.refilledAt = now;
		if (this.tokens < 1 || this.pendingBytes + bytes > pendingBytes) {
			return false;
		}

		this.tokens -= 1;
		return true;
	}

	private scheduleFlush(): void {
		if (!this.isScheduled) {
			this.isScheduled = true;
			setTimeout(() => {
				this.isScheduled = false;
				this.flush();
			}, batchTimeMs).unref();
		}
	}

	// At least one line, and otherwise no more than a pipe writes atomically.
	private takeBatch(): Uint8Array[] {
		let count = 0;
		let size = 0;
		do {
			size += this.pending[count]!.length;
			count += 1;
		} while (
			count < this.pending.length &&
			size + this.pending[count]!.length <= maxAtomicPipeBytes
		);

		return this.pending.splice(0, count);
	}

	private flush(): void {
		if (this.isWriting || this.pending.length === 0) {
			return;
		}

		const bytes = concatBytes(this.takeBatch());
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

/** Writes to an open file on the thread pool. */
export class FileSink implements Sink {
	constructor(private readonly descriptor: number) {}

	write(bytes: Uint8Array, done: (err: Error | undefined) => void): void {
		write(this.descriptor, bytes, (err, written) => {
			if (err?.code === 'EAGAIN') {
				setTimeout(() => {
					this.write(bytes, done);
				}, retryDelayMs);
			} else if (Boolean(err) || written === bytes.length) {
				done(err ?? undefined);
			} else {
				this.write(bytes.subarray(written), done);
			}
		});
	}

	writeSync(bytes: Uint8Array): void {
		writeSyncIgnoringErrors(this.descriptor, bytes);
	}
}

/** Writes to a pipe or socket on the event loop, without waking another thread. */
export class PipeSink implements Sink {
	private readonly socket: Socket;

	constructor(private readonly descriptor: number) {
		this.socket = new Socket({fd: descriptor, readable: false, writable: true});
		this.socket.unref();
		this.socket.on('error', () => {
			// The callback of each write receives its error.
		});
	}

	write(bytes: Uint8Array, done: (err: Error | undefined) => void): void {
		this.socket.write(bytes, (err) => {
			done(err ?? undefined);
		});
	}

	writeSync(bytes: Uint8Array): void {
		writeSyncIgnoringErrors(this.descriptor, bytes);
	}
}

function writeSyncIgnoringErrors(descriptor: number, bytes: Uint8Array): void {
	try {
		writeSync(descriptor, bytes);
	} catch {
		// The reader is gone or its buffer is full. The process exits, so the error cannot be reported.
	}
}

/**
 * @param descriptor - descriptor of an open file, pipe or socket.
 * @returns a sink that writes to it without blocking the event loop.
 */
export function createSink(descriptor: number): Sink {
	const stats = fstatSync(descriptor);
	return stats.isFIFO() || stats.isSocket() ? new PipeSink(descriptor) : new FileSink(descriptor);
}
