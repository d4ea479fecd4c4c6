import {second, type Millis} from '../clock/index.js';
import type {CustomerLimit} from './quota-limit.js';

/**
 * Token bucket that is charged after the fact. Its level falls below 0 when requests ran before they were known, and
 * the debt is paid back from the rate.
 */
export class DebtBucket {
	constructor(
		private tokens: number,
		private at: Millis,
	) {}

	/** Tokens; negative while there is a debt. */
	get level(): number {
		return this.tokens;
	}

	/**
	 * Adds the tokens of the time that has passed.
	 * @param now - monotonic time in ms.
	 * @param limit - rate and burst that apply.
	 */
	advance(now: Millis, limit: CustomerLimit): void {
		const earned = (Math.max(0, now - this.at) / second) * limit.rate;
		this.tokens = Math.min(limit.burst, this.tokens + earned);
		this.at = Math.max(this.at, now);
	}

	/**
	 * @param tokens - tokens used; negative when they are returned.
	 */
	charge(tokens: number): void {
		this.tokens -= tokens;
	}
}
