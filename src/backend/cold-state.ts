import type {Millis} from '../clock/index.js';

/** What is known about the caches of a backend server. */
export enum Coldness {
	/** Not reported yet; such a backend server is treated as cold. */
	Unknown = 'unknown',
	Cold = 'cold',
	Warm = 'warm',
}

/**
 * Keeps the remaining cold time that a backend server reports. Reports can arrive in another order than
 * they were made, so only one that was requested after the last report of a cold time can end it early.
 */
export class ColdState {
	private until: Millis = Number.POSITIVE_INFINITY;
	private coldReportAt: Millis = Number.NEGATIVE_INFINITY;

	/** Forgets all reports, as another backend server is attached. */
	reset(): void {
		this.until = Number.POSITIVE_INFINITY;
		this.coldReportAt = Number.NEGATIVE_INFINITY;
	}

	/**
	 * Discards what is known: only a report that is requested from now on counts.
	 * @param now - monotonic time in ms.
	 */
	invalidate(now: Millis): void {
		this.until = Number.POSITIVE_INFINITY;
		this.coldReportAt = now;
	}

	/**
	 * Records a report.
	 * @param left - remaining cold time, in ms; 0 if the backend server is not cold.
	 * @param sentAt - monotonic time in ms at which the report was requested or, if it was not, received.
	 * @param now - monotonic time in ms.
	 */
	record(left: Millis, sentAt: Millis, now: Millis): void {
		if (sentAt < this.coldReportAt) {
			return;
		}

		this.until = now + left;
		if (left > 0) {
			this.coldReportAt = now;
		}
	}

	/**
	 * @param now - monotonic time in ms.
	 * @returns what is known.
	 */
	at(now: Millis): Coldness {
		if (this.until === Number.POSITIVE_INFINITY) {
			return Coldness.Unknown;
		}

		return now < this.until ? Coldness.Cold : Coldness.Warm;
	}

	/**
	 * @param now - monotonic time in ms.
	 * @returns time until the backend server is warm, in ms; infinite if it is not known.
	 */
	left(now: Millis): Millis {
		return Math.max(0, this.until - now);
	}
}
