import {describe, expect, it} from 'vitest';
import {Outcome, RefusalReason} from '../../../call/index.js';
import {ManualClock} from '../../../clock/index.js';
import {Metrics} from '../../../telemetry/index.js';
import type {CallParameters} from '../../caller-protocol.js';
import {CustomerUsage} from '../../customer-usage.js';
import {fairLevel} from '../../fair-level.js';

function createParameters(customer: string, share = 1, priority = 0): CallParameters {
	return {policy: {customer, share}, origin: {priority}} as unknown as CallParameters;
}

/** Lets calls of customers in until each is refused; counts those that were let in. */
class Callers {
	readonly entered = new Map<string, object[]>();
	total = 0;

	constructor(private readonly usage: CustomerUsage) {}

	send(parameters: CallParameters, count: number): number {
		let accepted = 0;
		for (let i = 0; i < count; i++) {
			const call = {};
			try {
				this.usage.enter(call, parameters, this.total + 1);
			} catch {
				continue;
			}

			const {customer} = parameters.policy;
			this.entered.set(customer, [...(this.entered.get(customer) ?? []), call]);
			this.total += 1;
			accepted += 1;
		}

		return accepted;
	}
}

describe('CustomerUsage', () => {
	it('lets one customer use all that the others leave, and them have their shares later', () => {
		const metrics = new Metrics();
		const usage = new CustomerUsage(new ManualClock(), metrics, 100);
		const callers = new Callers(usage);
		expect(callers.send(createParameters('hot'), 500)).toBe(100);
		expect(callers.send(createParameters('small'), 10)).toBe(10);
		expect(callers.send(createParameters('heavy', 3), 60)).toBe(60);
		expect(callers.send(createParameters('hot'), 10)).toBe(0);
		expect(callers.send(createParameters('small'), 30)).toBeLessThan(30);
	});

	it('gives what urgent customers leave to the others, and refuses the least urgent first', () => {
		const usage = new CustomerUsage(new ManualClock(), new Metrics(), 100);
		const callers = new Callers(usage);
		callers.send(createParameters('least', 1, 2), 60);
		callers.send(createParameters('urgent', 1, 0.5), 60);
		expect(callers.send(createParameters('least', 1, 2), 10)).toBe(0);
		expect(callers.send(createParameters('urgent', 1, 0.5), 10)).toBe(10);
	});

	it('lets calls without a customer in', () => {
		const usage = new CustomerUsage(new ManualClock(), new Metrics(), 10);
		expect(new Callers(usage).send(createParameters(''), 50)).toBe(50);
		expect(usage.report()).toEqual([]);
	});

	it('reports use, refusals and age, and frees what ended calls have used', () => {
		const clock = new ManualClock();
		const usage = new CustomerUsage(clock, new Metrics(), 10);
		const call = {};
		usage.enter(call, createParameters('a', 2), 1);
		usage.recordRefused(call, RefusalReason.DeadlineTooShort);
		expect(usage.report()[0]).toMatchObject({customer: 'a', weight: 2, inFlight: 1, received: 1});
		usage.leave(call, Outcome.NotRun);
		clock.advance(5000);
		expect(usage.report()[0]).toMatchObject({
			inFlight: 0,
			age: 5000,
			refused: {'deadline-too-short': 1},
		});
	});

	it('keeps a bounded number of customers and of labels', async () => {
		const metrics = new Metrics();
		const clock = new ManualClock();
		const usage = new CustomerUsage(clock, metrics, 10);
		for (let i = 0; i < 3000; i++) {
			const call = {};
			clock.advance(1);
			usage.enter(call, createParameters(`customer-${i}`), 1);
			usage.leave(call, Outcome.Answered);
		}

		expect(usage.report().length).toBeLessThanOrEqual(2048);
		const {values} = await metrics.customerCalls.get();
		expect(values.length).toBe(101);
		expect(values.find(({labels}) => labels.customer === 'other')?.value).toBe(2900);
	});
});

describe('fairLevel', () => {
	it('divides by weight what the rivals with small demands leave', () => {
		const demands = [
			{demand: 10, weight: 1},
			{demand: 100, weight: 1},
			{demand: 100, weight: 2},
		];
		expect(fairLevel(demands, 100)).toBe(30);
		expect(fairLevel(demands, 210)).toBe(Number.POSITIVE_INFINITY);
		expect(fairLevel(demands, 0)).toBe(0);
	});
});
