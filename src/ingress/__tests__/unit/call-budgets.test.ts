import {describe, expect, it} from 'vitest';
import {CallBudgets, type BudgetedCall} from '../../call-budgets.js';

const bursts = {retries: 3, hedges: 3};

function createCall(customer: string, priority: number): BudgetedCall {
	const origin = {requestId: 'r', caller: '', route: 'r', priority};
	const policy = {service: 's', customer, retryShare: 0.5, hedgeShare: 0.5};
	const index = {hasCustomers: true};
	return {head: {customer, origin}, policy, index} as unknown as BudgetedCall;
}

/** @returns how many retries in a row the budget allows. */
function countRetries(budgets: CallBudgets, call: BudgetedCall, limit = 10): number {
	let count = 0;
	while (count < limit && budgets.trySpendRetry(call)) {
		count += 1;
	}

	return count;
}

function earnAll(budgets: CallBudgets, calls: readonly BudgetedCall[], rounds: number): void {
	for (let i = 0; i < rounds; i++) {
		for (const call of calls) {
			budgets.earn(call);
		}
	}
}

describe('CallBudgets', () => {
	it('lets an urgent call spend what less urgent ones have earned, but not the other way round', () => {
		const budgets = new CallBudgets(() => bursts);
		const urgent = Array.from({length: 9}, (_, i) => createCall(`urgent-${i}`, 0));
		const least = Array.from({length: 9}, (_, i) => createCall(`least-${i}`, 2.5));
		const countAll = (calls: readonly BudgetedCall[]) =>
			calls.filter((call) => budgets.trySpendRetry(call)).length;
		expect(countAll(urgent)).toBe(3);
		earnAll(budgets, urgent, 1);
		expect(countAll([...least, ...least])).toBe(3);
		earnAll(budgets, urgent, 4);
		expect(countAll(least)).toBe(0);
		expect(countAll(urgent)).toBe(3);
		earnAll(budgets, least, 4);
		expect(countAll(urgent)).toBe(3);
	});

	it('keeps a customer that is refused all the time from spending what others have earned', () => {
		const budgets = new CallBudgets(() => ({retries: 10, hedges: 10}));
		const hot = createCall('hot', 1);
		const small = createCall('small', 1);
		const others = Array.from({length: 8}, (_, i) => createCall(`other-${i}`, 1));
		earnAll(budgets, [hot, ...others], 1);
		countRetries(budgets, hot);
		earnAll(budgets, [small], 20);
		expect(countRetries(budgets, hot)).toBe(0);
		expect(countRetries(budgets, small)).toBeGreaterThan(1);
		earnAll(budgets, [hot], 4);
		expect(countRetries(budgets, hot)).toBe(2);
	});

	it('treats calls without a customer alike, whatever the priority of their route', () => {
		const budgets = new CallBudgets(() => bursts);
		expect(countRetries(budgets, createCall('', 7))).toBe(3);
		earnAll(budgets, [createCall('', 0)], 2);
		expect(countRetries(budgets, createCall('', 7))).toBe(1);
	});

	it('treats all calls alike where customers have no keys', () => {
		const budgets = new CallBudgets(() => ({retries: 10, hedges: 10}));
		const calls = Array.from({length: 9}, (_, i) => ({
			...createCall(`customer-${i}`, i),
			index: {hasCustomers: false},
		}));
		earnAll(budgets, calls, 1);
		expect(countRetries(budgets, calls[8]!)).toBe(10);
	});
});
