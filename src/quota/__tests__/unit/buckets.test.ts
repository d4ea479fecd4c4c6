import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {createRandom} from '../../../random/index.js';
import {CustomerBucket} from '../../customer-bucket.js';
import {DebtBucket} from '../../debt-bucket.js';
import {FarFilter} from '../../far-filter.js';
import {OwnPart} from '../../own-part.js';
import {defaultQuotaSettings as settings, overdraftOf} from '../../quota-limit.js';

describe('DebtBucket', () => {
	it('pays a debt back before it holds tokens again', () => {
		const bucket = new DebtBucket(5, 0);
		bucket.charge(15);
		bucket.advance(500, {rate: 10, burst: 5});
		expect(bucket.level).toBe(-5);
		bucket.advance(5000, {rate: 10, burst: 5});
		expect(bucket.level).toBe(5);
	});

	it('keeps to a lowered burst at once', () => {
		const bucket = new DebtBucket(100, 0);
		bucket.advance(0, {rate: 1, burst: 10});
		expect(bucket.level).toBe(10);
	});
});

describe('CustomerBucket', () => {
	const limit = {rate: 100, burst: 100};

	it('admits all requests of a customer below its limit', () => {
		const bucket = new CustomerBucket(settings, 100, 0);
		for (let now = 0; now < 20_000; now += 100) {
			bucket.add(6, 6, now);
			expect(bucket.share('t', limit, 1, now).share).toBe(1);
		}
	});

	it('admits the rate in the steady state of a demand above it', () => {
		const bucket = new CustomerBucket(settings, 100, 0);
		let credit = 0;
		let run = 0;
		for (let now = 0; now < 30_000; now += 10) {
			credit += 5 * bucket.share('t', limit, 1, now).share;
			const admitted = Math.floor(credit);
			credit -= admitted;
			bucket.add(admitted, 5, now);
			run += now < 10_000 ? 0 : admitted;
		}

		expect(run / 20).toBeGreaterThan(97);
		expect(run / 20).toBeLessThan(103);
	});

	it('tells a longer wait to a customer that asks for more', () => {
		const waits = [150, 300, 700].map((demand) => {
			const bucket = new CustomerBucket(settings, -overdraftOf(limit, settings), 0);
			for (let now = 0; now < 2000; now += 10) {
				bucket.add(1, demand / 100, now);
			}

			return bucket.share('t', limit, 1, 2000).wait;
		});
		expect(waits[0]).toBeLessThan(waits[1]!);
		expect(waits[1]).toBeLessThan(waits[2]!);
	});
});

describe('OwnPart', () => {
	it('lets all nodes together run no more than the limit, however often each is asked', () => {
		fc.assert(
			fc.property(fc.integer({min: 1, max: 1000}), (seed) => {
				const random = createRandom(seed);
				const nodes = 91;
				const limit = {rate: 1, burst: 1};
				let run = 0;
				for (let node = 0; node < nodes; node++) {
					const part = new OwnPart(settings, true);
					for (let now = 0; now < 5000; now += 50) {
						run += part.admit(limit, nodes, random.next(), now) ? 1 : 0;
					}
				}

				expect(run).toBeLessThanOrEqual((5 + 1) * 1.1 + 20);
			}),
			{numRuns: 40},
		);
	});

	it('uses a whole part without chance', () => {
		const part = new OwnPart(settings, true);
		const limit = {rate: 100, burst: 100};
		for (let i = 0; i < 10; i++) {
			expect(part.admit(limit, 10, 0.999, 0)).toBe(true);
		}
	});

	it('begins empty for a customer that was over its limit, as the shares had spent its burst', () => {
		const part = new OwnPart(settings, false);
		expect(part.admit({rate: 100, burst: 100}, 10, 0, 0)).toBe(false);
		expect(part.admit({rate: 100, burst: 100}, 10, 0, 1000)).toBe(true);
	});
});

describe('FarFilter', () => {
	const limit = {rate: 40, burst: 40};
	const count = {customer: 't', admitted: 1, requested: 1};

	it('tells other regions nothing while each zone uses less than its part', () => {
		const filter = new FarFilter();
		for (let now = 0; now < 60_000; now += 110) {
			expect(filter.pass(count, limit, 4, now)).toBeUndefined();
		}
	});

	it('tells all requests of a customer above the fraction, with those held back before', () => {
		const filter = new FarFilter();
		let told = 0;
		let sent = 0;
		for (let now = 0; now < 5000; now += 10) {
			sent += 1;
			told += filter.pass(count, limit, 4, now)?.admitted ?? 0;
		}

		expect(sent - told).toBeLessThan(5);
	});

	it('stays open a while when the use falls, so that a hot customer does not flicker', () => {
		const filter = new FarFilter();
		for (let now = 0; now < 5000; now += 10) {
			filter.pass(count, limit, 4, now);
		}

		expect(filter.pass(count, limit, 4, 6000)).toBeDefined();
		expect(filter.pass(count, limit, 4, 9000)).toBeUndefined();
	});
});
