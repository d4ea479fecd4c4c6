import {describe, expect, it} from 'vitest';
import {Deadline, RefusalReason} from '../../../call/index.js';
import {ManualClock, second} from '../../../clock/index.js';
import {
	AttemptEnd,
	createUnknown,
	type Attempt,
	type AttemptResult,
} from '../../../exchange/index.js';
import {createTestAttempt} from '../../../exchange/__tests__/test-attempt.js';
import {Metrics, silentLogger} from '../../../telemetry/index.js';
import {withResolvers} from '../../../util/index.js';
import {Executor, type BackendSender} from '../../index.js';

const slots = 4;
const running = 3;

/** A backend server whose connections have gone silent: an attempt ends only when it is canceled. */
const silentSender: BackendSender = {
	async send({cancellation}, gate, listener) {
		gate.check();
		const {promise, resolve} = withResolvers<AttemptResult>();
		cancellation.registerListener(() => {
			listener.onEnd({isFailure: false, isBroken: false});
			resolve(createUnknown(RefusalReason.Canceled));
		});
		return promise;
	},
	close() {
		// Nothing to close.
	},
};

function createExecutor(clock: ManualClock): Executor {
	const executor = new Executor({
		clock,
		metrics: new Metrics(),
		logger: silentLogger,
		createSender: () => silentSender,
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
	executor.setLimits(slots, slots);
	return executor;
}

function createAttempt(clock: ManualClock, sequence: number, isIdempotent: boolean): Attempt {
	return createTestAttempt({
		id: {instance: 'ingress', sequence},
		requestId: `r${sequence}`,
		head: {method: 'POST', isIdempotent, fingerprint: `f${sequence}`},
		deadline: Deadline.in(clock.now(), second),
		objective: Deadline.in(clock.now(), second / 2),
	});
}

describe('Executor', () => {
	// Guards against slots that are lost for good when the cancellation of an attempt is lost with its link.
	it.each([true, false])(
		'frees the slots of attempts that are long past their deadline (idempotent: %s)',
		async (isIdempotent) => {
			const clock = new ManualClock(10_000);
			const executor = createExecutor(clock);
			const results: AttemptResult[] = [];
			for (let i = 1; i <= running; i++) {
				void executor.run(createAttempt(clock, i, isIdempotent)).then((result) => {
					results.push(result);
				});
			}

			await new Promise(setImmediate);
			expect(executor.report().inFlight).toBe(running);
			clock.advance(1500);
			await new Promise(setImmediate);
			expect(executor.report().inFlight).toBe(running);
			clock.advance(1500);
			await new Promise(setImmediate);
			expect(executor.report().inFlight).toBe(0);
			expect(results.map(({end}) => end)).toEqual(
				Array.from({length: running}, () => AttemptEnd.Unknown),
			);
		},
	);
});
