import {RatioBudget} from '../budget/index.js';
import type {Call} from '../exchange/index.js';
import {CustomerBalances} from './customer-balances.js';

/**
 * Upper bounds, in attempts, of the budgets that one node can accumulate. They keep the sum over all
 * nodes within the configured slack.
 */
export interface BudgetBursts {
	readonly retries: number;
	readonly hedges: number;
}

/** Properties of a call that its budgets depend on. */
export type BudgetedCall = Pick<Call, 'head' | 'policy'> & {
	readonly index: Pick<Call['index'], 'hasCustomers'>;
};

/** Lowest urgency that is told apart. */
const maxLevel = 15;

// Customers are told apart only where the configuration declares them with keys.
function customerOf({head, index}: BudgetedCall): string {
	return index.hasCustomers ? head.customer : '';
}

// Only customers have priorities in the budgets: other calls spend what all have earned.
function levelOf(call: BudgetedCall): number {
	const {priority} = call.head.origin;
	return customerOf(call) === '' ? 0 : Math.min(maxLevel, Math.floor(priority));
}

/**
 * Budget of further attempts to one service. The attempts that calls of one priority earn are for calls of the same and
 * of higher priorities, so that under scarcity the least urgent ones are without further attempts first.
 */
class ServiceBudget {
	/** At index `i`: attempts earned and not spent by calls of priority `i` and lower ones. */
	private readonly levels: RatioBudget[] = [];
	private readonly balances: CustomerBalances;

	constructor(private readonly burst: number) {
		this.balances = new CustomerBalances(burst);
	}

	earn(call: BudgetedCall, amount: number): void {
		for (const budget of this.levelsUpTo(levelOf(call))) {
			budget.deposit(amount);
		}

		this.balances.earn(customerOf(call), amount);
	}

	trySpend(call: BudgetedCall): boolean {
		const customer = customerOf(call);
		const levels = this.levelsUpTo(levelOf(call));
		if (!this.balances.maySpend(customer) || !levels.every(({isEmpty}) => !isEmpty)) {
			return false;
		}

		for (const budget of levels) {
			budget.trySpend();
		}

		this.balances.spend(customer);
		return true;
	}

	private levelsUpTo(level: number): readonly RatioBudget[] {
		while (this.levels.length <= level) {
			this.levels.push(new RatioBudget(this.burst));
		}

		return this.levels.slice(0, level + 1);
	}
}

type Budgets = {readonly retries: ServiceBudget; readonly hedges: ServiceBudget};

/** Limits retries and hedges to a share of the calls to each service. */
export class CallBudgets {
	private readonly services = new Map<string, Budgets>();

	constructor(private readonly bursts: () => BudgetBursts) {}

	/**
	 * Credits the budgets of a service for one received call.
	 * @param call - the call, whose policy has its retry and hedge shares.
	 */
	earn(call: BudgetedCall): void {
		const {service, retryShare, hedgeShare} = call.policy;
		const {retries, hedges} = this.budgetsOf(service);
		retries.earn(call, retryShare);
		hedges.earn(call, hedgeShare);
	}

	/**
	 * @param call - a call with a failed attempt.
	 * @returns whether the attempt may be retried; if so, the retry is deducted from the budget.
	 */
	trySpendRetry(call: BudgetedCall): boolean {
		return this.budgetsOf(call.policy.service).retries.trySpend(call);
	}

	/**
	 * @param call - a call with a slow attempt.
	 * @returns whether the attempt may be hedged; if so, the hedge is deducted from the budget.
	 */
	trySpendHedge(call: BudgetedCall): boolean {
		return this.budgetsOf(call.policy.service).hedges.trySpend(call);
	}

	private budgetsOf(service: string): Budgets {
		let budgets = this.services.get(service);
		if (!budgets) {
			const {retries, hedges} = this.bursts();
			budgets = {retries: new ServiceBudget(retries), hedges: new ServiceBudget(hedges)};
			this.services.set(service, budgets);
		}

		return budgets;
	}
}
