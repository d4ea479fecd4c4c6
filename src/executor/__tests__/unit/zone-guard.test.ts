import {describe, expect, it} from 'vitest';
import {Deadline, RefusalReason} from '../../../call/index.js';
import {ManualClock} from '../../../clock/index.js';
import {AttemptEnd, type AttemptResult} from '../../../exchange/index.js';
import {createTestAttempt} from '../../../exchange/__tests__/test-attempt.js';
import {Metrics, silentLogger} from '../../../telemetry/index.js';
import {withResolvers} from '../../../util/index.js';
import {Executor} from '../../index.js';

const slots = 10;

function createFixture(room: number | undefined) {
	const clock = new ManualClock(1000);
	const executor = new Executor({
		clock,
		metrics: new Metrics(),
		logger: silentLogger,
		crashWatch: {
			isHeld: () => false,
			recordAnswered: () => undefined,
			recordBroken: () => undefined,
		},
		zoneGuard: {
			isFromOtherZone: (instance) => instance.startsWith('other'),
			roomForOtherZones: () => room,
			reportZone: (load, otherLoad) =>
				room === undefined
					? undefined
					: {room, load, otherLoad, zoneLoad: load, zoneOtherLoad: otherLoad},
		},
		createSender: () => ({
			send: async () => withResolvers<AttemptResult>().promise,
			close: () => undefined,
		}),
		onBackendUnreachable: () => undefined,
		onBackendLeaving: () => undefined,
		onLoadChanged: () => undefined,
		probeSpeed: async () => undefined,
	});
	executor.attach(
		{endpoint: {address: '127.0.0.1', port: 1}, instance: 'b', connections: slots},
		's',
	);
	executor.setLimits(slots, 40);
	executor.readSpeed(1);
	let sequence = 0;
	const run = async (
		from: string,
		canRetryElsewhere = true,
	): Promise<AttemptResult | undefined> => {
		sequence += 1;
		const attempt = createTestAttempt({
			id: {instance: `${from}:7001#1`, sequence},
			requestId: `${sequence}`,
			head: {fingerprint: `${sequence}`},
			canRetryElsewhere,
			deadline: Deadline.in(clock.now(), 1000),
			objective: Deadline.in(clock.now(), 500),
		});
		const pending = new Promise<undefined>((resolve) => {
			setImmediate(() => {
				resolve(undefined);
			});
		});
		return Promise.race([executor.run(attempt), pending]);
	};

	const fill = async (count: number) => {
		for (let i = 0; i < count; i++) {
			expect(await run('own')).toBeUndefined();
		}
	};

	return {clock, executor, run, fill};
}

describe('an executor whose zone is short', () => {
	it('refuses attempts of other zones as not run, and takes those of its own zone', async () => {
		// Otherwise its own callers wait for slots that callers with room elsewhere have taken.
		const {executor, run, fill} = createFixture(-1);
		await fill(6);
		const result = await run('other');
		expect(result).toMatchObject({end: AttemptEnd.Refused, reason: RefusalReason.ZoneShort});
		expect(result).toMatchObject({load: {zone: {room: -1, otherLoad: 0}}});
		expect(await run('own')).toBeUndefined();
		expect(executor.report().inFlight).toBe(7);
	});

	it('takes attempts of other zones while most of its slots are free', async () => {
		const {executor, run, fill, clock} = createFixture(-1);
		await fill(2);
		expect(await run('other')).toBeUndefined();
		clock.advance(5000);
		expect(executor.report().zone?.load).toBeCloseTo(0.3);
		expect(executor.report().zone?.otherLoad).toBeCloseTo(0.1);
	});

	it('takes an attempt that cannot go elsewhere', async () => {
		// A call of a zone without any backend server would be lost by the refusal.
		const {run, fill} = createFixture(-1);
		await fill(7);
		expect(await run('other', false)).toBeUndefined();
	});
});

describe('an executor whose zone has room', () => {
	it('takes attempts of other zones', async () => {
		const {executor, run, fill} = createFixture(0.1);
		await fill(7);
		expect(await run('other')).toBeUndefined();
		expect(executor.report()).toMatchObject({inFlight: 8, zone: {room: 0.1}});
	});
});

describe('an executor without a decision on zones', () => {
	it('takes attempts of other zones and reports nothing of them', async () => {
		const {executor, run, fill} = createFixture(undefined);
		await fill(7);
		expect(await run('other')).toBeUndefined();
		expect(executor.report()).not.toHaveProperty('zone');
	});
});
