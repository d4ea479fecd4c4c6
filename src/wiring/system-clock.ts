import {performance} from 'node:perf_hooks';
import type {Clock, Millis, Undo} from '../clock/index.js';

/** The clock of the operating system. */
export class SystemClock implements Clock {
	now(): Millis {
		return performance.now();
	}

	wallNow(): Millis {
		return Date.now();
	}

	after(delay: Millis, run: () => void): Undo {
		const timer = setTimeout(run, delay);
		return () => {
			clearTimeout(timer);
		};
	}

	repeat(period: Millis, run: () => void): Undo {
		const timer = setInterval(run, period);
		return () => {
			clearInterval(timer);
		};
	}
}
