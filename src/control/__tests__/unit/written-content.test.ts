import {describe, expect, it} from 'vitest';
import {DeclarationIndex, parseContent} from '../../../declaration/index.js';
import {operatorConfiguration} from '../../../../platform/index.js';
import {ContentSizeError, readWrittenContent} from '../../written-content.js';

/** @returns the row of a configuration with so many customers of one key each. */
function rowWithCustomers(count: number): string {
	const tenants = Object.fromEntries(
		Array.from({length: count}, (_, i) => [
			`customer-${i}`,
			{api_keys: [`key-${i}`], priority: 1, rate_per_s: 5, burst: 5},
		]),
	);
	return JSON.stringify({version: 3, routes: {}, services: {}, tenants});
}

describe('readWrittenContent', () => {
	it('reads a configuration with 10,000 customers, which one frame between nodes holds', () => {
		const {revision, content} = readWrittenContent(operatorConfiguration, rowWithCustomers(10_000));
		expect(revision).toBe(3);
		const index = new DeclarationIndex(revision, parseContent(content));
		expect(index.customer('customer-9999')?.rate).toBe(5);
	});

	it('rejects 100,000 customers, which peers could not pass on, so that no part of the nodes uses them alone', () => {
		const read = () => readWrittenContent(operatorConfiguration, rowWithCustomers(100_000));
		expect(read).toThrow(ContentSizeError);
	});

	it('rejects a row that is too large for the heap before it is parsed', () => {
		const source = {
			...operatorConfiguration,
			parse(): never {
				throw new Error('parsed');
			},
		};
		expect(() => readWrittenContent(source, ' '.repeat(9_000_000))).toThrow(ContentSizeError);
	});
});
