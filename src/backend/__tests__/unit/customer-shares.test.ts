import {describe, expect, it} from 'vitest';
import {second} from '../../../clock/index.js';
import {Mechanism, noneDisabled, type DisabledMechanisms} from '../../../experiment/index.js';
import {Admission} from '../../index.js';
import {
	runCustomerTrial,
	sumOutcomes,
	trialLimits,
	type TrialCustomer,
	type TrialOutcome,
} from '../customer-trial.js';

/** Calls per second of one executor: nine slots, 200 ms a call. */
const executorRate = 45;
const smallCount = 79;

interface Scenario {
	readonly executors: number;
	/** Name of the customer that sends more than usual. */
	readonly hot: string;
	readonly factor: number;
	/** Whether the weights are the usual rates; otherwise all are equal. */
	readonly isWeighted?: boolean;
}

/** @returns customers that use 70 % of the capacity in all as usual; the hot one sends a multiple of that. */
function createCustomers({executors, hot, factor, isWeighted = true}: Scenario): TrialCustomer[] {
	const usual = 0.7 * executors * executorRate;
	const rates: Array<[name: string, rate: number]> = [
		['large', 0.2 * usual],
		['second', 0.1 * usual],
		['third', 0.1 * usual],
		['tiny', 1],
	];
	for (let i = 0; i < smallCount; i++) {
		rates.push([`small-${i}`, (0.6 * usual - 1) / smallCount]);
	}

	return rates.map(([name, rate]) => ({
		name,
		rate: name === hot ? rate * factor : rate,
		share: isWeighted ? rate : 1,
	}));
}

function run(
	scenario: Pick<Scenario, 'executors'> & {customers: readonly TrialCustomer[]; seed?: number},
	isShared = true,
	disabled: DisabledMechanisms = noneDisabled,
): Map<string, TrialOutcome> {
	return runCustomerTrial({
		seed: 7,
		...scenario,
		isShared,
		warmUp: 5 * second,
		duration: 45 * second,
		createAdmission: (clock) => new Admission(clock, trialLimits, disabled),
	});
}

function shareInTime({inTime, sent}: TrialOutcome): number {
	return inTime / sent;
}

/** @returns the sum of all customers but one, and the worst of them by the share of its calls that are served. */
function othersOf(outcomes: ReadonlyMap<string, TrialOutcome>, hot: string) {
	const others = [...outcomes].filter(([name]) => name !== hot).map(([, outcome]) => outcome);
	const worst = Math.min(...others.map(({served, sent}) => served / sent));
	return {sum: sumOutcomes(others), worst};
}

describe('customers that compete for slots', () => {
	it.each<Scenario>([
		{executors: 4, hot: 'large', factor: 5},
		{executors: 4, hot: 'large', factor: 7},
		{executors: 12, hot: 'large', factor: 7},
		{executors: 12, hot: 'third', factor: 7},
		{executors: 12, hot: 'large', factor: 7, isWeighted: false},
		{executors: 40, hot: 'large', factor: 6},
	])('keep their service while one sends more than usual: %o', (scenario) => {
		const outcomes = run({...scenario, customers: createCustomers(scenario)});
		const {sum, worst} = othersOf(outcomes, scenario.hot);
		expect(shareInTime(sum)).toBeGreaterThan(0.99);
		expect(worst).toBeGreaterThan(0.95);
		expect(shareInTime(outcomes.get('tiny')!)).toBeGreaterThan(0.95);
	});

	it('give the hot customer the capacity that the others leave, and refuse the rest on arrival', () => {
		const scenario: Scenario = {executors: 12, hot: 'large', factor: 7};
		const outcomes = run({...scenario, customers: createCustomers(scenario)});
		const all = sumOutcomes(outcomes.values());
		const capacity = 12 * executorRate * 40;
		expect(all.served).toBeGreaterThan(0.95 * capacity);
		expect(all.refusedLate / all.sent).toBeLessThan(0.02);
		const overall = all.served / all.sent;
		for (const {served, sent} of outcomes.values()) {
			expect(served / sent).toBeGreaterThan(overall / 4);
		}
	});

	it('leave the whole capacity to one that is alone', () => {
		const customers = [{name: 'alone', rate: 4 * executorRate * 1.5, share: 1}];
		const outcomes = run({executors: 4, customers});
		expect(outcomes.get('alone')!.served).toBeGreaterThan(0.95 * 4 * executorRate * 40);
	});

	it('are served worse by first-in-first-out order and by urgency alone', () => {
		const scenario: Scenario = {executors: 12, hot: 'large', factor: 7};
		const customers = createCustomers(scenario);
		const othersInTime = (outcomes: ReadonlyMap<string, TrialOutcome>) =>
			shareInTime(othersOf(outcomes, scenario.hot).sum);
		// All calls have the same objective, so that without the order for overload the first one goes first.
		const firstInFirstOut = new Set([Mechanism.OverloadOrder]);
		expect(othersInTime(run({...scenario, customers}, false, firstInFirstOut))).toBeLessThan(0.8);
		expect(othersInTime(run({...scenario, customers}, false))).toBeLessThan(0.8);
		expect(othersInTime(run({...scenario, customers}))).toBeGreaterThan(0.99);
	});

	it('do not take slots from nested calls, even if these need more than half of the capacity', () => {
		const customers: TrialCustomer[] = [
			{name: 'hot', rate: 4 * executorRate * 2, share: 100},
			{
				name: 'nested',
				rate: 4 * executorRate * 4 * 0.6,
				share: 100,
				isNested: true,
				work: 50,
				objective: 184,
				timeout: 736,
			},
		];
		// Running calls keep their slots, so that some of the bursts of short calls are late.
		const outcomes = run({executors: 4, customers});
		expect(shareInTime(outcomes.get('nested')!)).toBeGreaterThan(0.95);
	});

	it('are served by priority first, and refused in the opposite order', () => {
		const rate = 4 * executorRate * 0.6;
		const customers: TrialCustomer[] = [
			{name: 'urgent', rate, share: 1, priority: 0},
			{name: 'usual', rate, share: 1000, priority: 1},
			{name: 'least', rate, share: 1000, priority: 2},
		];
		const outcomes = run({executors: 4, customers});
		const [usual, least] = [outcomes.get('usual')!, outcomes.get('least')!];
		expect(shareInTime(outcomes.get('urgent')!)).toBeGreaterThan(0.98);
		expect(shareInTime(usual)).toBeGreaterThan(shareInTime(least) + 0.15);
		const all = sumOutcomes(outcomes.values());
		expect(all.refusedLate / all.sent).toBeLessThan(0.08);
	});

	it.each([
		['three priorities compete', [0.6, 0.6, 0.6]],
		['the most urgent one is hot', [1.8, 0.1, 0.1]],
		['one sends a request a second', [1.8, 0.1, 1 / 4 / executorRate]],
	])('are all served a quarter as often as all together while %s', (_name, loads) => {
		const customers = loads.map((load, priority) => ({
			name: `priority-${priority}`,
			rate: 4 * executorRate * load,
			share: priority === 0 ? 100 : 1,
			priority,
		}));
		const outcomes = run({executors: 4, customers});
		const all = sumOutcomes(outcomes.values());
		for (const {served, sent} of outcomes.values()) {
			expect(served / sent).toBeGreaterThan(all.served / all.sent / 4);
		}
	});
});
