import type {Millis} from '../clock/index.js';

/** The point of time at which a caller stops waiting, on the clock of this process. */
export class Deadline {
	/**
	 * @param now - monotonic time in ms.
	 * @param timeLeft - how long the caller still waits, in ms.
	 * @returns the deadline of a call that travels with its time left, as clocks differ.
	 */
	static in(now: Millis, timeLeft: Millis): Deadline {
		return new Deadline(now + timeLeft);
	}

	constructor(
		/** Monotonic time in ms. */
		readonly at: Millis,
	) {}

	/**
	 * @param now - monotonic time in ms.
	 * @returns the time left in ms, never below 0.
	 */
	timeLeft(now: Millis): Millis {
		return Math.max(0, this.at - now);
	}

	/**
	 * @param now - monotonic time in ms.
	 * @returns whether the caller no longer waits.
	 */
	isPast(now: Millis): boolean {
		return now >= this.at;
	}
}
