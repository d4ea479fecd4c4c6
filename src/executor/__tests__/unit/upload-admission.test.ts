import {PassThrough} from 'node:stream';
import {describe, expect, it} from 'vitest';
import {Deadline, RefusalReason} from '../../../call/index.js';
import {ManualClock, minute, second, type Millis} from '../../../clock/index.js';
import {
	AttemptEnd,
	createBufferedBody,
	createStreamBody,
	type Attempt,
	type AttemptResult,
} from '../../../exchange/index.js';
import {createTestAttempt} from '../../../exchange/__tests__/test-attempt.js';
import {Metrics, silentLogger} from '../../../telemetry/index.js';
import {Executor} from '../../index.js';

const answered: AttemptResult = {
	end: AttemptEnd.Answered,
	status: 200,
	headers: [],
	body: createBufferedBody(new Uint8Array()),
	load: undefined,
};
const bytes = 350_000;

function createFixture(linkRate?: number) {
	const clock = new ManualClock(10_000);
	let runTime: Millis = 200;
	let running = Promise.resolve();
	const executor = new Executor({
		clock,
		linkRate,
		metrics: new Metrics(),
		logger: silentLogger,
		createSender: () => ({
			async send(_attempt, gate, listener) {
				gate.check();
				await running;
				clock.advance(runTime);
				listener.onEnd({isFailure: false, isBroken: false});
				return answered;
			},
			close() {
				// Nothing to close.
			},
		}),
		crashWatch: {
			isHeld: () => false,
			recordAnswered: () => undefined,
			recordBroken: () => undefined,
		},
		onBackendUnreachable: () => undefined,
		onBackendLeaving: () => undefined,
		onLoadChanged: () => undefined,
		probeSpeed: async () => undefined,
	});
	executor.attach({endpoint: {address: '127.0.0.1', port: 9}, instance: 'i', connections: 50}, 's');
	executor.setLimits(1, 50);
	let sequence = 0;
	const createAttempt = (objective: Millis, transferTime?: Millis): Attempt => {
		sequence += 1;
		const deadline = Deadline.in(clock.now(), objective);
		return createTestAttempt({
			id: {instance: 'ingress', sequence},
			requestId: `r${sequence}`,
			head: {
				method: 'POST',
				headers: ['Content-Length', String(bytes)],
				isIdempotent: false,
				fingerprint: `f${sequence}`,
			},
			deadline,
			objective: deadline,
			body: createStreamBody(new PassThrough(), [], true, bytes),
			transferTime,
		});
	};

	return {
		clock,
		executor,
		createAttempt,
		setRunTime(time: Millis) {
			runTime = time;
		},
		/** Keeps calls running until the returned function is called. */
		holdCalls() {
			let release: () => void = () => undefined;
			running = new Promise((resolve) => {
				release = resolve;
			});
			return release;
		},
	};
}

describe('Executor with uploads', () => {
	it('does not learn the transfer as run time', async () => {
		const {executor, createAttempt, setRunTime} = createFixture(7);
		// 400 ms on a link of 7 Mbit/s, and 200 ms of work.
		setRunTime(600);
		for (let i = 0; i < 50; i++) {
			await executor.run(createAttempt(2 * second, 10));
		}

		// A short body fits into a time that would not be enough for run and transfer.
		setRunTime(200);
		const result = await executor.run(createAttempt(450, 0));
		expect(result.end).toBe(AttemptEnd.Answered);
	});

	it('refuses a queued upload that cannot run in time after its transfer', async () => {
		const {executor, createAttempt, holdCalls} = createFixture();
		await executor.run(createAttempt(2 * second));
		const release = holdCalls();
		const occupying = executor.run(createAttempt(2 * second));
		const small = executor.run(createAttempt(900, 0));
		const large = await Promise.race([executor.run(createAttempt(900, 850)), occupying]);
		expect(large).toMatchObject({
			end: AttemptEnd.Refused,
			reason: RefusalReason.DeadlineTooShort,
		});
		release();
		const ends = await Promise.all([occupying, small]);
		expect(ends.map(({end}) => end)).toEqual([AttemptEnd.Answered, AttemptEnd.Answered]);
	});

	it('reports the bandwidth of its link only for a while after a streamed body', async () => {
		const {executor, createAttempt, clock} = createFixture(7);
		expect(executor.report().linkRate).toBeUndefined();
		await executor.run(createAttempt(second));
		expect(executor.report().linkRate).toBe(7);
		clock.advance(minute);
		expect(executor.report().linkRate).toBeUndefined();
	});
});
