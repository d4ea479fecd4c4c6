const defaultBurst = 10;

/** Limits additional attempts to a share of calls, so that retries cannot amplify an overload. */
export class RatioBudget {
	private tokens: number;

	/**
	 * @param burst - maximum number of additional attempts that can be accumulated.
	 */
	constructor(private readonly burst = defaultBurst) {
		this.tokens = burst;
	}

	/**
	 * Adds the allowance of one call.
	 * @param share - additional attempts allowed per call.
	 */
	deposit(share: number): void {
		this.tokens = Math.min(this.burst, this.tokens + share);
	}

	/** Whether no additional attempt is allowed. */
	get isEmpty(): boolean {
		return this.tokens < 1;
	}

	/** @returns whether one additional attempt is allowed; if so, it is deducted. */
	trySpend(): boolean {
		if (this.tokens < 1) {
			return false;
		}

		this.tokens -= 1;
		return true;
	}
}
