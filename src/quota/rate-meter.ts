import {second, type Millis} from '../clock/index.js';

/** Exponentially weighted rate of events. */
export class RateMeter {
	private value = 0;
	private at: Millis = 0;

	constructor(
		/** Time constant in ms. */
		private readonly decay: Millis,
	) {}

	/**
	 * @param count - number of events.
	 * @param now - monotonic time in ms.
	 */
	add(count: number, now: Millis): void {
		this.value = this.rate(now) + (count * second) / this.decay;
		this.at = now;
	}

	/**
	 * @param now - monotonic time in ms.
	 * @returns events per second.
	 */
	rate(now: Millis): number {
		return this.value * Math.exp((this.at - now) / this.decay);
	}
}
