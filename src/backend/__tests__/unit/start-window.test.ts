import {describe, expect, it} from 'vitest';
import {ManualClock} from '../../../clock/index.js';
import {StartWindow} from '../../index.js';

const length = 1000;

function createWindow() {
	const clock = new ManualClock(5000);
	const window = new StartWindow(clock, length);
	const send = () => {
		window.reserve();
		return window.recordSent();
	};

	return {clock, window, send};
}

describe('StartWindow', () => {
	it('counts a request from the time at which it is sent, not from its reservation', () => {
		const {clock, window} = createWindow();
		window.reserve();
		clock.advance(900);
		window.recordSent();
		clock.advance(900);
		expect(window.used).toBe(1);
		clock.advance(100);
		expect(window.used).toBe(0);
	});

	it('keeps a reservation until it is sent or released', () => {
		const {clock, window} = createWindow();
		window.reserve();
		window.reserve();
		clock.advance(10 * length);
		expect(window.used).toBe(2);
		window.release();
		expect(window.used).toBe(1);
	});

	it('does not count a request that is forgotten', () => {
		const {clock, window, send} = createWindow();
		const first = send();
		clock.advance(10);
		send();
		window.forget(first);
		expect(window.used).toBe(1);
		// The remaining one is the later one.
		clock.advance(length - 10);
		expect(window.used).toBe(1);
		clock.advance(10);
		expect(window.used).toBe(0);
	});

	it('tells when the next request may be sent, behind requests that are sent first', () => {
		const {clock, window, send} = createWindow();
		expect(window.untilFree(2, 0)).toBe(0);
		send();
		clock.advance(100);
		send();
		clock.advance(100);
		expect(window.untilFree(3, 0)).toBe(0);
		expect(window.untilFree(2, 0)).toBe(800);
		expect(window.untilFree(2, 0.5)).toBe(900);
		expect(window.untilFree(2, 1)).toBe(900);
		expect(window.untilFree(2, 2)).toBe(1000);
		expect(window.untilFree(2, 4)).toBe(2000);
	});
});
