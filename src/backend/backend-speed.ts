import type {Millis} from '../clock/index.js';

/** Neighbours on a host change within about this time. Source: the users' description of their hosts. */
const speedMemory: Millis = 500;
/** Weight of one reading in the long mean; about 30 s of readings at 5 a second. */
const meanWeight = 0.01;
/** Bounds of what is believed; a reading outside is cut. */
const minSlowdown = 0.1;
const maxSlowdown = 50;
/** Slowdown from which on a backend server counts as being in a slow spell. */
const slowSpell = 2;
/** Length of a slow spell before one was seen. Source: the users' description of their hosts. */
const defaultSpell: Millis = 500;
const spellWeight = 0.1;
/** Readings further apart don't tell how long a spell lasted. */
const watchedGap: Millis = 350;
/** A spell that seems longer was not watched all along. */
const longestSpell: Millis = 1500;

/** How fast a backend server works at this moment, from readings that grow old within half a second. */
export class BackendSpeed {
	private last = 1;
	private mean = 1;
	private readAt: Millis | undefined;
	private slowSince: Millis | undefined;
	private spellLength = defaultSpell;

	/** Whether the last reading was in a slow spell. */
	get isSlow(): boolean {
		return this.last >= slowSpell;
	}

	/** The last reading. */
	get lastSlowdown(): number {
		return this.last;
	}

	/**
	 * @param slowdown - how many times longer than usual work takes.
	 * @param now - monotonic time in ms.
	 */
	read(slowdown: number, now: Millis): void {
		this.last = Math.min(maxSlowdown, Math.max(minSlowdown, slowdown));
		this.mean += (this.last - this.mean) * meanWeight;
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
	spellLeft(): Millis {
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
}
