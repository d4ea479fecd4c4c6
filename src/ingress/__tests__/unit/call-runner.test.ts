import {PassThrough} from 'node:stream';
import {describe, expect, it} from 'vitest';
import {Deadline, RefusalReason, type LoadReport} from '../../../call/index.js';
import {ManualClock} from '../../../clock/index.js';
import {DeclarationIndex, type CallPolicy, type ServicePolicy} from '../../../declaration/index.js';
import {
	AttemptEnd,
	Cancellation,
	createRefused,
	createUnknown,
	createBufferedBody,
	createStreamBody,
	type Attempt,
	type AttemptResult,
	type Call,
} from '../../../exchange/index.js';
import {createLocalMember, MemberPhase} from '../../../membership/index.js';
import {createTestGossip} from '../../../membership/__tests__/test-gossip.js';
import {createRandom} from '../../../random/index.js';
import {ExpectedWaitPolicy, type Placement} from '../../../routing/index.js';
import {Metrics, silentLogger} from '../../../telemetry/index.js';
import {withResolvers} from '../../../util/index.js';
import {CallRunner, NearestFirstPlacement} from '../../index.js';

const load: LoadReport = {
	inFlight: 0,
	queued: 0,
	slots: 10,
	serviceTime: 10,
	failureShare: 0,
	slowdown: 1,
};
const service: ServicePolicy = {
	service: 's',
	kind: 'k',
	queue: 10,
	warmUp: 0,
	probeBudget: 6,
	isOtherRegionAllowed: true,
};
const policy: CallPolicy = {
	service: 's',
	customer: 'c',
	deadline: 1000,
	maxDeadline: 1000,
	idempotentMethods: ['GET'],
	idempotentPaths: [],
	maxAttempts: 3,
	retryShare: 0.1,
	hedgeShare: 0,
	share: 1,
	keyRetention: 60_000,
};
const index = new DeclarationIndex(1, {
	deployment: 'd',
	services: [service],
	calls: [policy],
	links: [],
});

function createRunner(
	executors: number,
	answer: (attempt: Attempt, executor: string) => AttemptResult,
): CallRunner {
	const clock = new ManualClock(1000);
	const random = createRandom(1);
	const place = {region: 'r', zone: 'z'};
	const gossip = createTestGossip(clock);
	for (let i = 0; i < executors; i++) {
		const member = createLocalMember(`10.0.1.${i + 1}:7001`, 1, place);
		gossip.directory.merge({...member, phase: MemberPhase.Serving, service: 's', slots: 10});
	}

	return new CallRunner({
		clock,
		metrics: new Metrics(),
		logger: silentLogger,
		promises: new Set([503]),
		placement: new NearestFirstPlacement({
			clock,
			gossip,
			routing: new ExpectedWaitPolicy({clock, random, self: () => gossip.localMember}),
			revisions: {inForce: index},
		}),
		budgetBursts: () => ({retries: 10, hedges: 10}),
		instance: 'i',
		runnerTo: (executor) => ({run: async (attempt) => answer(attempt, executor)}),
	});
}

function createCall(isIdempotent: boolean): Call {
	return {
		head: {
			service: 's',
			customer: 'c',
			method: isIdempotent ? 'GET' : 'POST',
			path: '/',
			headers: [],
			isIdempotent,
			key: undefined,
			origin: {requestId: 'r', caller: '', route: '', priority: 0},
			fingerprint: 'f',
		},
		policy,
		service,
		index,
		deadline: new Deadline(2000),
		objective: new Deadline(2000),
		objectiveDuration: 1000,
		body: createBufferedBody(new Uint8Array()),
		cancellation: new Cancellation(),
	};
}

const answered: AttemptResult = {
	end: AttemptEnd.Answered,
	status: 200,
	headers: [],
	body: createBufferedBody(new Uint8Array()),
	load,
};

