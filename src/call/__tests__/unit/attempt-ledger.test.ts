import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {AttemptLedger, AttemptState} from '../../index.js';

const instance = 'peer-1';

describe('AttemptLedger', () => {
	it('fences an attempt that is queried before it arrives', () => {
		const ledger = new AttemptLedger();
		expect(ledger.queryAndFence({instance, sequence: 7}, 0)).toBe(AttemptState.Fenced);
		expect(ledger.admit({instance, sequence: 7}, 1)).toBe(false);
	});

	it('does not let an admitted attempt be written once it has been queried', () => {
		const ledger = new AttemptLedger();
		ledger.admit({instance, sequence: 1}, 0);
		expect(ledger.queryAndFence({instance, sequence: 1}, 1)).toBe(AttemptState.Fenced);
		expect(ledger.markRan({instance, sequence: 1})).toBe(false);
	});

	it('reports that an attempt ran', () => {
		const ledger = new AttemptLedger();
		ledger.admit({instance, sequence: 1}, 0);
		expect(ledger.markRan({instance, sequence: 1})).toBe(true);
		expect(ledger.queryAndFence({instance, sequence: 1}, 1)).toBe(AttemptState.Ran);
	});

	it('refuses an attempt whose record has expired', () => {
		const ledger = new AttemptLedger();
		ledger.admit({instance, sequence: 5}, 0);
		ledger.markRan({instance, sequence: 5});
		ledger.expire(10 * 60_000);
		expect(ledger.queryAndFence({instance, sequence: 5}, 10 * 60_000)).toBe(AttemptState.Forgotten);
		expect(ledger.admit({instance, sequence: 5}, 10 * 60_000)).toBe(false);
	});

	it('never lets an attempt run twice, or run after it was reported as not run', () => {
		const step = fc.record({
			kind: fc.constantFrom('admit', 'run', 'ask', 'expire'),
			sequence: fc.integer({min: 0, max: 5}),
			pause: fc.integer({min: 0, max: 100_000}),
		});
		fc.assert(
			fc.property(fc.array(step, {maxLength: 60}), (steps) => {
				const ledger = new AttemptLedger();
				const ran = new Set<number>();
				const notRun = new Set<number>();
				let now = 0;
				for (const {kind, sequence, pause} of steps) {
					const id = {instance, sequence};
					now += pause;
					if (kind === 'admit') {
						ledger.admit(id, now);
					} else if (kind === 'run' && ledger.markRan(id)) {
						expect(ran.has(sequence)).toBe(false);
						expect(notRun.has(sequence)).toBe(false);
						ran.add(sequence);
					} else if (kind === 'ask') {
						const state = ledger.queryAndFence(id, now);
						if (state === AttemptState.Fenced) {
							expect(ran.has(sequence)).toBe(false);
							notRun.add(sequence);
						}
					} else if (kind === 'expire') {
						ledger.expire(now);
					}
				}
			}),
			{seed: 20_261_204, numRuns: 500},
		);
	});
});
