import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {ManualClock} from '../../../clock/index.js';
import {TokenBucket} from '../../index.js';

describe('TokenBucket', () => {
	it('never allows more than its rate and burst capacity', () => {
		const step = fc.record({pause: fc.nat(500), amount: fc.integer({min: 1, max: 50})});
		fc.assert(
			fc.property(fc.array(step, {maxLength: 200}), (steps) => {
				const clock = new ManualClock();
				const rate = 100;
				const burstSeconds = 2;
				const bucket = new TokenBucket(clock, rate, burstSeconds);
				let spent = 0;
				for (const {pause, amount} of steps) {
					clock.advance(pause);
					spent += bucket.trySpend(amount) ? amount : 0;
					expect(spent).toBeLessThanOrEqual(
						rate * burstSeconds + (rate * clock.now()) / 1000 + 1e-6,
					);
				}
			}),
			{seed: 20_261_204, numRuns: 300},
		);
	});

	it('recovers after a charge beyond the available tokens', () => {
		const clock = new ManualClock();
		const bucket = new TokenBucket(clock, 100);
		bucket.charge(300);
		expect(bucket.level).toBeLessThan(0);
		clock.advance(2500);
		expect(bucket.level).toBeGreaterThan(0);
	});
});
