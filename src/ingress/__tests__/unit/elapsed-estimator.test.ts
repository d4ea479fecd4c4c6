import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {ElapsedEstimator} from '../../index.js';

const timeout = 1000;

describe('ElapsedEstimator', () => {
	it('counts callers whose time left is about the usual one as first requests', () => {
		const estimator = new ElapsedEstimator();
		for (const timeLeft of [1000, 850, 930, 990, 870]) {
			expect(estimator.add('r', timeLeft)).toBe(0);
		}
	});

	it('estimates how long a caller that returns has waited', () => {
		const estimator = new ElapsedEstimator();
		for (let i = 0; i < 100; i++) {
			estimator.add('r', timeout);
		}

		expect(estimator.add('r', 600)).toBeCloseTo(400);
	});

	it('estimates nothing on a route whose callers set different time limits', () => {
		const estimator = new ElapsedEstimator();
		let counted = 0;
		for (let i = 0; i < 1000; i++) {
			counted += estimator.add('r', i % 4 === 0 ? timeout : 200) > 0 ? 1 : 0;
		}

		expect(counted).toBeLessThan(100);
	});

	it('keeps the routes apart', () => {
		const estimator = new ElapsedEstimator();
		estimator.add('a', timeout);
		expect(estimator.add('b', 200)).toBe(0);
	});

	it('never estimates a negative time, nor more than the longest time that a caller had', () => {
		const property = fc.property(fc.array(fc.nat(60_000)), (times) => {
			const estimator = new ElapsedEstimator();
			for (const timeLeft of times) {
				const elapsed = estimator.add('r', timeLeft);
				expect(elapsed).toBeGreaterThanOrEqual(0);
				expect(elapsed).toBeLessThanOrEqual(Math.max(...times));
			}
		});
		fc.assert(property);
	});
});
