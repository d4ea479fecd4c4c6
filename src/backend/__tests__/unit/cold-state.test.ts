import {describe, expect, it} from 'vitest';
import {Coldness, ColdState} from '../../index.js';

describe('ColdState', () => {
	it('is unknown until a report and cold for the reported time', () => {
		const state = new ColdState();
		expect(state.at(100)).toBe(Coldness.Unknown);
		expect(state.left(100)).toBe(Number.POSITIVE_INFINITY);
		state.record(500, 100, 100);
		expect(state.at(599)).toBe(Coldness.Cold);
		expect(state.left(200)).toBe(400);
		expect(state.at(600)).toBe(Coldness.Warm);
	});

	it('becomes cold again at any later report', () => {
		const state = new ColdState();
		state.record(0, 100, 100);
		expect(state.at(100)).toBe(Coldness.Warm);
		state.record(300, 110, 120);
		expect(state.at(419)).toBe(Coldness.Cold);
	});

	it('ignores a report of a warm backend server that was requested before it became cold', () => {
		const state = new ColdState();
		state.record(1000, 200, 200);
		state.record(0, 190, 210);
		expect(state.at(210)).toBe(Coldness.Cold);
		state.record(0, 200, 220);
		expect(state.at(220)).toBe(Coldness.Warm);
	});

	it('is unknown from an invalidation until a report that was requested after it', () => {
		const state = new ColdState();
		state.record(0, 100, 100);
		state.invalidate(200);
		state.record(0, 199, 205);
		expect(state.at(205)).toBe(Coldness.Unknown);
		state.record(0, 206, 207);
		expect(state.at(207)).toBe(Coldness.Warm);
	});

	it('forgets the reports of an earlier backend server', () => {
		const state = new ColdState();
		state.invalidate(300);
		state.reset();
		expect(state.at(300)).toBe(Coldness.Unknown);
		state.record(0, 290, 301);
		expect(state.at(301)).toBe(Coldness.Warm);
	});
});
