import type {Millis} from '../clock/index.js';

/** Time constant of the average, in ms: evens out single calls, and is short against changes of the demand. */
const averageTime: Millis = 400;

/**
 * Average of a quantity over the recent past, weighted by time. A figure that is read only when an answer is
 * sent would be too high, as answers come from executors that are busy.
 */
export class LoadAverage {
	private average = 0;
	private value = 0;
	private changedAt: Millis | undefined;

	/**
	 * @param value - value from now on.
	 * @param now - monotonic time, in ms.
	 */
	record(value: number, now: Millis): void {
		this.average = this.at(now);
		this.value = value;
		this.changedAt = now;
	}

	/**
	 * @param now - monotonic time, in ms.
	 * @returns the average.
	 */
	at(now: Millis): number {
		const elapsed = this.changedAt === undefined ? 0 : now - this.changedAt;
		return this.value + (this.average - this.value) * Math.exp(-elapsed / averageTime);
	}
}
