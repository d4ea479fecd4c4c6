import {describe, expect, it} from 'vitest';
import {EventClock} from '../../../../bench/event-clock.js';
import {Deadline} from '../../../call/index.js';
import type {Millis} from '../../../clock/index.js';
import {createRandom} from '../../../random/index.js';
import {Admission, type AdmissionRequest} from '../../index.js';

const queue = 40;
const runs = 600;
const sweepInterval: Millis = 20;

/** One backend server, and a load that exceeds its capacity throughout. */
interface Overload {
	readonly slots: number;
	/** Mean run time of a call. */
	readonly work: Millis;
	/** Arrival rate relative to the capacity. */
	readonly load: number;
	readonly objective: Millis;
	readonly timeout: Millis;
}

interface Outcome {
	/** Answers in time, relative to what the slots can serve. */
	readonly inTimeShare: number;
	/** Time until a call that did not run was refused, 90th percentile, relative to its objective. */
	readonly refusalTime: number;
}

function drawOverload(seed: number): Overload {
	const random = createRandom(seed);
	const work = 5 * 100 ** random.next();
	const objective = work * (2.5 + 2 * random.next());
	return {
		slots: Math.round(2 * 20 ** random.next()),
		work,
		load: 1.2 + 1.5 * random.next(),
		objective,
		timeout: objective * (3 + 2 * random.next()),
	};
}

function simulate(overload: Overload, seed: number): Outcome {
	const {slots, work, load, objective, timeout} = overload;
	const clock = new EventClock();
	const random = createRandom(seed);
	const admission = new Admission(clock, {slots, queue});
	const duration = (runs * work) / slots + 10 * timeout;
	const refusalTimes: Millis[] = [];
	let inTime = 0;
	clock.repeat(sweepInterval, () => {
		admission.sweep();
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
				clock.after(work * (0.5 + random.next()), () => {
					inTime += clock.now() - startedAt <= objective ? 1 : 0;
					admission.release(request, false);
				});
			},
			refuse() {
				refusalTimes.push(clock.now() - startedAt);
			},
		};
		admission.submit(request);
		clock.after((-Math.log(1 - random.next()) * work) / slots / load, arrive);
	};

	arrive();
	clock.runUntil(duration);
	refusalTimes.sort((a, b) => a - b);
	const percentile = refusalTimes[Math.floor(refusalTimes.length * 0.9)] ?? 0;
	return {
		inTimeShare: inTime / ((duration * slots) / work),
		refusalTime: percentile / objective,
	};
}

describe('Admission under a load that exceeds the capacity throughout', () => {
	it.each([1, 2, 3, 4, 5, 6, 7, 8, 9, 10])(
		'answers 90 % of what the slots can serve in time, and refuses the rest before it is late (seed %i)',
		(seed) => {
			const {inTimeShare, refusalTime} = simulate(drawOverload(seed), seed + 100);
			expect(inTimeShare).toBeGreaterThanOrEqual(0.9);
			expect(refusalTime).toBeLessThanOrEqual(1);
		},
	);
});
