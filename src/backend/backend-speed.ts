import type {Millis} from '../clock/index.js';

/** Time constant by which a reading loses weight: the load of neighbouring VMs changes about this fast. */
const speedDecayTime: Millis = 500;
/** Weight of one reading in the long-term mean, which covers about the last 100 readings. */
const meanWeight = 0.01;
/** Readings are clamped to these bounds. */
const minSlowdown = 0.1;
const maxSlowdown = 50;
/** Ratio of the slowdown to the recent minimum from which on a backend server is in a slow period. */
const slowPeriodFactor = 2;
/**
 * Window of the recent minimum: longer than a typical slow period, so that it contains a reading outside of
 * it, but shorter than the longest (1500 ms). A slow period that outlasts the window becomes the baseline and
 * no longer counts as slow.
 */
const baselineWindow: Millis = 1200;
/** Assumed length of a slow period until one has been observed; typical of shared hosts. */
const defaultSlowPeriod: Millis = 500;
const slowPeriodWeight = 0.1;
/** With a longer gap between two readings, the length of a slow period is not measured. */
const maxReadingGap: Millis = 350;
/**
 * Upper bound of a measured length; a longer period was not observed continuously. Longer than the window of
 * the recent minimum.
 */
const maxSlowPeriod: Millis = 1500;

type Reading = {readonly slowdown: number; readonly at: Millis};

/** Estimates the current speed of a backend server from readings that are outdated after about 0.5 s. */
export class BackendSpeed {
	private last = 1;
	private mean = 1;
	private readAt: Millis | undefined;
	private slowSince: Millis | undefined;
	private slowPeriodLength = defaultSlowPeriod;
	private recent: Reading[] = [];

	/** Whether the last reading was taken in a slow period. */
	get isSlow(): boolean {
		return this.last >= slowPeriodFactor * this.baseline;
	}

	/**
	 * The slowdown outside of slow periods: above 1 on a backend server that is cold or permanently
	 * slow.
	 */
	get baseline(): number {
		return Math.max(1, this.recent[0]?.slowdown ?? 1);
	}

	/** The last reading, clamped. */
	get lastSlowdown(): number {
		return this.last;
	}

	/**
	 * Adds a reading.
	 * @param slowdown - duration of work relative to its usual duration.
	 * @param now - monotonic time in ms.
	 */
	addReading(slowdown: number, now: Millis): void {
		this.last = Math.min(maxSlowdown, Math.max(minSlowdown, slowdown));
		this.mean += (this.last - this.mean) * meanWeight;
		this.addRecent({slowdown: this.last, at: now});
		const isContinuous = this.readAt !== undefined && now - this.readAt <= maxReadingGap;
		this.readAt = now;
		if (!isContinuous) {
			this.slowSince = this.isSlow ? now : undefined;
		} else if (this.isSlow) {
			this.slowSince ??= now;
		} else if (this.slowSince !== undefined) {
			const length = Math.min(maxSlowPeriod, now - this.slowSince);
			this.slowPeriodLength += (length - this.slowPeriodLength) * slowPeriodWeight;
			this.slowSince = undefined;
		}
	}

	/** @returns the mean remaining time of a slow period, in ms. */
	slowPeriodLeft(): Millis {
		return this.slowPeriodLength / 2;
	}

	/**
	 * @param now - monotonic time in ms.
	 * @returns age of the last reading in ms; infinite before the first.
	 */
	age(now: Millis): Millis {
		return this.readAt === undefined ? Number.POSITIVE_INFINITY : now - this.readAt;
	}

	/**
	 * @param now - monotonic time in ms.
	 * @returns the expected slowdown: the last reading, which decays to the long-term mean.
	 */
	slowdown(now: Millis): number {
		const freshness = Math.exp(-this.age(now) / speedDecayTime);
		return this.mean + (this.last - this.mean) * freshness;
	}

	// Keeps only the readings that are or can become the minimum of the window, in order of time.
	private addRecent(reading: Reading): void {
		const canBeMinimum = ({slowdown, at}: Reading) =>
			slowdown < reading.slowdown && reading.at - at <= baselineWindow;
		this.recent = [...this.recent.filter((other) => canBeMinimum(other)), reading];
	}
}
