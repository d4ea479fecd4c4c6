import type {Clock, Millis} from '../clock/index.js';

/**
 * Counts the requests sent to a backend server within a sliding window. A request is reserved when its
 * call gets a slot and counts from the time at which its first byte is written: a new connection may
 * have to be opened in between.
 */
export class StartWindow {
	/** Times at which requests were sent, in ascending order. */
	private readonly sent: Millis[] = [];
	private reserved = 0;

	constructor(
		private readonly clock: Pick<Clock, 'now'>,
		/** Length of the window, in ms. */
		private readonly length: Millis,
	) {}

	/** Number of requests sent within the window. */
	get sentCount(): number {
		this.expire();
		return this.sent.length;
	}

	/** Number of requests sent within the window or reserved. */
	get used(): number {
		return this.sentCount + this.reserved;
	}

	/** Reserves a request that is about to be sent. */
	reserve(): void {
		this.expire();
		this.reserved += 1;
	}

	/** Returns the reservation of a request that was not sent. */
	release(): void {
		this.reserved = Math.max(0, this.reserved - 1);
	}

	/**
	 * Turns a reservation into a sent request.
	 * @returns monotonic time in ms at which it counts as sent.
	 */
	recordSent(): Millis {
		const now = this.clock.now();
		this.release();
		this.sent.push(now);
		return now;
	}

	/**
	 * Removes a request that does not count.
	 * @param sentAt - time that {@link recordSent} returned for it.
	 */
	forget(sentAt: Millis): void {
		const index = this.sent.indexOf(sentAt);
		if (index !== -1) {
			this.sent.splice(index, 1);
		}
	}

	/**
	 * @param max - maximum number of requests in any window; at least 1.
	 * @param ahead - number of requests that are sent first; a fraction counts as a whole one.
	 * @returns time until another request may be sent, in ms.
	 */
	untilFree(max: number, ahead: number): Millis {
		// The request may be sent once this many of the earliest ones have left the window.
		const excess = this.used + Math.ceil(ahead) + 1 - max;
		if (excess <= 0) {
			return 0;
		}

		const leaving = this.sent[excess - 1];
		const later = Math.max(0, excess - this.sent.length);
		return leaving === undefined
			? Math.ceil(later / max) * this.length
			: leaving + this.length - this.clock.now();
	}

	private expire(): void {
		const from = this.clock.now() - this.length;
		let count = 0;
		while (count < this.sent.length && this.sent[count]! <= from) {
			count += 1;
		}

		this.sent.splice(0, count);
	}
}
