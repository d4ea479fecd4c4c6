import {describe, expect, it} from 'vitest';
import {Deadline} from '../../../call/index.js';
import {ManualClock, type Millis} from '../../../clock/index.js';
import {createRandom} from '../../../random/index.js';
import {Admission, BackendSpeed, type AdmissionRequest} from '../../index.js';

const slots = 10;
const work: Millis = 95;
const coldSlowdown = 2;
const coldPeriod: Millis = 3000;
const objective: Millis = 300;
const timeout: Millis = 1000;
/** Throughput of a warm backend server. */
const arrivalsPerMs = slots / work;
/** Calls that were held up by an outage and all arrive at once. */
const backlog = 60;

/** Simulates a backend server that starts with a backlog; returns the number of answers in time. */
function simulateColdStart(isBaselineKnown: boolean, seed: number): number {
	const clock = new ManualClock();
	const random = createRandom(seed);
	const speed = new BackendSpeed();
	const admission = new Admission(clock, {slots, queue: 40});
	const slowdown = () => (clock.now() < coldPeriod ? coldSlowdown : 1);
	let inTime = 0;
	speed.addReading(slowdown(), clock.now());
	clock.repeat(40, () => {
		speed.addReading(slowdown(), clock.now());
	});
	clock.repeat(10, () => {
		admission.sweep();
	});
	const arrive = () => {
		const startedAt = clock.now();
		const request: AdmissionRequest = {
			customer: '',
			share: 1,
			priority: 0,
			work: work * (isBaselineKnown ? speed.baseline : 1),
			objective: new Deadline(startedAt + objective),
			deadline: new Deadline(startedAt + timeout),
			canRetryElsewhere: false,
			start() {
				clock.after(work * (0.7 + 0.6 * random.next()) * slowdown(), () => {
					inTime += clock.now() - startedAt <= objective ? 1 : 0;
					admission.release(request, false);
				});
			},
			refuse: () => undefined,
		};
		admission.submit(request);
	};

	for (let i = 0; i < backlog; i++) {
		arrive();
	}

	const scheduleArrival = () => {
		clock.after(-Math.log(1 - random.next()) / arrivalsPerMs, () => {
			arrive();
			scheduleArrival();
		});
	};

	scheduleArrival();
	clock.advance(coldPeriod);
	return inTime;
}

describe('Admission at a cold backend server with a backlog', () => {
	it.each([1, 2, 3, 4])(
		'answers 90 % of what the cold slots can serve in time, more than with the estimate of a warm one (seed %i)',
		(seed) => {
			const inTime = simulateColdStart(true, seed);
			const capacity = (slots * coldPeriod) / (work * coldSlowdown);
			expect(inTime).toBeGreaterThanOrEqual(0.9 * capacity);
			expect(inTime).toBeGreaterThan(simulateColdStart(false, seed));
		},
	);
});

describe('BackendSpeed', () => {
	it('distinguishes a slow period from a permanently slow backend server', () => {
		const speed = new BackendSpeed();
		speed.addReading(8, 0);
		for (let now = 100; now <= 1000; now += 100) {
			speed.addReading(2.05, now);
		}

		expect(speed.isSlow).toBe(false);
		expect(speed.baseline).toBeCloseTo(2.05);
		speed.addReading(8, 1100);
		expect(speed.isSlow).toBe(true);
		expect(speed.baseline).toBeCloseTo(2.05);
		speed.addReading(1, 1200);
		expect(speed.isSlow).toBe(false);
		expect(speed.baseline).toBe(1);
		speed.addReading(4, 1300);
		expect(speed.isSlow).toBe(true);
	});

	it('treats a slowdown as permanent once it exceeds the baseline window', () => {
		const speed = new BackendSpeed();
		for (let now = 0; now <= 1200; now += 100) {
			speed.addReading(1, now);
		}

		for (let now = 1300; now <= 2300; now += 100) {
			speed.addReading(5, now);
			expect(speed.isSlow).toBe(true);
		}

		for (let now = 2400; now <= 2600; now += 100) {
			speed.addReading(5, now);
		}

		expect(speed.isSlow).toBe(false);
	});
});
