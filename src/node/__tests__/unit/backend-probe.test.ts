import {describe, expect, it} from 'vitest';
import {crossCheckRate, isProbeDue} from '../../backend-probe.js';

const rate = {period: 100, maxSpeedAge: 200, idleTimeout: 1000, defaultBudget: 150};

describe('isProbeDue', () => {
	it('leaves out what answers tell for nothing', () => {
		expect(isProbeDue(rate, {speedAge: 100, idleTime: 0})).toBe(false);
		expect(isProbeDue(rate, {speedAge: 200, idleTime: 0})).toBe(true);
	});

	it('leaves a backend server alone that nobody calls', () => {
		expect(isProbeDue(rate, {speedAge: 5000, idleTime: 1001})).toBe(false);
		expect(isProbeDue(rate, {speedAge: 5000, idleTime: Number.POSITIVE_INFINITY})).toBe(false);
	});

	it('cross-checks announcements always', () => {
		const never = Number.POSITIVE_INFINITY;
		expect(isProbeDue(crossCheckRate, {speedAge: never, idleTime: never})).toBe(true);
	});
});
