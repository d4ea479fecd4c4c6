import {Buffer} from 'node:buffer';
import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {ContinueFilter} from '../../continue-filter.js';

const seed = 20_261_207;
const go = 'HTTP/1.1 100 Continue\r\nX-A: 1\r\n\r\n';
const hints = 'HTTP/1.1 103 Hints\r\nLink: </a>\r\n\r\n';
const answer = `HTTP/1.1 200 OK\r\nContent-Length: 34\r\n\r\n${go}`;

function createFilter(accept = true): ContinueFilter {
	const filter = new ContinueFilter();
	filter.expectAnswer(() => accept);
	return filter;
}

function filterAll(filter: ContinueFilter, text: string, size: number): string {
	const bytes = Buffer.from(text, 'latin1');
	const passed: Uint8Array[] = [];
	for (let start = 0; start < bytes.length; start += size) {
		passed.push(filter.strip(bytes.subarray(start, start + size)));
	}

	return Buffer.concat(passed).toString('latin1');
}

describe(`filter of interim answers with status 100 (seed ${seed})`, () => {
	// Guards against a sound answer that is lost or altered by how its bytes are cut.
	it('takes out only these, however the bytes are cut', () => {
		fc.assert(
			fc.property(
				fc.array(fc.constantFrom(go, hints, 'HTTP/1.0 100\r\n\r\n', 'HTTP/1.1 199 A\r\n\r\n')),
				fc.constantFrom(
					answer,
					'HTTP/1.1 204 Gone\r\n\r\n',
					'HTTP/1.1 99',
					'nothing',
					'\r\n',
					'HTTP',
				),
				fc.integer({min: 1, max: 200}),
				(heads, rest, size) => {
					const wanted = heads.filter((head) => !/^HTTP\/1.. 100/v.test(head)).join('') + rest;
					const filter = createFilter();
					const isOpen = 'HTTP/1.1 1'.startsWith(rest);
					expect(filterAll(filter, heads.join('') + rest, size)).toBe(
						isOpen ? wanted.slice(0, -rest.length) : wanted,
					);
				},
			),
			{seed},
		);
	});

	it('passes bytes on as they are', () => {
		fc.assert(
			fc.property(fc.array(fc.uint8Array({minLength: 1})), (chunks) => {
				const answers = createFilter(false);
				const passed = Buffer.concat(chunks.map((chunk) => answers.strip(chunk)));
				const all = Buffer.concat(chunks);
				expect(all.subarray(0, passed.length)).toEqual(passed);
				expect(all.length - passed.length).toBeLessThan('HTTP/1.1 1'.length);
			}),
			{seed},
		);
	});

	it('passes those on that may not be skipped', () => {
		expect(filterAll(createFilter(false), go + answer, 7)).toBe(go + answer);
	});

	it('reads the fields of those that it skips', () => {
		const seen: unknown[] = [];
		const filter = new ContinueFilter();
		filter.expectAnswer((headers) => {
			seen.push(headers);
			return true;
		});
		filterAll(filter, `${go}HTTP/1.1 100\r\n\r\n${answer}`, 5);
		expect(seen).toEqual([['X-A', '1'], []]);
	});

	it('leaves what follows the answer until another is expected', () => {
		const filter = createFilter();
		expect(filterAll(filter, answer, 1000)).toBe(answer);
		expect(filterAll(filter, go, 1000)).toBe(go);
		filter.expectAnswer(() => true);
		expect(filterAll(filter, go, 1000)).toBe('');
	});

	it('holds no more than the head that the library accepts', () => {
		const endless = `HTTP/1.1 100 Continue\r\nX-A: ${'a'.repeat(40_000)}`;
		expect(filterAll(createFilter(), endless, 1000)).toBe(endless);
	});
});
