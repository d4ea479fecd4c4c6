import {describe, expect, it} from 'vitest';
import {planPoll} from '../../index.js';

const applyBound = 2000;
const seeds = [1, 2, 3, 4, 5, 6];

/**
 * Simulates the polls of all readers after a change that answered all of them at once.
 * @returns times at which polls end, in ascending order.
 */
function pollEnds(count: number, changedAt: number, until: number): number[] {
	const ends: number[] = [];
	for (let index = 0; index < count; index++) {
		const delay = (index * 7) % 20;
		for (let at = changedAt + delay; at < until;) {
			at += planPoll({index, count}, applyBound, at).wait + delay;
			ends.push(at);
		}
	}

	return ends.toSorted((a, b) => a - b);
}

describe('planPoll', () => {
	// Guards against readers whose polls are all of the same age, so that all of them miss the same change.
	it.each(seeds)('lets some poll end soon at any moment after a change (seed %i)', (seed) => {
		for (const count of [1, 2, 3, 8, 16]) {
			const changedAt = seed * 12_345.6;
			const ends = pollEnds(count, changedAt, changedAt + 60_000);
			const last = ends.filter((end) => end < changedAt + 50_000);
			for (const [i, end] of last.entries()) {
				const gap = end - (i === 0 ? changedAt : last[i - 1]!);
				expect(gap, `${count} readers`).toBeLessThanOrEqual(applyBound * 0.6);
			}
		}
	});

	it('needs no more calls for more readers', () => {
		const rates = [2, 4, 8, 15].map((count) => pollEnds(count, 0, 600_000).length / 600);
		expect(Math.max(...rates)).toBeLessThan(1.3);
	});

	it('bounds the wait for a late answer by the time to apply a change', () => {
		const {wait, timeout} = planPoll({index: 0, count: 1}, applyBound, undefined);
		expect(timeout).toBeLessThan(applyBound);
		expect(timeout).toBeGreaterThan(wait);
	});

	it('waits no longer than a cycle and a half, however many readers there are', () => {
		for (let index = 0; index < 400; index += 7) {
			expect(planPoll({index, count: 400}, applyBound, 1234).wait).toBeLessThanOrEqual(18_000);
		}
	});
});
