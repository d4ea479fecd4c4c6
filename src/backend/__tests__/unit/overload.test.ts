import {describe, expect, it} from 'vitest';
import {Deadline} from '../../../call/index.js';
import {EventClock} from '../../../../bench/event-clock.js';
import {createRandom} from '../../../random/index.js';
import {Admission, type AdmissionRequest} from '../../index.js';

const slots = 10;
const queue = 40;
const serviceTime = 20;
const timeout = 300;
const length = 20_000;

interface Load {
	/** Arrivals as a factor of what the slots can serve. */
	readonly factor: number;
	readonly customer: string;
}

/** @returns calls that were answered in time, by customer. */
function run(loads: readonly Load[]): Map<string, number> {
	const clock = new EventClock();
	const admission = new Admission(clock, {slots, queue});
	const random = createRandom(20_261_204);
	const good = new Map<string, number>();
	const capacity = slots / serviceTime;
	clock.repeat(10, () => {
		admission.sweep();
	});
	for (const {factor, customer} of loads) {
		const arrive = () => {
			const startedAt = clock.now();
			const time = serviceTime * (0.5 + random.next());
			const ticket: AdmissionRequest = {
				customer,
				share: 1,
				deadline: new Deadline(startedAt + timeout),
				objective: new Deadline(startedAt + timeout),
				priority: 0,
				work: serviceTime,
				canRetryElsewhere: false,
				start() {
					clock.after(time, () => {
						admission.release(ticket, false);
						if (clock.now() - startedAt <= timeout) {
							good.set(customer, (good.get(customer) ?? 0) + 1);
						}
					});
				},
				refuse: () => undefined,
			};
			admission.submit(ticket);
			clock.after(-Math.log(1 - random.next()) / (capacity * factor), arrive);
		};

		clock.after(0, arrive);
	}

	clock.runUntil(length);
	return good;
}

describe('Admission under overload', () => {
	it.each([2, 5])('keeps 90 in 100 of its capacity useful at %d times its load', (factor) => {
		const good = run([{factor, customer: 'a'}]);
		const capacity = (slots * length) / serviceTime;
		expect(good.get('a')!).toBeGreaterThanOrEqual(capacity * 0.9);
	});

	it('serves a quiet customer in full beside a flood of another', () => {
		const good = run([
			{factor: 5, customer: 'flood'},
			{factor: 0.2, customer: 'quiet'},
		]);
		const quiet = (0.2 * slots * length) / serviceTime;
		expect(good.get('quiet')!).toBeGreaterThanOrEqual(quiet * 0.9);
	});
});
