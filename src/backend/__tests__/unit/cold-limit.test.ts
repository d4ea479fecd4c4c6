import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {EventClock} from '../../../../bench/event-clock.js';
import {Deadline, RefusalReason} from '../../../call/index.js';
import {ManualClock, second, type Millis} from '../../../clock/index.js';
import {createRandom} from '../../../random/index.js';
import {
	Admission,
	ColdLimit,
	CombinedStartLimit,
	RateLimit,
	type AdmissionRequest,
} from '../../index.js';

const allowance = {overage: 1.5, slack: 8};
const coldRate = 8.4;
/** 8.4 x 1.5 + 8, rounded down. */
const max = 20;
/** Time in which the limit allows `max` requests. */
const windowLength: Millis = 1.2 * second;
const sweepInterval: Millis = 20;
const timeout: Millis = 3 * second;
const objective: Millis = 0.8 * second;

interface Load {
	readonly perSecond: number;
	readonly work: Millis;
	readonly slots: number;
	/** Share of the calls that have the highest priority. */
	readonly urgentShare: number;
	readonly seed: number;
}

interface Ended {
	readonly priority: number;
	readonly arrivedAt: Millis;
	/** Time at which the call started; undefined if it was refused. */
	readonly startedAt: Millis | undefined;
	readonly endedAt: Millis;
	readonly reason: RefusalReason | undefined;
}

/**
 * Offers calls to a backend server. Its reports are changed by `act`, and each request is written up to
 * 20 ms after its call got a slot.
 */
function simulate(
	load: Load,
	duration: Millis,
	act: (limit: ColdLimit, clock: EventClock) => void,
): {sent: Millis[]; ended: Ended[]} {
	const clock = new EventClock();
	const random = createRandom(load.seed);
	const limit = new ColdLimit(clock, allowance, false);
	limit.setRate(coldRate);
	const combined = new CombinedStartLimit([new RateLimit(clock), limit]);
	const admission = new Admission(clock, {slots: load.slots, queue: 40}, undefined, combined);
	const sent: Millis[] = [];
	const ended: Ended[] = [];
	act(limit, clock);
	clock.repeat(sweepInterval, () => {
		admission.dispatch();
	});
	const arrive = () => {
		const arrivedAt = clock.now();
		const priority = random.next() < load.urgentShare ? 0 : 1;
		const request: AdmissionRequest = {
			customer: '',
			share: 1,
			priority,
			work: load.work,
			objective: new Deadline(arrivedAt + objective),
			deadline: new Deadline(arrivedAt + timeout),
			canRetryElsewhere: false,
			start() {
				const startedAt = clock.now();
				clock.after(20 * random.next(), () => {
					const isSent = limit.maySend();
					if (isSent) {
						sent.push(limit.recordSent());
					} else {
						limit.recordUnsent();
					}

					const ran = isSent ? load.work * (0.6 + 0.8 * random.next()) : 0;
					clock.after(ran, () => {
						admission.release(request, false);
						const reason = isSent ? undefined : RefusalReason.BackendCold;
						ended.push({priority, arrivedAt, startedAt, endedAt: clock.now(), reason});
					});
				});
			},
			refuse(reason) {
				ended.push({priority, arrivedAt, startedAt: undefined, endedAt: clock.now(), reason});
			},
		};
		admission.submit(request);
		clock.after((-Math.log(1 - random.next()) * second) / load.perSecond, arrive);
	};

	arrive();
	clock.runUntil(duration);
	return {sent, ended};
}

function busiestSecond(times: readonly Millis[]): number {
	return Math.max(
		0,
		...times.map((from) => times.filter((at) => at >= from && at < from + second).length),
	);
}

