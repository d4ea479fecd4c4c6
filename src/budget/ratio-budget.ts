const defaultBurst = 10;

/**
 * Allows further attempts as a share of calls, so that retries cannot feed an overload.
 */
export class RatioBudget {
	private tokens: number;

	/**
	 * @param burst - further attempts that can be saved up.
	 */
	constructor(private readonly burst = defaultBurst) {
		this.tokens = burst;
	}

	/**
	 * A call has come in.
	 * @param share - further attempts allowed for each call.
	 */
	deposit(share: number): void {
		this.tokens = Math.min(this.burst, this.tokens + share);
	}

	/** @returns whether one further attempt may be made; it is then spent. */
	trySpend(): boolean {
		if (this.tokens < 1) {
			return false;
		}

		this.tokens -= 1;
		return true;
	}
}
