import {describe, expect, it} from 'vitest';
import {AnswerStream} from '../../answer-stream.js';

const bytes = Uint8Array.from({length: 200_000}, (_, i) => i % 251);

// Guards against bytes that overtake earlier ones: the end of a stream makes its reader read within its own `read`.
describe('AnswerStream', () => {
	it('passes bytes on in order when the answer is complete before it is read', async () => {
		const stream = new AnswerStream(() => undefined);
		for (let at = 0; at < bytes.length; at += 1000) {
			stream.write(bytes.subarray(at, at + 1000));
		}

		stream.complete();
		const chunks: Uint8Array[] = [];
		stream.on('readable', () => {
			for (;;) {
				const size = Math.min(stream.readableLength, 16_384);
				const chunk: unknown = size > 0 ? stream.read(size) : stream.read(0);
				if (!(chunk instanceof Uint8Array)) {
					return;
				}

				chunks.push(chunk);
			}
		});
		await new Promise((resolve) => {
			stream.once('end', resolve);
		});
		expect(Buffer.concat(chunks).equals(bytes)).toBe(true);
	});
});
