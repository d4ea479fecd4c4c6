import process from 'node:process';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import {describe, expect, it} from 'vitest';
import {BodyReceiver} from '../../body-receiver.js';
import type {Link} from '../../link.js';
import {windowBytes} from '../../link-limits.js';

/** A window of 64 KiB, and a few blocks and objects. */
const maxHeldBytes = 500_000;
/** Bytes of a small frame on a link around its data. */
const frameOverhead = 8;

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

// Guards against a body in small frames that takes far more memory than the window counts for it.
describe('BodyReceiver without a reader', () => {
	it('holds little more than the window, however small the frames are', async () => {
		const link = {send: () => undefined} as unknown as Link;
		const receivers: BodyReceiver[] = [];
		const growths: number[] = [];
		for (let i = 0; i < 3; i += 1) {
			const before = await usedMemory();
			const receiver = new BodyReceiver(link, 1, windowBytes);
			receivers.push(receiver);
			let read = Buffer.alloc(0);
			for (let sent = 0; sent < windowBytes; sent += 1) {
				const at = (sent * frameOverhead) % 65_536;
				if (at === 0) {
					read = Buffer.alloc(65_536, sent);
				}

				expect(receiver.accept(read.subarray(at, at + 1))).toBe(true);
			}

			growths.push((await usedMemory()) - before);
		}

		expect(receivers).toHaveLength(3);
		expect(Math.min(...growths)).toBeLessThan(maxHeldBytes);
	});
});
