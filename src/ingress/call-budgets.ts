import {RatioBudget} from '../budget/index.js';
import type {CallPolicy} from '../declaration/index.js';

type Budgets = {readonly retries: RatioBudget; readonly hedges: RatioBudget};

/** Bounds of what can be saved up by one node, so that all nodes together stay within the slack. */
export interface BudgetBursts {
	readonly retries: number;
	readonly hedges: number;
}

/** Further attempts of calls, as a share of the calls to each service. */
export class CallBudgets {
	private readonly services = new Map<string, Budgets>();

	constructor(private readonly bursts: () => BudgetBursts) {}

	/**
	 * A call has come in.
	 * @param policy - what holds for it.
	 */
	earn(policy: CallPolicy): void {
		const {retries, hedges} = this.of(policy.service);
		retries.deposit(policy.retryShare);
		hedges.deposit(policy.hedgeShare);
	}

	/**
	 * @param service - name of a service.
	 * @returns whether a further attempt may follow one that failed; it is then spent.
	 */
	trySpendRetry(service: string): boolean {
		return this.of(service).retries.trySpend();
	}

	/**
	 * @param service - name of a service.
	 * @returns whether a further attempt may be made beside one that is slow; it is then spent.
	 */
	trySpendHedge(service: string): boolean {
		return this.of(service).hedges.trySpend();
	}

	private of(service: string): Budgets {
		let budgets = this.services.get(service);
		if (!budgets) {
			const {retries, hedges} = this.bursts();
			budgets = {retries: new RatioBudget(retries), hedges: new RatioBudget(hedges)};
			this.services.set(service, budgets);
		}

		return budgets;
	}
}
