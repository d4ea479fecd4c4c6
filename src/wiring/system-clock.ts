import {performance} from 'node:perf_hooks';
import type {Clock, Millis, Undo} from '../clock/index.js';

type RepeatedTimer = {readonly period: Millis; readonly run: () => void; due: Millis};

/** Share of its period by which a repeated run may be early, so that runs coincide. */
const maxEarlyShare = 0.2;

/** System clock. Repeated runs share one timer, as each wake-up of the process has a cost. */
export class SystemClock implements Clock {
	private readonly repeats = new Set<RepeatedTimer>();
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
		const repeat: RepeatedTimer = {period, run, due: this.now() + period};
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

	// Runs that coincide once stay aligned, as the next run is scheduled from the time of this one.
	private runDue(): void {
		const now = this.now();
		for (const repeat of this.repeats) {
			if (repeat.due - repeat.period * maxEarlyShare <= now) {
				repeat.due = now + repeat.period;
				repeat.run();
			}
		}

		this.schedule();
	}
}
