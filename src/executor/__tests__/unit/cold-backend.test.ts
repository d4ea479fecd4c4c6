import {describe, expect, it} from 'vitest';
import {ColdLimit} from '../../../backend/index.js';
import {Deadline, RefusalReason} from '../../../call/index.js';
import {ManualClock, second} from '../../../clock/index.js';
import {
	AttemptEnd,
	createBufferedBody,
	createRefused,
	type Attempt,
	type AttemptResult,
} from '../../../exchange/index.js';
import {createTestAttempt} from '../../../exchange/__tests__/test-attempt.js';
import {Metrics, silentLogger} from '../../../telemetry/index.js';
import {Executor, type BackendSender} from '../../index.js';

/** Requests that the cold backend server may get in any second. */
const max = 4;
const answered: AttemptResult = {
	end: AttemptEnd.Answered,
	status: 200,
	headers: [],
	body: createBufferedBody(new Uint8Array()),
	load: undefined,
};

/** How the fake backend server treats a request. */
enum Handling {
	Answer,
	/** Another process listens at the address and answers 421. */
	Misdirected,
	/** The connection is refused before the first byte. */
	Unreachable,
}

function createFixture(coldRate: number | undefined = max) {
	const clock = new ManualClock(10_000);
	const coldLimit = new ColdLimit(clock, {overage: 1, slack: 0}, false);
	coldLimit.setRate(coldRate);
	coldLimit.record(60 * second, clock.now());
	const fake = {
		handling: Handling.Answer,
		sent: 0,
		/** Resolves when the connection is open. */
		connected: Promise.resolve(),
	};
	const sender: BackendSender = {
		async send(_attempt, gate, listener) {
			await fake.connected;
			if (fake.handling === Handling.Unreachable) {
				listener.onEnd({isFailure: true, isBroken: false});
				return createRefused(RefusalReason.BackendUnreachable);
			}

			const reason = gate.check();
			listener.onEnd({isFailure: false, isBroken: false});
			if (reason !== undefined) {
				return createRefused(reason);
			}

			if (fake.handling === Handling.Misdirected) {
				return createRefused(RefusalReason.BackendReplaced);
			}

			fake.sent += 1;
			return answered;
		},
		close() {
			// Nothing to close.
		},
	};
	const executor = new Executor({
		clock,
		coldLimit,
		metrics: new Metrics(),
		logger: silentLogger,
		createSender: () => sender,
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
	executor.setLimits(50, 50);
	let sequence = 0;
	const attempt = (): Attempt => {
		sequence += 1;
		return createTestAttempt({
			id: {instance: 'ingress', sequence},
			requestId: `r${sequence}`,
			head: {method: 'POST', isIdempotent: false, fingerprint: `f${sequence}`},
			deadline: Deadline.in(clock.now(), second),
			objective: Deadline.in(clock.now(), second / 2),
			canRetryElsewhere: true,
		});
	};

	/** Offers calls one after the other, 10 ms apart, and gives their ends. */
	const offer = async (count: number) => {
		const ends: Array<AttemptEnd | RefusalReason> = [];
		for (let i = 0; i < count; i++) {
			const result = await executor.run(attempt());
			ends.push(result.end === AttemptEnd.Refused ? result.reason : result.end);
			clock.advance(10);
		}

		return ends;
	};

	return {clock, coldLimit, fake, executor, offer, attempt};
}

describe('Executor beside a cold backend server', () => {
	it('refuses at once, as not run, what the backend server does not tolerate', async () => {
		const {fake, offer, executor} = createFixture();
		const ends = await offer(10);
		expect(fake.sent).toBeLessThanOrEqual(max);
		expect(ends.filter((end) => end === AttemptEnd.Answered)).toHaveLength(fake.sent);
		expect(ends.at(-1)).toBe(RefusalReason.BackendCold);
		expect(executor.report()).toMatchObject({rateLimit: expect.any(Number) as number});
		expect(executor.report().untilStart).toBeGreaterThan(0);
	});

	it('does not limit a service without a cold rate', async () => {
		const {offer, executor, coldLimit} = createFixture();
		coldLimit.setRate(undefined);
		const ends = await offer(30);
		expect(ends.every((end) => end === AttemptEnd.Answered)).toBe(true);
		expect(executor.report().rateLimit).toBeUndefined();
	});

	it('does not count a request that another process answered with 421', async () => {
		const {fake, clock, offer} = createFixture();
		fake.handling = Handling.Misdirected;
		for (let i = 0; i < 3 * max; i++) {
			expect(await offer(1)).toEqual([RefusalReason.BackendReplaced]);
			clock.advance(300);
		}

		// All requests of the last second were answered with 421.
		fake.handling = Handling.Answer;
		expect(await offer(1)).toEqual([AttemptEnd.Answered]);
	});

	it('does not count a request whose connection was refused', async () => {
		const {fake, coldLimit, offer, clock} = createFixture();
		fake.handling = Handling.Unreachable;
		await offer(1);
		clock.advance(300);
		await offer(1);
		coldLimit.setRate(1);
		clock.advance(second);
		expect(coldLimit.untilStart()).toBe(0);
	});

	it('counts a request from its first byte, when its connection was slow to open', async () => {
		const {fake, coldLimit, clock, executor, attempt} = createFixture(1);
		let open: () => void = () => undefined;
		fake.connected = new Promise((resolve) => {
			open = resolve;
		});
		const first = executor.run(attempt());
		await Promise.resolve();
		clock.advance(900);
		open();
		await first;
		clock.advance(900);
		expect(coldLimit.untilStart()).toBeGreaterThan(0);
		clock.advance(300);
		expect(coldLimit.untilStart()).toBe(0);
	});

	it('refuses a started request if the backend server has become cold before its first byte', async () => {
		const {fake, coldLimit, clock, executor, attempt} = createFixture();
		coldLimit.record(0, clock.now());
		let open: () => void = () => undefined;
		fake.connected = new Promise((resolve) => {
			open = resolve;
		});
		const running = Array.from({length: 10}, async () => executor.run(attempt()));
		await Promise.resolve();
		coldLimit.record(second, clock.now());
		open();
		const results = await Promise.all(running);
		expect(fake.sent).toBe(max);
		for (const result of results.filter(({end}) => end !== AttemptEnd.Answered)) {
			expect(result).toMatchObject({reason: RefusalReason.BackendCold});
		}
	});
});
