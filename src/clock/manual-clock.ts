import type {Clock, Undo} from './clock.js';
import type {Millis} from './millis.js';

type Timer = {at: Millis; order: number; run: () => void; period: Millis | undefined};

/** A clock that moves only when advanced; for tests and replayed decisions. */
export class ManualClock implements Clock {
	private readonly timers = new Set<Timer>();
	private time: Millis;
	private order = 0;

	constructor(start: Millis = 0) {
		this.time = start;
	}

	now(): Millis {
		return this.time;
	}

	wallNow(): Millis {
		return this.time;
	}

	after(delay: Millis, run: () => void): Undo {
		return this.add(delay, run, undefined);
	}

	repeat(period: Millis, run: () => void): Undo {
		return this.add(period, run, period);
	}

	/**
	 * Advances time and runs the timers that fall due, in order of their time.
	 * @param span - duration to advance, in ms.
	 */
	advance(span: Millis): void {
		const end = this.time + span;
		for (let timer = this.firstDue(end); timer; timer = this.firstDue(end)) {
			this.time = timer.at;
			this.fire(timer);
		}

		this.time = end;
	}

	private add(delay: Millis, run: () => void, period: Millis | undefined): Undo {
		this.order += 1;
		const timer: Timer = {at: this.time + delay, order: this.order, run, period};
		this.timers.add(timer);
		return () => {
			this.timers.delete(timer);
		};
	}

	private firstDue(end: Millis): Timer | undefined {
		let first: Timer | undefined;
		for (const timer of this.timers) {
			const isDue = timer.at <= end;
			const isEarlier =
				!first || timer.at < first.at || (timer.at === first.at && timer.order < first.order);
			if (isDue && isEarlier) {
				first = timer;
			}
		}

		return first;
	}

	private fire(timer: Timer): void {
		if (timer.period === undefined) {
			this.timers.delete(timer);
		} else {
			timer.at += timer.period;
		}

		timer.run();
	}
}
