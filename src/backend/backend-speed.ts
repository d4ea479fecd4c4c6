import type {Millis} from '../clock/index.js';

/** Neighbours on a host change within about this time. Source: the users' description of their hosts. */
const speedMemory: Millis = 500;
/** Weight of one reading in the long mean; about 30 s of readings at 5 a second. */
const meanWeight = 0.01;
/** Bounds of what is believed; a reading outside is cut. */
const minSlowdown = 0.1;
const maxSlowdown = 50;
/** How much slower than at its best of late a backend server is in a slow spell. */
const slowSpell = 2;
/** Spells are shorter than this, so that the best reading within it lies outside of them. */
const baselineWindow: Millis = 1200;
/** Length of a slow spell before one was seen. Source: the users' description of their hosts. */
const defaultSpell: Millis = 500;
const spellWeight = 0.1;
/** Readings further apart don't tell how long a spell lasted. */
const watchedGap: Millis = 350;
/** A spell that seems longer was not watched all along. */
const longestSpell: Millis = 1500;

type Reading = {readonly slowdown: number; readonly at: Millis};

/** How fast a backend server works at this moment, from readings that grow old within half a second. */
export class BackendSpeed {
	private last = 1;
	private mean = 1;
	private readAt: Millis | undefined;
	private slowSince: Millis | undefined;
	private spellLength = defaultSpell;
	private recent: Reading[] = [];

	/** Whether the last reading was in a slow spell. */
	get isSlow(): boolean {
		return this.last >= slowSpell * this.baseline;
	}

	/**
	 * The slowdown outside of slow spells: above 1 on a backend server that is cold, or slow for
	 * reasons that last.
	 */
	get baseline(): number {
		return Math.max(1, this.recent[0]?.slowdown ?? 1);
	}

	/** The last reading. */
	get lastSlowdown(): number {
		return this.last;
	}

	/**
	 * @param slowdown - how many times longer than usual work takes.
	 * @param now - monotonic time in ms.
	 */
	addReading(slowdown: number, now: Millis): void {
		this.last = Math.min(maxSlowdown, Math.max(minSlowdown, slowdown));
		this.mean += (this.last - this.mean) * meanWeight;
		this.noteRecent({slowdown: this.last, at: now});
		const isWatched = this.readAt !== undefined && now - this.readAt <= watchedGap;
		this.readAt = now;
		if (!isWatched) {
			this.slowSince = this.isSlow ? now : undefined;
		} else if (this.isSlow) {
			this.slowSince ??= now;
		} else if (this.slowSince !== undefined) {
			const length = Math.min(longestSpell, now - this.slowSince);
			this.spellLength += (length - this.spellLength) * spellWeight;
			this.slowSince = undefined;
		}
	}

	/** @returns how long a slow spell still lasts on the mean, in ms. */
	slowPeriodLeft(): Millis {
		return this.spellLength / 2;
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
	 * @returns the expected slowdown: the last reading, fading to the long mean.
	 */
	slowdown(now: Millis): number {
		const trust = Math.exp(-this.age(now) / speedMemory);
		return this.mean + (this.last - this.mean) * trust;
	}

	// Holds the readings that are or may become the least of the window, in order of time.
	private noteRecent(reading: Reading): void {
		const isKept = ({slowdown, at}: Reading) =>
			slowdown < reading.slowdown && reading.at - at <= baselineWindow;
		this.recent = [...this.recent.filter((other) => isKept(other)), reading];
	}
}