describe('CallRunner', () => {
	it('refuses a call after few attempts when all backend servers are cold, also those that queue calls', async () => {
		let attempts = 0;
		const runner = createRunner(20, () => {
			attempts += 1;
			if (attempts > 5000) {
				throw new Error('the attempts of a refused call are not limited');
			}

			return createRefused(RefusalReason.BackendCold, load);
		});
		const calls = 1000;
		for (let i = 0; i < calls; i++) {
			const {result} = await runner.run(createCall(true));
			expect(result).toMatchObject({reason: RefusalReason.BackendCold});
		}

		expect(attempts).toBeLessThanOrEqual(calls * 3.2);
	});

	it.each([
		['close the connection', createUnknown(RefusalReason.BackendLost)],
		['refuse calls as full', createRefused(RefusalReason.QueueFull, load)],
	])(
		'limits attempts to 1.2 times the number of calls when all backend servers %s',
		async (_name, result) => {
			let attempts = 0;
			const runner = createRunner(6, () => {
				attempts += 1;
				return result;
			});
			const calls = 1000;
			for (let i = 0; i < calls; i++) {
				await runner.run(createCall(true));
			}

			expect(attempts).toBeLessThanOrEqual(calls * 1.2);
		},
	);

	it('does not retry a non-idempotent call that may have run', async () => {
		let attempts = 0;
		const runner = createRunner(6, () => {
			attempts += 1;
			return createUnknown(RefusalReason.ExecutorLost);
		});
		const {result} = await runner.run(createCall(false));
		expect(result).toMatchObject({end: AttemptEnd.Unknown});
		expect(attempts).toBe(1);
	});

	it('retries at another executor when executors refuse a call because they are draining', async () => {
		const tried = new Set<string>();
		const runner = createRunner(4, (_attempt, executor) => {
			tried.add(executor);
			return tried.size < 4 ? createRefused(RefusalReason.Draining, load) : answered;
		});
		const {result, attempts} = await runner.run(createCall(false));
		expect(result.end).toBe(AttemptEnd.Answered);
		expect(attempts).toBe(4);
	});

	it.each([RefusalReason.ZoneEvacuated, RefusalReason.RegionNotAllowed])(
		'spends no retry budget on executors that refuse calls as %s, and returns the reason if all do',
		async (reason) => {
			const tried = new Set<string>();
			const runner = createRunner(6, (_attempt, executor) => {
				tried.add(executor);
				return tried.size % 6 === 0 ? answered : createRefused(reason, load);
			});
			for (let i = 0; i < 100; i++) {
				tried.clear();
				const {result, attempts} = await runner.run(createCall(false));
				expect({end: result.end, attempts}).toEqual({end: AttemptEnd.Answered, attempts: 6});
			}

			const refusing = createRunner(6, () => createRefused(reason, load));
			const end = await refusing.run(createCall(false));
			expect(end).toMatchObject({attempts: 6, result: {end: AttemptEnd.Refused, reason}});
		},
	);

	it('does not report a call as not run when an earlier attempt may have run', async () => {
		let attempts = 0;
		const runner = createRunner(6, () => {
			attempts += 1;
			return attempts === 1
				? createUnknown(RefusalReason.ExecutorLost)
				: createRefused(RefusalReason.QueueFull, load);
		});
		const {result} = await runner.run(createCall(true));
		expect(attempts).toBeGreaterThan(1);
		expect(result).toMatchObject({end: AttemptEnd.Unknown, reason: RefusalReason.ExecutorLost});
	});

	it('retries an idempotent call after an error response and returns the successful answer', async () => {
		const failed: AttemptResult = {...answered, status: 500};
		let attempts = 0;
		const runner = createRunner(6, () => {
			attempts += 1;
			return attempts === 1 ? failed : answered;
		});
		const {result} = await runner.run(createCall(true));
		expect(result).toMatchObject({end: AttemptEnd.Answered, status: 200});
		const unsafe = createRunner(6, () => failed);
		const end = await unsafe.run(createCall(false));
		expect(end).toMatchObject({attempts: 1, result: {status: 500}});
	});

	it('does not retry a call after two backend servers closed the connection', async () => {
		let attempts = 0;
		const runner = createRunner(6, () => {
			attempts += 1;
			return createUnknown(RefusalReason.BackendLost);
		});
		await runner.run(createCall(true));
		expect(attempts).toBe(2);
	});

	it('replaces an answer that broke off by another attempt, within the attempts of the call', async () => {
		const tried: string[] = [];
		const runner = createRunner(4, (_attempt, executor) => {
			tried.push(executor);
			const body = createStreamBody(new PassThrough());
			return {end: AttemptEnd.Answered, status: 200, headers: [], body, load};
		});
		const ends = [await runner.run(createCall(true))];
		for (let end = ends[0]; end?.replaceAnswer; end = ends.at(-1)) {
			ends.push(await end.replaceAnswer()); // eslint-disable-line no-await-in-loop
		}

		expect(ends.map(({result}) => result.end)).toEqual([
			AttemptEnd.Answered,
			AttemptEnd.Answered,
			AttemptEnd.Unknown,
		]);
		expect(new Set(tried).size).toBe(2);
		const {replaceAnswer} = await runner.run(createCall(false));
		expect(replaceAnswer).toBeUndefined();
	});

	it('queues at a busy executor when there is no other executor', async () => {
		const runner = createRunner(1, (attempt) =>
			attempt.canRetryElsewhere ? createRefused(RefusalReason.Busy, load) : answered,
		);
		const {result} = await runner.run(createCall(true));
		expect(result.end).toBe(AttemptEnd.Answered);
	});

	// Guards against a report of an earlier version that a caller takes for the promise that nothing ran.
	it('takes an answer for unknown if it would tell the caller that nothing ran', async () => {
		const runner = createRunner(2, () => ({...answered, status: 503}));
		const {result, attempts} = await runner.run(createCall(false));
		expect({...result, attempts}).toEqual({
			end: AttemptEnd.Unknown,
			reason: RefusalReason.BackendFailed,
			attempts: 1,
		});
		expect(await runner.run(createCall(true))).toMatchObject({result: {status: 503}});
	});

	it('assigns each attempt a unique id', async () => {
		const ids: number[] = [];
		const runner = createRunner(4, (attempt) => {
			ids.push(attempt.id.sequence);
			return ids.length % 2 === 0 ? answered : createRefused(RefusalReason.Busy, load);
		});
		for (let i = 0; i < 20; i++) {
			await runner.run(createCall(true));
		}

		expect(new Set(ids).size).toBe(ids.length);
	});

	it('rechecks a pending attempt for hedging until a hedge becomes worth its cost', async () => {
		const clock = new ManualClock(1000);
		const executors = ['10.0.1.1:7001', '10.0.1.2:7001'].map((id) =>
			createLocalMember(id, 1, {region: 'r', zone: 'z'}),
		);
		const placement: Placement = {
			choose: ({excluded}) => executors.find(({id}) => !excluded.has(id)),
			noExecutorReason: () => RefusalReason.NoBackend,
			hedgeDelay: () => 100,
			hedgeExecutor: ({excluded}, _executor, elapsed) =>
				elapsed > 300 ? executors.find(({id}) => !excluded.has(id)) : undefined,
			retryAfterHint: () => undefined,
			maxWaitForExecutor: () => 0,
			recordSent: () => undefined,
			recordEnded: () => undefined,
			avoid: () => undefined,
			forget: () => undefined,
		};
		const sent: number[] = [];
		const {promise: never} = withResolvers<AttemptResult>();
		const runner = new CallRunner({
			clock,
			metrics: new Metrics(),
			logger: silentLogger,
			promises: new Set([503]),
			placement,
			budgetBursts: () => ({retries: 10, hedges: 10}),
			instance: 'i',
			runnerTo: (executor) => ({
				async run() {
					sent.push(clock.now());
					return executor === executors[0]!.id ? never : answered;
				},
			}),
		});
		const end = runner.run(createCall(true));
		for (let i = 0; i < 50; i++) {
			clock.advance(10);
			await Promise.resolve();
		}

		expect(await end).toMatchObject({result: {status: 200}, attempts: 2});
		expect(sent[1]! - sent[0]!).toBeGreaterThan(300);
		expect(sent[1]! - sent[0]!).toBeLessThan(400);
	});
});
