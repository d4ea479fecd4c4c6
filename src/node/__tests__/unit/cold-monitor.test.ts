import {describe, expect, it} from 'vitest';
import {Coldness, ColdLimit} from '../../../backend/index.js';
import {ManualClock, second} from '../../../clock/index.js';
import {logEvents, Metrics, type LogEvent} from '../../../telemetry/index.js';
import {ColdMonitor} from '../../cold-monitor.js';

const coldRate = 8;
const max = 20;

function createFixture() {
	const clock = new ManualClock(10_000);
	const limit = new ColdLimit(clock, {overage: 1.5, slack: 8}, false);
	const metrics = new Metrics();
	const events: LogEvent[] = [];
	const counts = {changes: 0, questions: 0};
	const monitor = new ColdMonitor({
		clock,
		metrics,
		limit,
		logger: {
			log(event) {
				events.push(event);
			},
		},
		onLimitChanged() {
			counts.changes += 1;
		},
		askHealthPath() {
			counts.questions += 1;
		},
	});
	const metric = async () => {
		const {values} = await metrics.coldLimit.get();
		return values[0]?.value;
	};

	return {clock, limit, monitor, events, counts, metric};
}

describe('ColdMonitor', () => {
	it('limits a backend server that announces that it is cold until that time has passed', async () => {
		const {clock, limit, monitor, events, counts, metric} = createFixture();
		monitor.attach('i', coldRate, 3 * second);
		expect(limit.max).toBe(max);
		expect(await metric()).toBe(max);
		clock.advance(3 * second);
		expect(limit.max).toBeUndefined();
		expect(await metric()).toBe(-1);
		expect(events).toEqual([logEvents.backendCold, logEvents.backendWarm]);
		expect(counts.changes).toBe(2);
	});

	it('limits a backend server that does not say whether it is cold until a heartbeat tells', () => {
		const {clock, limit, monitor, events} = createFixture();
		monitor.attach('i', coldRate, undefined);
		clock.advance(100 * second);
		expect(limit.coldness).toBe(Coldness.Unknown);
		expect(limit.max).toBe(max);
		monitor.recordHeartbeat(0);
		expect(limit.max).toBeUndefined();
		expect(events).toEqual([logEvents.backendAssumedCold, logEvents.backendWarm]);
	});

	it('limits a backend server that becomes cold again while it serves', () => {
		const {clock, limit, monitor, events} = createFixture();
		monitor.attach('i', coldRate, 0);
		clock.advance(60 * second);
		expect(events).toEqual([]);
		monitor.recordAnswer(2 * second, clock.now());
		expect(limit.max).toBe(max);
		clock.advance(second);
		monitor.recordHeartbeat(900);
		clock.advance(899);
		expect(limit.max).toBe(max);
		clock.advance(1);
		expect(events).toEqual([logEvents.backendCold, logEvents.backendWarm]);
	});

	it('assumes after an evacuation that the backend server is cold, and asks its health path', () => {
		const {clock, limit, monitor, events, counts} = createFixture();
		monitor.attach('i', coldRate, 0);
		const sentBefore = clock.now();
		clock.advance(10);
		monitor.assume();
		expect(limit.max).toBe(max);
		expect(counts.questions).toBe(1);
		// An answer to a question from before the assumption says nothing about the time after it.
		monitor.recordAnswer(0, sentBefore);
		expect(limit.max).toBe(max);
		clock.advance(10);
		monitor.recordAnswer(0, clock.now());
		expect(limit.max).toBeUndefined();
		expect(events).toEqual([logEvents.backendAssumedCold, logEvents.backendWarm]);
	});

	it('asks the health path every second while heartbeats do not tell whether the backend server is cold', () => {
		const {clock, monitor, counts} = createFixture();
		monitor.attach('i', coldRate, undefined);
		for (let i = 0; i < 30; i++) {
			monitor.setRate(coldRate);
			clock.advance(100);
		}

		expect(counts.questions).toBe(3);
		monitor.recordAnswer(0, clock.now());
		monitor.setRate(coldRate);
		clock.advance(2 * second);
		monitor.setRate(coldRate);
		expect(counts.questions).toBe(3);
	});

	it('asks the health path when a warm backend server has become as slow as a cold one', () => {
		const {monitor, counts} = createFixture();
		monitor.attach('i', coldRate, 0);
		monitor.checkSpeed(1.2);
		expect(counts.questions).toBe(0);
		monitor.checkSpeed(2);
		expect(counts.questions).toBe(1);
		monitor.recordHeartbeat(second);
		monitor.checkSpeed(2);
		expect(counts.questions).toBe(1);
	});

	it('does nothing for a service without a cold rate', () => {
		const {clock, limit, monitor, events, counts} = createFixture();
		monitor.attach('i', undefined, undefined);
		monitor.recordHeartbeat(3 * second);
		monitor.checkSpeed(7);
		monitor.assume();
		clock.advance(10 * second);
		monitor.recordHeartbeat(0);
		expect(limit.max).toBeUndefined();
		expect(events).toEqual([]);
		expect(counts).toEqual({changes: 0, questions: 0});
	});

	it('lifts the limit of a cold backend server when a warm one replaces it', async () => {
		const {monitor, events, counts, metric} = createFixture();
		monitor.attach('i', coldRate, 3 * second);
		monitor.attach('j', coldRate, 0);
		expect(await metric()).toBe(-1);
		expect(counts.changes).toBe(2);
		monitor.attach('k', coldRate, undefined);
		monitor.attach('l', coldRate, undefined);
		expect(events).toEqual([
			logEvents.backendCold,
			logEvents.backendWarm,
			logEvents.backendAssumedCold,
			logEvents.backendAssumedCold,
		]);
	});

	it('follows a change of the declared rate', () => {
		const {limit, monitor, events, counts} = createFixture();
		monitor.attach('i', undefined, 3 * second);
		monitor.setRate(coldRate);
		expect(limit.max).toBe(max);
		monitor.setRate(2 * coldRate);
		expect(limit.max).toBe(32);
		monitor.setRate(2 * coldRate);
		monitor.setRate(undefined);
		expect(limit.max).toBeUndefined();
		expect(counts.changes).toBe(3);
		expect(events).toEqual([logEvents.backendCold, logEvents.backendCold, logEvents.backendWarm]);
	});
});
