import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import type {RoutePolicy} from '../../../declaration/index.js';
import {WeightedSplit} from '../../index.js';

function createRoute(weights: readonly number[]): RoutePolicy {
	return {
		name: 'r',
		host: 'h',
		prefix: '/',
		isIdempotent: true,
		timeout: 1000,
		objective: 100,
		maxAttempts: 1,
		priority: 0,
		targets: weights.map((weight, i) => ({service: `s${i}`, weight})),
	};
}

describe('WeightedSplit', () => {
	it('keeps each target within one request per target of its exact share', () => {
		const weights = fc.array(fc.integer({min: 1, max: 100}), {minLength: 1, maxLength: 5});
		fc.assert(
			fc.property(weights, (drawn) => {
				const split = new WeightedSplit();
				const route = createRoute(drawn);
				const total = drawn.reduce((sum, weight) => sum + weight, 0);
				const counts = drawn.map(() => 0);
				for (let n = 1; n <= 300; n++) {
					counts[Number(split.choose(route).slice(1))]! += 1;
					for (const [i, weight] of drawn.entries()) {
						expect(Math.abs(counts[i]! - (n * weight) / total)).toBeLessThanOrEqual(drawn.length);
					}
				}
			}),
		);
	});

	it('never chooses a target of weight 0', () => {
		const split = new WeightedSplit();
		const route = createRoute([0, 3]);
		const chosen = new Set(Array.from({length: 50}, () => split.choose(route)));
		expect([...chosen]).toEqual(['s1']);
	});

	it('applies changed weights at once', () => {
		const split = new WeightedSplit();
		split.choose(createRoute([1, 1]));
		const changed = createRoute([1, 9]);
		const chosen = Array.from({length: 100}, () => split.choose(changed));
		expect(chosen.filter((name) => name === 's1')).toHaveLength(90);
	});
});
