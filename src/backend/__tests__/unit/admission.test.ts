import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {Deadline, RefusalReason} from '../../../call/index.js';
import {ManualClock} from '../../../clock/index.js';
import {Admission, type AdmissionRequest} from '../../index.js';

interface RecordedRequest extends AdmissionRequest {
	state: 'waiting' | 'started' | 'refused' | 'done';
	reason: RefusalReason | undefined;
}

function createRequest(customer: string, at: number, share = 1): RecordedRequest {
	const request: RecordedRequest = {
		customer,
		share,
		deadline: new Deadline(at),
		objective: new Deadline(at),
		priority: 0,
		work: 0,
		canRetryElsewhere: false,
		state: 'waiting',
		reason: undefined,
		start() {
			expect(request.state).toBe('waiting');
			request.state = 'started';
		},
		refuse(reason) {
			expect(request.state).toBe('waiting');
			request.state = 'refused';
			request.reason = reason;
		},
	};
	return request;
}

describe('Admission', () => {
	it('refuses a call at once when its time left is too short', () => {
		const clock = new ManualClock();
		const admission = new Admission(clock, {slots: 1, queue: 10});
		const first = createRequest('a', 1000);
		admission.submit(first);
		clock.advance(100);
		const late = createRequest('a', 150);
		admission.submit(late);
		expect(late.reason).toBe(RefusalReason.DeadlineTooShort);
	});

	it('starts the queued calls of a customer in order of their deadlines', () => {
		const clock = new ManualClock();
		const admission = new Admission(clock, {slots: 1, queue: 10});
		const running = createRequest('a', 1000);
		const later = createRequest('a', 900);
		const earlier = createRequest('a', 800);
		for (const request of [running, later, earlier]) {
			admission.submit(request);
		}

		admission.release(running, false);
		expect([later.state, earlier.state]).toEqual(['waiting', 'started']);
	});

	it('keeps a customer that floods the queue from starving another', () => {
		const clock = new ManualClock();
		const admission = new Admission(clock, {slots: 2, queue: 8});
		const flood = Array.from({length: 40}, () => createRequest('flood', 10_000));
		const quiet = createRequest('quiet', 10_000);
		admission.submit(flood[0]!);
		admission.submit(flood[1]!);
		admission.submit(quiet);
		for (const request of flood.slice(2)) {
			admission.submit(request);
		}

		// The flood has all the room that the other customer leaves, which is given up as soon as that one needs it.
		const countWaiting = (requests: readonly RecordedRequest[]) =>
			requests.filter(({state}) => state === 'waiting').length;
		expect(countWaiting(flood)).toBe(7);
		const more = Array.from({length: 5}, () => createRequest('quiet', 10_000));
		for (const request of more) {
			admission.submit(request);
		}

		// Each has half of the ten places then: the flood runs two calls besides.
		expect(countWaiting([quiet, ...more])).toBe(5);
		expect(countWaiting(flood)).toBe(3);
		const evicted = flood.filter(({reason}) => reason === RefusalReason.CustomerShare);
		expect(evicted).toHaveLength(4);
		admission.release(flood[0]!, false);
		expect(quiet.state).toBe('started');
	});

	it('refuses all queued calls at once when the backend server departs', () => {
		const admission = new Admission(new ManualClock(), {slots: 1, queue: 10});
		const waiting = [500, 600, 700, 800].map((at) => createRequest('a', at));
		admission.submit(createRequest('a', 1000));
		for (const request of waiting) {
			admission.submit(request);
		}

		admission.refuseQueue(RefusalReason.Draining);
		expect(waiting.map(({reason}) => reason)).toEqual(
			Array.from({length: 4}, () => RefusalReason.Draining),
		);
	});

	it('never exceeds slots or queue, and starts or refuses each call once', () => {
		const step = fc.record({
			kind: fc.constantFrom('request', 'release', 'withdraw', 'sweep', 'limits'),
			customer: fc.constantFrom('a', 'b', 'c'),
			timeLeft: fc.integer({min: 0, max: 500}),
			pause: fc.integer({min: 0, max: 30}),
			pick: fc.nat(),
		});
		fc.assert(
			fc.property(fc.array(step, {maxLength: 120}), (steps) => {
				const clock = new ManualClock();
				let slots = 3;
				const queue = 4;
				const admission = new Admission(clock, {slots, queue});
				const requests: RecordedRequest[] = [];
				for (const {kind, customer, timeLeft, pause, pick} of steps) {
					clock.advance(pause);
					const started = requests.filter((request) => request.state === 'started');
					if (kind === 'request') {
						const request = createRequest(customer, clock.now() + timeLeft);
						requests.push(request);
						admission.submit(request);
						expect(admission.inFlight <= slots || started.length > slots).toBe(true);
					} else if (kind === 'release' && started.length > 0) {
						const request = started[pick % started.length]!;
						request.state = 'done';
						admission.release(request, false);
					} else if (kind === 'withdraw' && requests.length > 0) {
						const request = requests[pick % requests.length]!;
						if (admission.withdraw(request)) {
							expect(request.state).toBe('waiting');
							request.state = 'done';
						}
					} else if (kind === 'sweep') {
						admission.sweep();
					} else if (kind === 'limits') {
						slots = 1 + (pick % 5);
						admission.setLimits({slots, queue});
					}

					const running = requests.filter((request) => request.state === 'started').length;
					const waiting = requests.filter((request) => request.state === 'waiting').length;
					expect(admission.inFlight).toBe(running);
					expect(admission.queued).toBe(waiting);
					expect(waiting).toBeLessThanOrEqual(queue);
				}
			}),
			{seed: 20_261_204, numRuns: 400},
		);
	});
});
