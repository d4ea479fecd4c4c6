/** Further attempts that each customer may be ahead of what its calls have earned, however many customers there are. */
const minDebt = 2;
/** Further attempts that a customer can save up. */
const maxSaved = 1;
/** Customers that are remembered; the one whose last call is the longest ago is forgotten first. */
const maxCustomers = 512;

/**
 * What each customer has earned and spent of a budget that all customers share. A customer that is refused all the time
 * would otherwise spend what the calls of the others have earned.
 */
export class CustomerBalances {
	private readonly balances = new Map<string, number>();

	/**
	 * @param burst - further attempts that the shared budget can save up; customers may be ahead by equal parts of it.
	 */
	constructor(private readonly burst: number) {}

	/**
	 * @param customer - customer of a call; empty for none, which has no balance of its own.
	 * @param amount - further attempts that the call earns.
	 */
	earn(customer: string, amount: number): void {
		if (customer === '') {
			return;
		}

		const balance = Math.min(maxSaved, (this.balances.get(customer) ?? 0) + amount);
		this.balances.delete(customer);
		this.balances.set(customer, balance);
		if (this.balances.size > maxCustomers) {
			const [oldest] = this.balances.keys();
			this.balances.delete(oldest!);
		}
	}

	/**
	 * @param customer - a customer.
	 * @returns whether it may spend a further attempt.
	 */
	maySpend(customer: string): boolean {
		const maxDebt = Math.max(minDebt, this.burst / Math.max(1, this.balances.size));
		return (this.balances.get(customer) ?? 0) > -maxDebt;
	}

	/**
	 * @param customer - a customer that spends a further attempt.
	 */
	spend(customer: string): void {
		const balance = this.balances.get(customer);
		if (balance !== undefined) {
			this.balances.set(customer, balance - 1);
		}
	}
}
