import {describe, expect, it, vi} from 'vitest';
import {LineWriter, type Sink} from '../../line-writer.js';

/** Sink of a reader that hangs until `release` is called. */
class HangingSink implements Sink {
	readonly written: string[] = [];
	private readonly waiting: Array<() => void> = [];

	write(bytes: Uint8Array, done: (err: Error | undefined) => void): void {
		this.waiting.push(() => {
			this.written.push(new TextDecoder().decode(bytes));
			done(undefined);
		});
	}

	writeSync(bytes: Uint8Array): void {
		this.written.push(new TextDecoder().decode(bytes));
	}

	release(): void {
		for (const run of this.waiting.splice(0)) {
			run();
		}
	}
}

describe('LineWriter', () => {
	it('neither blocks nor exceeds its memory limit while the reader hangs, and counts dropped lines', () => {
		vi.useFakeTimers();
		const sink = new HangingSink();
		const writer = new LineWriter(sink, () => 0, {pendingBytes: 30, linesPerSecond: 1000});
		for (let i = 0; i < 10; i++) {
			writer.write('0123456789');
		}

		vi.advanceTimersByTime(1000);
		expect(writer.takeDroppedCount()).toBe(7);
		expect(writer.takeDroppedCount()).toBe(0);
		sink.release();
		expect(sink.written.join('')).toBe('0123456789'.repeat(3));
		writer.write('again');
		vi.advanceTimersByTime(1000);
		sink.release();
		expect(sink.written.at(-1)).toBe('again');
		vi.useRealTimers();
	});

	it('limits the lines per second', () => {
		let now = 0;
		const writer = new LineWriter(new HangingSink(), () => now, {
			pendingBytes: 1_000_000,
			linesPerSecond: 5,
		});
		const writeSome = () => {
			for (let i = 0; i < 20; i++) {
				writer.write('x');
			}
		};

		writeSome();
		expect(writer.takeDroppedCount()).toBe(15);
		now = 1000;
		writeSome();
		expect(writer.takeDroppedCount()).toBe(15);
	});

	it('writes pending lines when the process exits', () => {
		const sink = new HangingSink();
		const writer = new LineWriter(sink, () => 0);
		writer.write('last words');
		writer.flushSync();
		expect(sink.written).toEqual(['last words']);
	});
});
