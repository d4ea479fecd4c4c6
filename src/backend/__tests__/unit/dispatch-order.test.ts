import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {Deadline} from '../../../call/index.js';
import {DispatchOrder, FairShares, type OrderedCall} from '../../index.js';

const callArbitrary: fc.Arbitrary<OrderedCall> = fc.record({
	customer: fc.constantFrom('a', 'b', 'c'),
	share: fc.constantFrom(1, 5, 193),
	priority: fc.constantFrom(0, 1, 1.5, 2),
	objective: fc.integer({min: 0, max: 900}).map((at) => new Deadline(at)),
	deadline: fc.integer({min: 900, max: 3000}).map((at) => new Deadline(at)),
	work: fc.constantFrom(0, 50, 200),
	isNested: fc.constantFrom(undefined, undefined, true),
});

function createCall(customer: string, share = 1): OrderedCall {
	const [objective, deadline] = [new Deadline(1000), new Deadline(3000)];
	return {customer, share, priority: 0, objective, deadline, work: 100};
}

// The weight of a customer is the same in all its calls, and nested calls have no customer.
function normalize(call: OrderedCall): OrderedCall {
	const shares: Readonly<Record<string, number>> = {a: 1, b: 5, c: 193};
	return {...call, share: shares[call.customer]!, customer: call.isNested ? '' : call.customer};
}

describe('DispatchOrder', () => {
	it('is a consistent order for any calls and any use of the shares', () => {
		const calls = fc.array(callArbitrary, {minLength: 3, maxLength: 8});
		fc.assert(
			fc.property(fc.array(callArbitrary, {maxLength: 20}), calls, (started, queued) => {
				const order = new DispatchOrder();
				for (const call of started) {
					order.recordStart(normalize(call));
				}

				const [a, b, c] = queued.map((call) => normalize(call));
				const sign = (x: OrderedCall, y: OrderedCall) => Math.sign(order.compare(x, y, 300));
				expect(sign(a!, b!) + sign(b!, a!)).toBe(0);
				if (sign(a!, b!) <= 0 && sign(b!, c!) <= 0) {
					expect(sign(a!, c!)).toBeLessThanOrEqual(0);
				}
			}),
			{seed: 20_261_205, numRuns: 2000},
		);
	});

	it('counts as many calls ahead of a call as start before it', () => {
		const equalWork = fc.array(
			callArbitrary.map((call) => ({...normalize(call), work: 100})),
			{minLength: 1, maxLength: 30},
		);
		fc.assert(
			fc.property(equalWork, (calls) => {
				const order = new DispatchOrder();
				const [call, ...queue] = calls as [OrderedCall, ...OrderedCall[]];
				const expected = order.countAhead(call, queue, 300);
				const left = [...queue, call];
				let started = 0;
				for (;;) {
					let next = left[0]!;
					for (const other of left) {
						next = order.compare(other, next, 300) < 0 ? other : next;
					}

					if (next === call) {
						break;
					}

					left.splice(left.indexOf(next), 1);
					order.recordStart(next);
					started += 1;
				}

				// Calls with equal tags may start in either order, one for each other customer.
				expect(Math.abs(started - expected)).toBeLessThanOrEqual(2);
			}),
			{seed: 20_261_205, numRuns: 1000},
		);
	});

	it('evicts the call that would start last, but none of the same customer', () => {
		const order = new DispatchOrder();
		const hot = Array.from({length: 6}, () => createCall('hot'));
		const quiet = createCall('quiet');
		expect(order.findLast(quiet, hot, 0)).toBeDefined();
		expect(order.findLast(createCall('hot'), hot, 0)).toBeUndefined();
		expect(order.findLast(createCall('hot'), [...hot, quiet], 0)).toBeUndefined();
		const unimportant = {...createCall('least'), priority: 3};
		expect(order.findLast(quiet, [...hot, unimportant], 0)).toBe(unimportant);
	});
});

describe('FairShares', () => {
	it('remembers a bounded number of customers and forgets them when it is reset', () => {
		const shares = new FairShares();
		for (let i = 0; i < 20_000; i++) {
			shares.recordStart(createCall(`customer-${i}`));
			expect(shares.size).toBeLessThanOrEqual(512);
		}

		shares.reset();
		expect(shares.size).toBe(0);
	});

	it('gives starts by weight while all compete', () => {
		const shares = new FairShares();
		const calls = [createCall('a', 1), createCall('b', 2), createCall('c', 5)];
		const starts = new Map<string, number>();
		for (let i = 0; i < 8000; i++) {
			const next = calls.toSorted((x, y) => shares.startTag(x) - shares.startTag(y))[0]!;
			shares.recordStart(next);
			starts.set(next.customer, (starts.get(next.customer) ?? 0) + 1);
		}

		expect(starts.get('b')! / starts.get('a')!).toBeCloseTo(2, 0);
		expect(starts.get('c')! / starts.get('a')!).toBeCloseTo(5, 0);
	});

	it('stays finite for a weight of 0, which a peer may send', () => {
		const shares = new FairShares();
		shares.recordStart(createCall('zero', 0));
		shares.recordStart(createCall('one', 1));
		expect(Number.isFinite(shares.startTag(createCall('one', 1)))).toBe(true);
	});
});
