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

const spell: Millis = 500;
const slowness = 7;
const slowShare = 0.25;
const work: Millis = 120;
const slots = 9;
const objective: Millis = 400;
const timeout: Millis = 800;

/** Plays an overload of one backend server whose speed jumps, and counts answers in time. */
function playOverload(isHolding: boolean, seed: number): {inTime: number; arrived: number} {
	const clock = new ManualClock();
	const random = createRandom(seed);
	const spells = createRandom(seed + 1000);
	const speed = new BackendSpeed();
	const admission = new Admission(clock, {slots, queue: 40});
	let slowdown = 1;
	let inTime = 0;
	let arrived = 0;
	clock.repeat(spell, () => {
		slowdown = spells.next() < slowShare ? slowness : 1;
	});
	// Readings come with answers and probes; here every 40 ms.
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
		const ticket: AdmissionRequest = {
			customer: '',
			share: 1,
			priority: 0,
			work,
			objective: new Deadline(startedAt + objective),
			deadline: new Deadline(startedAt + timeout),
			canRetryElsewhere: false,
			startDelay() {
				const spellLeft = speed.slowPeriodLeft();
				const {lastSlowdown, isSlow} = speed;
				const isHeld =
					isSlow &&
					shouldDelayStart({
						work,
						slowdown: lastSlowdown,
						slowPeriodLeft: spellLeft,
						timeLeft: startedAt + timeout - clock.now(),
					});
				return isHolding && isHeld ? spellLeft : 0;
			},
			start() {
				clock.after(work * slowdown * (0.7 + 0.6 * random.next()), () => {
					admission.release(ticket, false);
					inTime += clock.now() - startedAt <= objective ? 1 : 0;
				});
			},
			refuse: () => undefined,
		};
		admission.submit(ticket);
	};

	const spacing = work / slots / 0.7;
	for (let at = 0; at < 60_000; at += spacing) {
		clock.after(at, arrive);
	}

	clock.advance(62_000);
	return {inTime, arrived};
}

describe('isWorthHolding', () => {
	it('holds long calls in a slow spell and lets short ones start', () => {
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

	it('starts nothing that cannot end in time at this speed', () => {
		expect(shouldDelayStart({work: 30, slowdown: 7, slowPeriodLeft: 250, timeLeft: 200})).toBe(
			true,
		);
	});

	it.each([1, 2, 3])('answers more callers in time at 70% load (seed %i)', (seed) => {
		const held = playOverload(true, seed);
		const started = playOverload(false, seed);
		expect(held.arrived).toBe(started.arrived);
		const lateWhenHeld = held.arrived - held.inTime;
		const lateWhenStarted = started.arrived - started.inTime;
		expect(lateWhenHeld).toBeLessThan(0.7 * lateWhenStarted);
	});
});

describe('Admission with held calls', () => {
	function createTicket(change: Partial<AdmissionRequest>): AdmissionRequest & {state: string} {
		const ticket = {
			customer: '',
			share: 1,
			priority: 0,
			work: 10,
			objective: new Deadline(1000),
			deadline: new Deadline(1000),
			canRetryElsewhere: false,
			state: 'waiting',
			start() {
				ticket.state = 'started';
			},
			refuse(reason: RefusalReason) {
				ticket.state = reason;
			},
			...change,
		};
		return ticket;
	}

	it('keeps a held call back from a free slot until the spell has ended', () => {
		let isSlow = true;
		const admission = new Admission(new ManualClock(), {slots: 2, queue: 5});
		const held = createTicket({startDelay: () => (isSlow ? 100 : 0)});
		const short = createTicket({startDelay: () => 0});
		admission.submit(held);
		admission.submit(short);
		expect([held.state, short.state]).toEqual(['waiting', 'started']);
		isSlow = false;
		admission.dispatch();
		expect(held.state).toBe('started');
	});

	it('refuses a held call as soon as it cannot be served, not when its time is over', () => {
		const clock = new ManualClock();
		const admission = new Admission(clock, {slots: 2, queue: 5});
		const held = createTicket({startDelay: () => 250, work: 100});
		admission.submit(held);
		clock.advance(600);
		admission.sweep();
		expect(held.state).toBe('waiting');
		clock.advance(100);
		admission.sweep();
		expect(held.state).toBe(RefusalReason.DeadlineTooShort);
	});

	it('tells a call that can go elsewhere that the backend server is slow', () => {
		const admission = new Admission(new ManualClock(), {slots: 2, queue: 5});
		const ticket = createTicket({startDelay: () => 100, canRetryElsewhere: true});
		admission.submit(ticket);
		expect(ticket.state).toBe(RefusalReason.BackendSlow);
	});
});

describe('compareUrgency', () => {
	const place = (priority: number, objectiveAt: Millis, deadlineAt: Millis, length = 100) => ({
		priority,
		work: length,
		objective: new Deadline(objectiveAt),
		deadline: new Deadline(deadlineAt),
	});

	it('puts late calls behind those that can still be in time, whatever their rank', () => {
		const late = place(0, 50, 900);
		const fresh = place(2, 500, 900);
		expect(compareUrgency(fresh, late, 0)).toBeLessThan(0);
	});

	it('puts a short call that others wait for before a long one of its rank', () => {
		const inner = place(1, 150, 250, 20);
		const long = place(1, 300, 900, 120);
		expect(compareUrgency(inner, long, 0)).toBeLessThan(0);
	});

	it('orders by rank, then by objective; late ones by deadline', () => {
		expect(compareUrgency(place(0, 500, 900), place(1, 300, 900), 0)).toBeLessThan(0);
		expect(compareUrgency(place(1, 300, 900), place(1, 500, 900), 0)).toBeLessThan(0);
		expect(compareUrgency(place(1, 10, 400), place(1, 5, 900), 0)).toBeLessThan(0);
	});
});
