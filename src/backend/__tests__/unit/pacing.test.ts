import {describe, expect, it} from 'vitest';
import {Deadline, RefusalReason} from '../../../call/index.js';
import {ManualClock, type Millis} from '../../../clock/index.js';
import {createRandom} from '../../../random/index.js';
import {
	Admission,
	BackendSpeed,
	compareUrgency,
	shouldDelayStart,
	type AdmissionRequest,
} from '../../index.js';

const slowPeriod: Millis = 500;
const slowPeriodSlowdown = 7;
const slowShare = 0.25;
const work: Millis = 120;
const slots = 9;
const objective: Millis = 400;
const timeout: Millis = 800;

/** Simulates load on one backend server with random slow periods; counts arrivals and answers in time. */
function simulateSlowPeriods(isDelaying: boolean, seed: number): {inTime: number; arrived: number} {
	const clock = new ManualClock();
	const random = createRandom(seed);
	const slowPeriodRandom = createRandom(seed + 1000);
	const speed = new BackendSpeed();
	const admission = new Admission(clock, {slots, queue: 40});
	let slowdown = 1;
	let inTime = 0;
	let arrived = 0;
	clock.repeat(slowPeriod, () => {
		slowdown = slowPeriodRandom.next() < slowShare ? slowPeriodSlowdown : 1;
	});
	// Speed readings come with answers and probes, simulated here every 40 ms.
	clock.repeat(40, () => {
		speed.addReading(slowdown, clock.now());
		admission.dispatch();
	});
	clock.repeat(10, () => {
		admission.sweep();
	});
	const arrive = () => {
		arrived += 1;
		const startedAt = clock.now();
		const request: AdmissionRequest = {
			customer: '',
			share: 1,
			priority: 0,
			work,
			objective: new Deadline(startedAt + objective),
			deadline: new Deadline(startedAt + timeout),
			canRetryElsewhere: false,
			startDelay() {
				const slowPeriodLeft = speed.slowPeriodLeft();
				const {lastSlowdown, isSlow} = speed;
				const isDelayed =
					isSlow &&
					shouldDelayStart({
						work,
						slowdown: lastSlowdown,
						slowPeriodLeft,
						timeLeft: startedAt + timeout - clock.now(),
					});
				return isDelaying && isDelayed ? slowPeriodLeft : 0;
			},
			start() {
				clock.after(work * slowdown * (0.7 + 0.6 * random.next()), () => {
					admission.release(request, false);
					inTime += clock.now() - startedAt <= objective ? 1 : 0;
				});
			},
			refuse: () => undefined,
		};
		admission.submit(request);
	};

	const spacing = work / slots / 0.7;
	for (let at = 0; at < 60_000; at += spacing) {
		clock.after(at, arrive);
	}

	clock.advance(62_000);
	return {inTime, arrived};
}

describe('shouldDelayStart', () => {
	it('delays long calls in a slow period and starts short ones', () => {
		expect(shouldDelayStart({work: 120, slowdown: 7, slowPeriodLeft: 250, timeLeft: 800})).toBe(
			true,
		);
		expect(shouldDelayStart({work: 30, slowdown: 7, slowPeriodLeft: 250, timeLeft: 800})).toBe(
			false,
		);
		expect(shouldDelayStart({work: 120, slowdown: 1, slowPeriodLeft: 250, timeLeft: 800})).toBe(
			false,
		);
	});

	it('delays a call that would miss its deadline at the current speed', () => {
		expect(shouldDelayStart({work: 30, slowdown: 7, slowPeriodLeft: 250, timeLeft: 200})).toBe(
			true,
		);
	});

	it.each([1, 2, 3])(
		'answers more calls in time at 70 % load than without delays (seed %i)',
		(seed) => {
			const delayed = simulateSlowPeriods(true, seed);
			const started = simulateSlowPeriods(false, seed);
			expect(delayed.arrived).toBe(started.arrived);
			const lateWhenDelayed = delayed.arrived - delayed.inTime;
			const lateWhenStarted = started.arrived - started.inTime;
			expect(lateWhenDelayed).toBeLessThan(0.7 * lateWhenStarted);
		},
	);
});

describe('Admission with delayed calls', () => {
	function createRequest(change: Partial<AdmissionRequest>): AdmissionRequest & {state: string} {
		const request = {
			customer: '',
			share: 1,
			priority: 0,
			work: 10,
			objective: new Deadline(1000),
			deadline: new Deadline(1000),
			canRetryElsewhere: false,
			state: 'waiting',
			start() {
				request.state = 'started';
			},
			refuse(reason: RefusalReason) {
				request.state = reason;
			},
			...change,
		};
		return request;
	}

	it('does not start a call on a free slot until its delay has ended', () => {
		let isSlow = true;
		const admission = new Admission(new ManualClock(), {slots: 2, queue: 5});
		const delayed = createRequest({startDelay: () => (isSlow ? 100 : 0)});
		const short = createRequest({startDelay: () => 0});
		admission.submit(delayed);
		admission.submit(short);
		expect([delayed.state, short.state]).toEqual(['waiting', 'started']);
		isSlow = false;
		admission.dispatch();
		expect(delayed.state).toBe('started');
	});

	it('refuses a call with a start delay once it can no longer be served, before its deadline', () => {
		const clock = new ManualClock();
		const admission = new Admission(clock, {slots: 2, queue: 5});
		const delayed = createRequest({startDelay: () => 250, work: 100});
		admission.submit(delayed);
		clock.advance(600);
		admission.sweep();
		expect(delayed.state).toBe('waiting');
		clock.advance(100);
		admission.sweep();
		expect(delayed.state).toBe(RefusalReason.DeadlineTooShort);
	});

	it('refuses a call that can be retried elsewhere because the backend server is slow', () => {
		const admission = new Admission(new ManualClock(), {slots: 2, queue: 5});
		const request = createRequest({startDelay: () => 100, canRetryElsewhere: true});
		admission.submit(request);
		expect(request.state).toBe(RefusalReason.BackendSlow);
	});
});

describe('compareUrgency', () => {
	const place = (priority: number, objectiveAt: Millis, deadlineAt: Millis, length = 100) => ({
		priority,
		work: length,
		objective: new Deadline(objectiveAt),
		deadline: new Deadline(deadlineAt),
	});

	it('puts late calls behind calls that can still meet their objective, regardless of priority', () => {
		const late = place(0, 50, 900);
		const fresh = place(2, 500, 900);
		expect(compareUrgency(fresh, late, 0)).toBeLessThan(0);
	});

	it('puts a short nested call before a long call of the same priority', () => {
		const inner = place(1, 150, 250, 20);
		const long = place(1, 300, 900, 120);
		expect(compareUrgency(inner, long, 0)).toBeLessThan(0);
	});

	it('orders by priority, then by objective; late calls by deadline', () => {
		expect(compareUrgency(place(0, 500, 900), place(1, 300, 900), 0)).toBeLessThan(0);
		expect(compareUrgency(place(1, 300, 900), place(1, 500, 900), 0)).toBeLessThan(0);
		expect(compareUrgency(place(1, 10, 400), place(1, 5, 900), 0)).toBeLessThan(0);
	});
});
