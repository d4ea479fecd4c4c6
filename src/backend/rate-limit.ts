import {TokenBucket} from '../budget/index.js';
import {RefusalReason} from '../call/index.js';
import {second, type Clock, type Millis} from '../clock/index.js';
import type {StartLimit} from './start-limit.js';

/** Starts that may be made up for after an idle time, in seconds of the rate; at least one start. */
const burstSeconds = 0.5;
const minBurst = 1;
/** Missing part of a token that counts as none, as the level is a sum of fractions. */
const tolerance = 1e-6;

/**
 * Rate at which a backend server takes calls, as it names it in its answers. Answers can arrive in
 * another order than they were sent, so that only the answer to a call that was sent after the limit
 * was last named can lift it.
 */
export class RateLimit implements StartLimit {
	readonly refusal = RefusalReason.RateLimited;
	readonly lateRefusal = RefusalReason.DeadlineTooShort;
	private bucket: TokenBucket | undefined;
	private namedRate: number | undefined;
	private namedAt: Millis = Number.NEGATIVE_INFINITY;

	constructor(private readonly clock: Pick<Clock, 'now'>) {}

	/** Calls per second that the backend server takes; undefined while it names no limit. */
	get rate(): number | undefined {
		return this.namedRate;
	}

	get isPaced(): boolean {
		return false;
	}

	/**
	 * Records an answer of the backend server.
	 * @param rate - the limit that the answer names, in calls per second; undefined if it names none.
	 * @param sentAt - monotonic time in ms at which the call was sent.
	 * @returns whether the limit has changed.
	 */
	recordAnswer(rate: number | undefined, sentAt: Millis): boolean {
		const previous = this.namedRate;
		if (rate !== undefined) {
			this.limitTo(rate);
			this.namedAt = this.clock.now();
		} else if (sentAt > this.namedAt) {
			this.lift();
		}

		return this.namedRate !== previous;
	}

	recordStart(): void {
		this.bucket?.charge(1);
	}

	untilStart(ahead = 0): Millis {
		const {bucket, namedRate} = this;
		if (!bucket || namedRate === undefined) {
			return 0;
		}

		const missing = ahead + 1 - bucket.level;
		return missing <= tolerance ? 0 : (missing / namedRate) * second;
	}

	/** Forgets the limit, as another start of the backend server is attached. */
	lift(): void {
		this.bucket = undefined;
		this.namedRate = undefined;
	}

	// A new limit starts without saved-up calls, as the calls before it were not counted.
	private limitTo(rate: number): void {
		this.namedRate = rate;
		if (this.bucket) {
			this.bucket.setRate(rate);
		} else {
			this.bucket = new TokenBucket(this.clock, rate, burstSeconds, minBurst);
			this.bucket.charge(this.bucket.level);
		}
	}
}
