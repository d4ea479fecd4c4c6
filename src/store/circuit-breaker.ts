import {second, type Clock, type Millis} from '../clock/index.js';
import type {Random} from '../random/index.js';

const failuresToOpen = 3;
const initialPause: Millis = second / 2;
const maxPause: Millis = 5 * second;

/**
 * Circuit breaker that limits requests to a store that does not answer; retries after an exponential
 * backoff.
 */
export class CircuitBreaker {
	private failures = 0;
	private pause = initialPause;
	private openUntil = 0;

	constructor(
		private readonly clock: Pick<Clock, 'now'>,
		private readonly random: Random,
	) {}

	/** Whether at least `failuresToOpen` requests in a row have failed. */
	get isOpen(): boolean {
		return this.failures >= failuresToOpen;
	}

	/** @returns whether a request may be sent now. */
	allowsRequest(): boolean {
		return !this.isOpen || this.clock.now() >= this.openUntil;
	}

	/** @returns whether the breaker was open and has closed. */
	recordSuccess(): boolean {
		const wasOpen = this.isOpen;
		this.failures = 0;
		this.pause = initialPause;
		return wasOpen;
	}

	/** @returns whether the breaker has opened with this failure. */
	recordFailure(): boolean {
		this.failures += 1;
		if (!this.isOpen) {
			return false;
		}

		// Jitter keeps the nodes from retrying at the same time.
		this.openUntil = this.clock.now() + this.pause * (0.5 + this.random.next());
		this.pause = Math.min(maxPause, this.pause * 2);
		return this.failures === failuresToOpen;
	}
}
