import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {EventClock} from '../../../../bench/event-clock.js';
import {Deadline, RefusalReason} from '../../../call/index.js';
import {ManualClock, second, type Millis} from '../../../clock/index.js';
import {createRandom} from '../../../random/index.js';
import {Admission, RateLimit, type AdmissionRequest} from '../../index.js';

const window: Millis = 4 * second;
const sweepInterval: Millis = 20;
const duration: Millis = 20 * second;
const timeout: Millis = second;

interface Trial {
	readonly starts: readonly Millis[];
	/** Time from arrival until a call started or was refused, in ms. */
	readonly waits: readonly Millis[];
	readonly refused: ReadonlySet<RefusalReason>;
}

/** Offers 50 calls of 60 ms a second to a backend server whose limit changes at each of its answers. */
function simulate(limits: readonly number[], seed: number): Trial {
	const clock = new EventClock();
	const random = createRandom(seed);
	const rateLimit = new RateLimit(clock);
	rateLimit.recordAnswer(limits[0], clock.now());
	const admission = new Admission(clock, {slots: 8, queue: 40}, undefined, rateLimit);
	const starts: Millis[] = [];
	const waits: Millis[] = [];
	const refused = new Set<RefusalReason>();
	clock.repeat(sweepInterval, () => {
		admission.dispatch();
	});
	const arrive = () => {
		const at = clock.now();
		const request: AdmissionRequest = {
			customer: '',
			share: 1,
			priority: 0,
			work: 60,
			objective: new Deadline(at + timeout / 2),
			deadline: new Deadline(at + timeout),
			canRetryElsewhere: random.next() < 0.3,
			start() {
				const startedAt = clock.now();
				starts.push(startedAt);
				waits.push(startedAt - at);
				clock.after(60 * (0.5 + random.next()), () => {
					rateLimit.recordAnswer(limits[starts.length % limits.length], startedAt);
					admission.release(request, false);
				});
			},
			refuse(reason) {
				refused.add(reason);
				waits.push(clock.now() - at);
			},
		};
		admission.submit(request);
		clock.after(-Math.log(1 - random.next()) * 20, arrive);
	};

	arrive();
	clock.runUntil(duration);
	return {starts, waits, refused};
}

function busiestWindow(starts: readonly Millis[]): number {
	return Math.max(
		0,
		...starts.map((from) => starts.filter((at) => at >= from && at < from + window).length),
	);
}

describe('RateLimit', () => {
	it('starts no more calls in any 4 s than the highest limit allows, and as many as the lowest one', () => {
		fc.assert(
			fc.property(
				fc.array(fc.double({min: 0.5, max: 40, noNaN: true}), {minLength: 1, maxLength: 3}),
				fc.integer(),
				(limits, seed) => {
					const {starts} = simulate(limits, seed);
					const seconds = window / second;
					expect(busiestWindow(starts)).toBeLessThanOrEqual(
						1.2 * Math.max(...limits) * seconds + 1,
					);
					const served = Math.min(...limits) * (duration / second);
					expect(starts.length).toBeGreaterThanOrEqual(0.85 * Math.min(served, 45 * 20) - 2);
				},
			),
			{numRuns: 40},
		);
	});

	it('refuses calls that the limit leaves no room for at once, and the queued ones before their deadline', () => {
		const {waits, refused} = simulate([5], 3);
		expect(Math.max(...waits)).toBeLessThan(timeout);
		expect(waits.filter((wait) => wait === 0).length / waits.length).toBeGreaterThan(0.7);
		expect([...refused]).toEqual(
			expect.arrayContaining([RefusalReason.RateLimited, RefusalReason.DeadlineTooShort]),
		);
	});

	it('is lifted only by the answer to a call that was sent after the limit was last named', () => {
		const clock = new ManualClock(1000);
		const rateLimit = new RateLimit(clock);
		const sentBefore = clock.now();
		clock.advance(10);
		expect(rateLimit.recordAnswer(2, sentBefore)).toBe(true);
		clock.advance(10);
		expect(rateLimit.recordAnswer(undefined, sentBefore)).toBe(false);
		expect(rateLimit.rate).toBe(2);
		const sentAfter = clock.now();
		clock.advance(10);
		expect(rateLimit.recordAnswer(undefined, sentAfter)).toBe(true);
		expect(rateLimit.untilStart(100)).toBe(0);
	});

	it('starts nothing while the limit is 0', () => {
		const clock = new ManualClock(1000);
		const rateLimit = new RateLimit(clock);
		rateLimit.recordAnswer(0, clock.now());
		clock.advance(100 * second);
		expect(rateLimit.untilStart()).toBe(Number.POSITIVE_INFINITY);
		rateLimit.recordAnswer(2, clock.now());
		clock.advance(0.5 * second);
		expect(rateLimit.untilStart()).toBe(0);
	});
});
