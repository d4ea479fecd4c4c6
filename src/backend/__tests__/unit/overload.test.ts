import {describe, expect, it} from 'vitest';
import {Deadline} from '../../../call/index.js';
import {EventClock} from '../../../../bench/event-clock.js';
import {createRandom} from '../../../random/index.js';
import {Admission, type AdmissionRequest} from '../../index.js';

const slots = 10;
const queue = 40;
const serviceTime = 20;
const timeout = 300;
const duration = 20_000;

interface Load {
	/** Arrival rate relative to the capacity of the slots. */
	readonly factor: number;
	readonly customer: string;
}

/** @returns the number of calls answered in time, by customer. */
function simulate(loads: readonly Load[]): Map<string, number> {
	const clock = new EventClock();
	const admission = new Admission(clock, {slots, queue});
	const random = createRandom(20_261_204);
	const inTime = new Map<string, number>();
	const capacity = slots / serviceTime;
	clock.repeat(10, () => {
		admission.sweep();
	});
	for (const {factor, customer} of loads) {
		const arrive = () => {
			const startedAt = clock.now();
			const time = serviceTime * (0.5 + random.next());
			const request: AdmissionRequest = {
				customer,
				share: 1,
				deadline: new Deadline(startedAt + timeout),
				objective: new Deadline(startedAt + timeout),
				priority: 0,
				work: serviceTime,
				canRetryElsewhere: false,
				start() {
					clock.after(time, () => {
						admission.release(request, false);
						if (clock.now() - startedAt <= timeout) {
							inTime.set(customer, (inTime.get(customer) ?? 0) + 1);
						}
					});
				},
				refuse: () => undefined,
			};
			admission.submit(request);
			clock.after(-Math.log(1 - random.next()) / (capacity * factor), arrive);
		};

		clock.after(0, arrive);
	}

	clock.runUntil(duration);
	return inTime;
}

describe('Admission under overload', () => {
	it.each([2, 5])(
		'serves at least 90 % of its capacity in time under %d times that load',
		(factor) => {
			const inTime = simulate([{factor, customer: 'a'}]);
			const capacity = (slots * duration) / serviceTime;
			expect(inTime.get('a')!).toBeGreaterThanOrEqual(capacity * 0.9);
		},
	);

	it('serves at least 90 % of the calls of a light customer while another floods the queue', () => {
		const inTime = simulate([
			{factor: 5, customer: 'flood'},
			{factor: 0.2, customer: 'quiet'},
		]);
		const quiet = (0.2 * slots * duration) / serviceTime;
		expect(inTime.get('quiet')!).toBeGreaterThanOrEqual(quiet * 0.9);
	});
});