describe('ColdLimit', () => {
	it('sends a cold backend server no more requests in any second than it may get, and nearly as many', () => {
		fc.assert(
			fc.property(
				fc.integer({min: 5, max: 400}),
				fc.integer({min: 5, max: 400}),
				fc.integer({min: 1, max: 50}),
				fc.integer(),
				(perSecond, work, slots, seed) => {
					const load = {perSecond, work, slots, urgentShare: 0.3, seed};
					const {sent} = simulate(load, 12 * second, (limit) => {
						limit.record(60 * second, 0);
					});
					expect(busiestSecond(sent)).toBeLessThanOrEqual(max);
					const capacity = Math.min(
						perSecond,
						(max / windowLength) * second,
						(slots / (work + 10)) * second,
					);
					expect(sent.length).toBeGreaterThan(0.7 * capacity * 12 - 12);
				},
			),
			{numRuns: 30},
		);
	});

	it('counts the requests from before the backend server became cold', () => {
		const becomesColdAt = 2500;
		fc.assert(
			fc.property(fc.integer(), (seed) => {
				const load = {perSecond: 120, work: 30, slots: 9, urgentShare: 0.3, seed};
				const {sent} = simulate(load, 6 * second, (limit, clock) => {
					limit.record(0, 0);
					clock.after(becomesColdAt, () => {
						limit.record(60 * second, clock.now());
					});
				});
				expect(busiestSecond(sent.filter((at) => at < becomesColdAt))).toBeGreaterThan(2 * max);
				// The second before held more than the limit allows, so that nothing is sent for a while.
				expect(sent.filter((at) => at >= becomesColdAt && at < becomesColdAt + 800)).toEqual([]);
				expect(busiestSecond(sent.filter((at) => at >= becomesColdAt))).toBeLessThanOrEqual(max);
			}),
			{numRuns: 10},
		);
	});

	it.each([1, 2, 3])(
		'serves the most valuable calls first while it is short of starts (seed %i)',
		(seed) => {
			const load = {perSecond: 60, work: 100, slots: 9, urgentShare: 0.15, seed};
			const {ended} = simulate(load, 20 * second, (limit) => {
				limit.record(60 * second, 0);
			});
			const urgent = ended.filter(({priority}) => priority === 0);
			const inTime = urgent.filter(
				({reason, arrivedAt, endedAt}) => !reason && endedAt - arrivedAt <= objective,
			);
			expect(inTime.length / urgent.length).toBeGreaterThan(0.97);
			const others = ended.filter(({priority}) => priority === 1);
			expect(others.filter(({reason}) => reason !== undefined).length).toBeGreaterThan(
				others.length / 2,
			);
			const served = ended.filter(({reason}) => reason === undefined);
			expect(served.length).toBeGreaterThan(0.95 * (max / windowLength) * 20 * second);
		},
	);

	it('refuses at once, with its own reason, most of the calls that would start too late', () => {
		const load = {perSecond: 100, work: 100, slots: 9, urgentShare: 0, seed: 5};
		const {ended} = simulate(load, 20 * second, (limit) => {
			limit.record(60 * second, 0);
		});
		const refused = ended.filter(({startedAt}) => startedAt === undefined);
		const atOnce = refused.filter(({arrivedAt, endedAt}) => endedAt === arrivedAt);
		expect(refused.length).toBeGreaterThan(ended.length / 2);
		expect(atOnce.length / refused.length).toBeGreaterThan(0.9);
		const cold = atOnce.filter(({reason}) => reason === RefusalReason.BackendCold);
		expect(cold.length / atOnce.length).toBeGreaterThan(0.9);
	});

	it('does not limit a service without a cold rate, nor a warm backend server', () => {
		const limit = new ColdLimit(new ManualClock(1000), allowance, false);
		expect(limit.untilStart(1000)).toBe(0);
		expect(limit.rate).toBeUndefined();
		limit.setRate(coldRate);
		expect(limit.max).toBe(max);
		expect(limit.untilStart(1000)).toBeGreaterThan(0);
		limit.record(0, 1000);
		expect(limit.untilStart(1000)).toBe(0);
		expect(limit.max).toBeUndefined();
	});

	it('sends nothing in the first second after a restart of the node unless the backend server is warm', () => {
		const clock = new ManualClock(1000);
		const limit = new ColdLimit(clock, allowance, true);
		limit.setRate(coldRate);
		limit.record(5 * second, 1000);
		expect(limit.untilStart()).toBeGreaterThanOrEqual(second);
		expect(limit.maySend()).toBe(false);
		limit.record(0, 1000);
		expect(limit.untilStart()).toBe(0);
		expect(limit.maySend()).toBe(true);
		limit.record(5 * second, 1000);
		clock.advance(windowLength);
		expect(limit.untilStart()).toBe(0);
		expect(limit.maySend()).toBe(true);
	});

	it('allows one request per window where the rate is below that', () => {
		const clock = new ManualClock(1000);
		const limit = new ColdLimit(clock, {overage: 1, slack: 0}, false);
		limit.setRate(0.2);
		expect(limit.max).toBe(1);
		expect(limit.untilStart()).toBe(0);
	});

	it('names the limit that holds calls back longest', () => {
		const clock = new ManualClock(1000);
		const rateLimit = new RateLimit(clock);
		const cold = new ColdLimit(clock, allowance, false);
		const combined = new CombinedStartLimit([rateLimit, cold]);
		expect(combined.rate).toBeUndefined();
		expect(combined.lateRefusal).toBe(RefusalReason.DeadlineTooShort);
		cold.setRate(coldRate);
		for (let i = 0; i < max; i++) {
			combined.recordStart();
			cold.recordSent();
		}

		expect(combined.refusal).toBe(RefusalReason.BackendCold);
		expect(combined.lateRefusal).toBe(RefusalReason.BackendCold);
		rateLimit.recordAnswer(0, 1000);
		expect(combined.refusal).toBe(RefusalReason.RateLimited);
		expect(combined.rate).toBe(0);
	});
});
