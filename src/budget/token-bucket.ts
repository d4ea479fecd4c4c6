import {second, type Clock, type Millis} from '../clock/index.js';

/** Limits a rate: bytes on a link, or ms of probes at a backend server. */
export class TokenBucket {
	private tokens: number;
	private at: Millis;

	constructor(
		private readonly clock: Pick<Clock, 'now'>,
		/** Tokens for each second. */
		private rate: number,
		/** Tokens that can be saved up, in seconds of the rate. */
		private readonly depth = 1,
	) {
		this.tokens = rate * depth;
		this.at = clock.now();
	}

	/** Tokens that can be spent now; below 0 after more was spent than there was. */
	get level(): number {
		this.refill();
		return this.tokens;
	}

	/**
	 * @param rate - tokens for each second from now on.
	 */
	setRate(rate: number): void {
		this.refill();
		this.rate = rate;
		this.tokens = Math.min(this.tokens, rate * this.depth);
	}

	/**
	 * Spends what has been used already, even if it was not allowed.
	 * @param amount - tokens.
	 */
	charge(amount: number): void {
		this.refill();
		this.tokens -= amount;
	}

	/**
	 * @param amount - tokens.
	 * @returns whether so much may be used; it is then spent.
	 */
	trySpend(amount: number): boolean {
		this.refill();
		if (this.tokens < amount) {
			return false;
		}

		this.tokens -= amount;
		return true;
	}

	private refill(): void {
		const now = this.clock.now();
		const earned = ((now - this.at) / second) * this.rate;
		this.tokens = Math.min(this.rate * this.depth, this.tokens + earned);
		this.at = now;
	}
}
