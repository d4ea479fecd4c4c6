import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {Deadline, RefusalReason} from '../../../call/index.js';
import {ManualClock} from '../../../clock/index.js';
import {Admission, type AdmissionRequest} from '../../index.js';

interface Recorded extends AdmissionRequest {
	state: 'waiting' | 'started' | 'refused' | 'done';
	reason: RefusalReason | undefined;
}

function createTicket(customer: string, at: number, share = 1): Recorded {
	const ticket: Recorded = {
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
			expect(ticket.state).toBe('waiting');
			ticket.state = 'started';
		},
		refuse(reason) {
			expect(ticket.state).toBe('waiting');
			ticket.state = 'refused';
			ticket.reason = reason;
		},
	};
	return ticket;
}

describe('Admission', () => {
	it('refuses at once when the time left cannot suffice', () => {
		const clock = new ManualClock();
		const admission = new Admission(clock, {slots: 1, queue: 10});
		const first = createTicket('a', 1000);
		admission.submit(first);
		clock.advance(100);
		const late = createTicket('a', 150);
		admission.submit(late);
		expect(late.reason).toBe(RefusalReason.DeadlineTooShort);
	});

	it('serves the waiting by deadline within a customer', () => {
		const clock = new ManualClock();
		const admission = new Admission(clock, {slots: 1, queue: 10});
		const running = createTicket('a', 1000);
		const later = createTicket('a', 900);
		const sooner = createTicket('a', 800);
		for (const ticket of [running, later, sooner]) {
			admission.submit(ticket);
		}

		admission.release(running, false);
		expect([later.state, sooner.state]).toEqual(['waiting', 'started']);
	});

	it('keeps a flood of one customer from starving another', () => {
		const clock = new ManualClock();
		const admission = new Admission(clock, {slots: 2, queue: 8});
		const flood = Array.from({length: 40}, () => createTicket('flood', 10_000));
		const quiet = createTicket('quiet', 10_000);
		admission.submit(flood[0]!);
		admission.submit(flood[1]!);
		admission.submit(quiet);
		for (const ticket of flood.slice(2)) {
			admission.submit(ticket);
		}

		const admitted = flood.filter((ticket) => ticket.state !== 'refused').length;
		expect(admitted).toBeLessThanOrEqual(5);
		admission.release(flood[0]!, false);
		expect(quiet.state).toBe('started');
	});

	it('refuses all that wait at once when the backend server leaves', () => {
		const admission = new Admission(new ManualClock(), {slots: 1, queue: 10});
		const waiting = [500, 600, 700, 800].map((at) => createTicket('a', at));
		admission.submit(createTicket('a', 1000));
		for (const ticket of waiting) {
			admission.submit(ticket);
		}

		admission.refuseQueue(RefusalReason.Draining);
		expect(waiting.map(({reason}) => reason)).toEqual(
			Array.from({length: 4}, () => RefusalReason.Draining),
		);
	});

	it('never exceeds slots or queue, and settles each ticket once', () => {
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
				const tickets: Recorded[] = [];
				for (const {kind, customer, timeLeft, pause, pick} of steps) {
					clock.advance(pause);
					const started = tickets.filter((ticket) => ticket.state === 'started');
					if (kind === 'request') {
						const ticket = createTicket(customer, clock.now() + timeLeft);
						tickets.push(ticket);
						admission.submit(ticket);
						expect(admission.inFlight <= slots || started.length > slots).toBe(true);
					} else if (kind === 'release' && started.length > 0) {
						const ticket = started[pick % started.length]!;
						ticket.state = 'done';
						admission.release(ticket, false);
					} else if (kind === 'withdraw' && tickets.length > 0) {
						const ticket = tickets[pick % tickets.length]!;
						if (admission.withdraw(ticket)) {
							expect(ticket.state).toBe('waiting');
							ticket.state = 'done';
						}
					} else if (kind === 'sweep') {
						admission.sweep();
					} else if (kind === 'limits') {
						slots = 1 + (pick % 5);
						admission.setLimits({slots, queue});
					}

					const running = tickets.filter((ticket) => ticket.state === 'started').length;
					const waiting = tickets.filter((ticket) => ticket.state === 'waiting').length;
					expect(admission.inFlight).toBe(running);
					expect(admission.queued).toBe(waiting);
					expect(waiting).toBeLessThanOrEqual(queue);
				}
			}),
			{seed: 20_261_204, numRuns: 400},
		);
	});
});
