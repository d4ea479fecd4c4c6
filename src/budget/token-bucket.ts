import {second, type Clock, type Millis} from '../clock/index.js';

/** Limits a rate, such as bytes on a link or ms of probes at a backend server. */
export class TokenBucket {
	private tokens: number;
	private at: Millis;

	constructor(
		private readonly clock: Pick<Clock, 'now'>,
		/** Tokens per second. */
		private rate: number,
		/** Burst capacity, in seconds of the rate. */
		private readonly burstSeconds = 1,
		/** Least burst capacity, in tokens. */
		private readonly minBurst = 0,
	) {
		this.tokens = this.capacity;
		this.at = clock.now();
	}

	/** Available tokens; negative after {@link charge} has exceeded them. */
	get level(): number {
		this.refill();
		return this.tokens;
	}

	/**
	 * @param rate - new rate in tokens per second.
	 */
	setRate(rate: number): void {
		this.refill();
		this.rate = rate;
		this.tokens = Math.min(this.tokens, this.capacity);
	}

	/**
	 * Deducts tokens that have already been used, even beyond the available ones.
	 * @param amount - tokens.
	 */
	charge(amount: number): void {
		this.refill();
		this.tokens -= amount;
	}

	/**
	 * @param amount - tokens.
	 * @returns whether the tokens are available; if so, they are deducted.
	 */
	trySpend(amount: number): boolean {
		this.refill();
		if (this.tokens < amount) {
			return false;
		}

		this.tokens -= amount;
		return true;
	}

	private get capacity(): number {
		return Math.max(this.minBurst, this.rate * this.burstSeconds);
	}

	private refill(): void {
		const now = this.clock.now();
		const earned = ((now - this.at) / second) * this.rate;
		this.tokens = Math.min(this.capacity, this.tokens + earned);
		this.at = now;
	}
}
