import {describe, expect, it} from 'vitest';
import {crossCheckRate, isProbeDue} from '../../backend-probe.js';

const rate = {period: 100, maxSpeedAge: 200, idleTimeout: 1000, defaultBudget: 150};

describe('isProbeDue', () => {
	it('is not due while answers keep the speed reading up to date', () => {
		expect(isProbeDue(rate, {speedAge: 100, idleTime: 0})).toBe(false);
		expect(isProbeDue(rate, {speedAge: 200, idleTime: 0})).toBe(true);
	});

	it('is not due for a backend server without calls', () => {
		expect(isProbeDue(rate, {speedAge: 5000, idleTime: 1001})).toBe(false);
		expect(isProbeDue(rate, {speedAge: 5000, idleTime: Number.POSITIVE_INFINITY})).toBe(false);
	});

	it('is always due for the cross-check of announcements', () => {
		const never = Number.POSITIVE_INFINITY;
		expect(isProbeDue(crossCheckRate, {speedAge: never, idleTime: never})).toBe(true);
	});
});
