import type {Millis} from '../clock/index.js';

/** The time at which a caller stops waiting, on the monotonic clock of this process. */
export class Deadline {
	/**
	 * @param now - monotonic time in ms.
	 * @param timeLeft - time until the caller stops waiting, in ms.
	 * @returns the deadline; calls carry their time left between nodes, as their clocks differ.
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
	 * @returns whether the deadline has passed.
	 */
	isPast(now: Millis): boolean {
		return now >= this.at;
	}
}
