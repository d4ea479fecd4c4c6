import {describe, expect, it} from 'vitest';
import {Mechanism} from '../../../experiment/index.js';
import {FindingsError} from '../../../ini/index.js';
import {parseNodeSettings} from '../../index.js';

const required = `[node]
address = 127.0.0.1
region = r
zone = z
[peers]
secret = long enough
`;

describe('parseNodeSettings', () => {
	it('switches nothing off without an experiment', () => {
		expect(parseNodeSettings('node.ini', required).disabled.size).toBe(0);
	});

	it('switches the named mechanisms off', () => {
		const text = `${required}[experiment]\ndisable = hedging, late-reserve\n`;
		const {disabled} = parseNodeSettings('node.ini', text);
		expect([...disabled]).toEqual([Mechanism.Hedging, Mechanism.LateReserve]);
	});

	it('reports an unknown mechanism with its place', () => {
		const text = `${required}[experiment]\ndisable = hedging, constructor\n`;
		const parse = () => parseNodeSettings('node.ini', text);
		expect(parse).toThrow(FindingsError);
		expect(parse).toThrow(/node\.ini:8.*"constructor" is not known/v);
	});

	it('bounds cold backend servers only if both values of the section are given', () => {
		const read = (section: string) => parseNodeSettings('node.ini', `${required}${section}`).cold;
		expect(read('')).toBeUndefined();
		expect(read('[cold]\noverage = \nslack = \n')).toBeUndefined();
		expect(read('[cold]\noverage = 1.5\nslack =\n')).toBeUndefined();
		expect(read('[cold]\n')).toBeUndefined();
		expect(read('[cold]\noverage = 1.5\nslack = 8\n')).toEqual({overage: 1.5, slack: 8});
		expect(() => read('[cold]\noverage = much\nslack = 8\n')).toThrow(/out of bounds/v);
	});

	it('accepts a bandwidth of the link without a value', () => {
		const read = (line: string) =>
			parseNodeSettings('node.ini', required.replace('zone = z', `zone = z\n${line}`)).linkRate;
		expect(read('')).toBeUndefined();
		expect(read('link-mbps =')).toBeUndefined();
		expect(read('link-mbps = 7.5')).toBe(7.5);
	});

	it('takes the tolerance of the quotas, which deployments without the feature leave out', () => {
		const {quota} = parseNodeSettings('node.ini', required);
		expect(quota).toEqual({window: 5000, overage: 0.1, slack: 20});
		const text = `${required}[quota]\nwindow = 4 s\noverage = 0.2\nslack = 7\n`;
		expect(parseNodeSettings('node.ini', text).quota).toEqual({
			window: 4000,
			overage: 0.2,
			slack: 7,
		});
	});
});
