import {describe, expect, it} from 'vitest';
import {Saturation} from '../../index.js';

const slots = 10;

function recordRuns(saturation: Saturation, wasSaturated: boolean, ran: number): void {
	for (let i = 0; i < 30; i++) {
		saturation.recordRun(wasSaturated, ran, 100);
	}
}

describe('Saturation', () => {
	it('starts with the reduced limit, then allows all slots', () => {
		const saturation = new Saturation();
		expect(saturation.limit(slots, 0)).toBe(8);
		recordRuns(saturation, false, 100);
		expect(saturation.limit(slots, 0)).toBe(10);
	});

	it('keeps the reduced limit while saturation slows calls down, and retries all slots later', () => {
		const saturation = new Saturation();
		recordRuns(saturation, false, 100);
		recordRuns(saturation, true, 170);
		expect(saturation.limit(slots, 0)).toBe(8);
		expect(saturation.limit(slots, 9000)).toBe(8);
		expect(saturation.limit(slots, 11_000)).toBe(10);
	});

	it('allows all slots where saturation does not slow calls down', () => {
		const saturation = new Saturation();
		recordRuns(saturation, false, 100);
		recordRuns(saturation, true, 104);
		expect(saturation.limit(slots, 0)).toBe(10);
	});
});

describe('Saturation of a backend server with one slot', () => {
	it('never counts a single running call as saturation', () => {
		const saturation = new Saturation();
		expect(saturation.isSaturated(1, 1)).toBe(false);
		expect(saturation.limit(1, 0)).toBe(1);
	});
});
