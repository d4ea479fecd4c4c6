import {describe, expect, it} from 'vitest';
import {inflateText, TextDeflater} from '../../text-compression.js';

function routesText(count: number): string {
	const routes = Array.from({length: count}, (_, i) => ({
		name: `r-${(i * 7919) % 100_003}`,
		host: `h${(i * 104_729) % 9973}.example`,
		prefix: `/p${i}/`,
		isIdempotent: true,
		timeout: 1500,
		objective: 835,
		targets: [{service: 's', weight: 1}],
	}));
	return JSON.stringify(routes);
}

describe('the compression of configuration texts', () => {
	it('keeps a thousand routes under a fifth of their size and restores them', () => {
		const text = routesText(1000);
		const deflater = new TextDeflater();
		const bytes = deflater.deflate(text)!;
		expect(bytes.length).toBeLessThan(text.length / 5);
		expect(inflateText(bytes)).toBe(text);
		expect(deflater.deflate(text)).toBe(bytes);
	});

	it('leaves short texts as they are', () => {
		expect(new TextDeflater().deflate(routesText(3))).toBeUndefined();
	});

	it('rejects bytes that are no compressed text', () => {
		expect(() => inflateText(new Uint8Array([255, 0, 1]))).toThrow();
	});
});
