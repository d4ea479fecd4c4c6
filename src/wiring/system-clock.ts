import {performance} from 'node:perf_hooks';
import type {Clock, Millis, Undo} from '../clock/index.js';

type Repeat = {readonly period: Millis; readonly run: () => void; due: Millis};

/** Part of its period by which a repeated run may come early, so that runs fall together. */
const earlyShare = 0.2;

/** The clock of the operating system. Repeated runs share one timer, as each wake-up has its cost. */
export class SystemClock implements Clock {
	private readonly repeats = new Set<Repeat>();
	private timer: ReturnType<typeof setTimeout> | undefined;

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
		const repeat: Repeat = {period, run, due: this.now() + period};
		this.repeats.add(repeat);
		this.schedule();
		return () => {
			this.repeats.delete(repeat);
			this.schedule();
		};
	}

	private schedule(): void {
		clearTimeout(this.timer);
		let first = Number.POSITIVE_INFINITY;
		for (const {due} of this.repeats) {
			first = Math.min(first, due);
		}

		if (Number.isFinite(first)) {
			this.timer = setTimeout(
				() => {
					this.runDue();
				},
				Math.max(1, first - this.now()),
			);
		}
	}

	// What runs together once stays together, as the next run is counted from this one.
	private runDue(): void {
		const now = this.now();
		for (const repeat of this.repeats) {
			if (repeat.due - repeat.period * earlyShare <= now) {
				repeat.due = now + repeat.period;
				repeat.run();
			}
		}

		this.schedule();
	}
}
