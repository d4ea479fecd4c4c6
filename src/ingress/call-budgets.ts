import {RatioBudget} from '../budget/index.js';
import type {CallPolicy} from '../declaration/index.js';

type Budgets = {readonly retries: RatioBudget; readonly hedges: RatioBudget};

/**
 * Upper bounds, in attempts, of the budgets that one node can accumulate. They keep the sum over all
 * nodes within the configured slack.
 */
export interface BudgetBursts {
	readonly retries: number;
	readonly hedges: number;
}

/** Limits retries and hedges to a share of the calls to each service. */
export class CallBudgets {
	private readonly services = new Map<string, Budgets>();

	constructor(private readonly bursts: () => BudgetBursts) {}

	/**
	 * Credits the budgets of a service for one received call.
	 * @param policy - policy of the call, with its retry and hedge shares.
	 */
	earn(policy: CallPolicy): void {
		const {retries, hedges} = this.budgetsOf(policy.service);
		retries.deposit(policy.retryShare);
		hedges.deposit(policy.hedgeShare);
	}

	/**
	 * @param service - name of a service.
	 * @returns whether a failed attempt may be retried; if so, the retry is deducted from the budget.
	 */
	trySpendRetry(service: string): boolean {
		return this.budgetsOf(service).retries.trySpend();
	}

	/**
	 * @param service - name of a service.
	 * @returns whether a slow attempt may be hedged; if so, the hedge is deducted from the budget.
	 */
	trySpendHedge(service: string): boolean {
		return this.budgetsOf(service).hedges.trySpend();
	}

	private budgetsOf(service: string): Budgets {
		let budgets = this.services.get(service);
		if (!budgets) {
			const {retries, hedges} = this.bursts();
			budgets = {retries: new RatioBudget(retries), hedges: new RatioBudget(hedges)};
			this.services.set(service, budgets);
		}

		return budgets;
	}
}
