import {second, type Clock, type Millis} from '../clock/index.js';
import type {Random} from '../random/index.js';

const failuresToOpen = 3;
const firstPause: Millis = second / 2;
const longestPause: Millis = 5 * second;

/** Keeps a node from asking a store again and again that does not answer. */
export class CircuitBreaker {
	private failures = 0;
	private pause = firstPause;
	private openUntil = 0;

	constructor(
		private readonly clock: Pick<Clock, 'now'>,
		private readonly random: Random,
	) {}

	/** Whether the store has not answered of late. */
	get isOpen(): boolean {
		return this.failures >= failuresToOpen;
	}

	/** @returns whether the store may be asked now. */
	mayAsk(): boolean {
		return !this.isOpen || this.clock.now() >= this.openUntil;
	}

	/** @returns whether the store had been taken for down. */
	noteSuccess(): boolean {
		const wasOpen = this.isOpen;
		this.failures = 0;
		this.pause = firstPause;
		return wasOpen;
	}

	/** @returns whether the store is taken for down from now on. */
	noteFailure(): boolean {
		this.failures += 1;
		if (!this.isOpen) {
			return false;
		}

		// Jitter keeps the nodes from coming back together.
		this.openUntil = this.clock.now() + this.pause * (0.5 + this.random.next());
		this.pause = Math.min(longestPause, this.pause * 2);
		return this.failures === failuresToOpen;
	}
}
