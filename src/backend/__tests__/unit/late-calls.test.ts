import {describe, expect, it} from 'vitest';
import {EventClock} from '../../../../bench/event-clock.js';
import {Deadline, type RefusalReason} from '../../../call/index.js';
import {ManualClock, type Millis} from '../../../clock/index.js';
import {Mechanism} from '../../../experiment/index.js';
import {createRandom} from '../../../random/index.js';
import {Admission, type AdmissionRequest} from '../../index.js';

const slots = 10;
const work: Millis = 200;
const objective: Millis = 250;
const timeout: Millis = 1000;
const load = 1.5;
const duration: Millis = 20_000;

/**
 * Simulates a server whose calls take most of their objective, so that a call that waits for a slot is late.
 * Without slots kept free for the next call, every call waits behind late ones.
 */
function simulateTightObjective(disabled: ReadonlySet<Mechanism>, seed: number): number {
	const clock = new EventClock();
	const random = createRandom(seed);
	const admission = new Admission(clock, {slots, queue: 40}, disabled);
	let inTime = 0;
	clock.repeat(20, () => {
		admission.dispatch();
	});
	const arrive = () => {
		const startedAt = clock.now();
		const request: AdmissionRequest = {
			customer: '',
			share: 1,
			priority: 0,
			work,
			objective: new Deadline(startedAt + objective),
			deadline: new Deadline(startedAt + timeout),
			canRetryElsewhere: false,
			start() {
				clock.after(work * (0.7 + 0.6 * random.next()), () => {
					inTime += clock.now() - startedAt <= objective ? 1 : 0;
					admission.release(request, false);
				});
			},
			refuse: () => undefined,
		};
		admission.submit(request);
		clock.after((-Math.log(1 - random.next()) * work) / slots / load, arrive);
	};

	arrive();
	clock.runUntil(duration);
	return inTime / ((duration * slots) / work);
}

describe('Admission of late calls', () => {
	it.each([1, 2, 3, 4])(
		'leaves the slots to calls that can be in time when objectives are tight (seed %i)',
		(seed) => {
			const inTime = simulateTightObjective(new Set(), seed);
			const withoutReserve = simulateTightObjective(new Set([Mechanism.LateReserve]), seed);
			expect(inTime).toBeGreaterThanOrEqual(0.6);
			expect(inTime).toBeGreaterThanOrEqual(withoutReserve);
		},
	);

	it('starts a late call at once on a server that has no other work', () => {
		const admission = new Admission(new ManualClock(), {slots: 1, queue: 5});
		let state = 'waiting';
		admission.submit({
			customer: '',
			share: 1,
			priority: 0,
			work: 50,
			objective: new Deadline(10),
			deadline: new Deadline(500),
			canRetryElsewhere: false,
			start() {
				state = 'started';
			},
			refuse(reason: RefusalReason) {
				state = reason;
			},
		});
		expect(state).toBe('started');
	});
});
