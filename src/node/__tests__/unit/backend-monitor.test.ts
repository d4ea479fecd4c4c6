import {describe, expect, it} from 'vitest';
import {BackendState, Coldness, ColdLimit} from '../../../backend/index.js';
import {ManualClock, type Millis} from '../../../clock/index.js';
import {RevisionTracker} from '../../../declaration/index.js';
import {BackendClient, Executor, TurmericBackendProtocol} from '../../../executor/index.js';
import {MemberPhase} from '../../../membership/index.js';
import {createTestGossip} from '../../../membership/__tests__/test-gossip.js';
import {Metrics, silentLogger} from '../../../telemetry/index.js';
import {AnnouncedState, type Announcement} from '../../announcement.js';
import {AnnouncementEnd, BackendMonitor} from '../../backend-monitor.js';
import {ColdMonitor} from '../../cold-monitor.js';

function createFixture(isRestart = false, ownService = '') {
	const clock = new ManualClock(1000);
	const gossip = createTestGossip(clock);
	const executor: Executor = new Executor({
		clock,
		metrics: new Metrics(),
		logger: silentLogger,
		createSender: (target) => new BackendClient(target, new TurmericBackendProtocol(), clock),
		crashWatch: {
			isHeld: () => false,
			recordAnswered: () => undefined,
			recordBroken: () => undefined,
		},
		onBackendUnreachable: () => undefined,
		onBackendLeaving(instance) {
			monitor.handleLeaving(instance);
		},
		onLoadChanged: () => undefined,
		probeSpeed: async () => undefined,
	});
	const coldLimit = new ColdLimit(clock, {overage: 1.5, slack: 8}, isRestart);
	const cold = new ColdMonitor({
		clock,
		logger: silentLogger,
		metrics: new Metrics(),
		limit: coldLimit,
		onLimitChanged: () => undefined,
		askHealthPath: () => undefined,
	});
	const monitor: BackendMonitor = new BackendMonitor({
		clock,
		logger: silentLogger,
		executor,
		gossip,
		cold,
		revisions: new RevisionTracker(),
		announcementTimeout: 9000,
		isRestart,
		ownService,
	});
	return {clock, gossip, executor, monitor, coldLimit};
}

function createAnnouncement(
	startedAt: Millis,
	sequence: number,
	change?: Partial<Announcement>,
): Announcement {
	return {
		service: 's',
		address: '127.0.0.1',
		port: 9,
		slots: 4,
		connections: 10,
		instance: `i-${startedAt}`,
		state: AnnouncedState.Serving,
		healthPath: '',
		startedAt,
		sequence,
		warmUpLeft: 0,
		...change,
	};
}

const draining = {state: AnnouncedState.Draining};

describe('BackendMonitor', () => {
	it('drains a backend server that says in an answer that it leaves, whatever it announces later', () => {
		const {monitor, executor, gossip, clock} = createFixture();
		monitor.handleAnnouncement(createAnnouncement(5, 1));
		const leaving = {rateLimit: undefined, isLeaving: true};
		executor.readNotice('i-4', leaving, clock.now());
		expect(monitor.state).toBe(BackendState.Warming);
		executor.readNotice('i-5', leaving, clock.now());
		expect(monitor.state).toBe(BackendState.Draining);
		expect(gossip.localMember.phase).toBe(MemberPhase.Draining);
		monitor.handleAnnouncement(createAnnouncement(5, 2));
		expect(monitor.state).toBe(BackendState.Draining);
		monitor.handleAnnouncement(createAnnouncement(6, 1));
		expect(monitor.state).toBe(BackendState.Warming);
	});

	it('ignores a late announcement of a backend server that departed before the node restarted', () => {
		const {monitor, executor} = createFixture(true);
		monitor.handleAnnouncement(createAnnouncement(5, 2));
		expect(monitor.state).toBe(BackendState.Absent);
		expect(executor.service).toBeUndefined();
		monitor.handleAnnouncement(createAnnouncement(5, 1));
		monitor.handleAnnouncement(createAnnouncement(5, 2));
		expect(monitor.state).toBe(BackendState.Absent);
		monitor.handleAnnouncement(createAnnouncement(5, 4, draining));
		expect(monitor.state).toBe(BackendState.Draining);
	});

	it('attaches the backend server after a restart of the node once a later announcement or its health path confirms it', () => {
		const announced = createFixture(true);
		announced.monitor.handleAnnouncement(createAnnouncement(5, 2));
		announced.monitor.handleAnnouncement(createAnnouncement(5, 3));
		expect(announced.executor.service).toBe('s');
		const probed = createFixture(true);
		probed.monitor.handleAnnouncement(createAnnouncement(5, 2));
		probed.monitor.handleAnnouncement(
			createAnnouncement(5, 0, {startedAt: undefined, sequence: undefined}),
		);
		expect(probed.executor.service).toBe('s');
		probed.monitor.handleAnnouncement(createAnnouncement(5, 3));
		expect(probed.monitor.state).not.toBe(BackendState.Absent);
	});

	// Guards against requests to a backend server that left before the node restarted, by two late announcements.
	it('attaches no backend server by late announcements while its health path tells that it takes no requests', () => {
		const {monitor} = createFixture(true);
		monitor.handleUnready('i-5');
		monitor.handleAnnouncement(createAnnouncement(5, 2));
		monitor.handleAnnouncement(createAnnouncement(5, 3));
		expect(monitor.state).toBe(BackendState.Absent);
		expect(monitor.isInDoubt).toBe(true);
		monitor.handleAnnouncement(createAnnouncement(6, 2));
		monitor.handleAnnouncement(createAnnouncement(6, 3));
		expect(monitor.current?.instance).toBe('i-6');
	});

	// Guards against a sound backend server that stays out of use because its health path is wrong.
	it.each([
		['goes on announcing', {}, 9001],
		['is found by its health path', {startedAt: undefined, sequence: undefined}, 0],
		['leaves', draining, 0],
	])('hears a backend server that %s after its health path refused', (_, change, delay) => {
		const {monitor, clock} = createFixture(true);
		monitor.handleUnready('i-5');
		monitor.handleAnnouncement(createAnnouncement(5, 2));
		monitor.handleAnnouncement(createAnnouncement(5, 3));
		clock.advance(delay);
		expect(monitor.handleAnnouncement(createAnnouncement(5, 4, change))).toBe(
			AnnouncementEnd.Accepted,
		);
		expect(monitor.isPresent).toBe(true);
		expect(monitor.isInDoubt).toBe(delay === 0);
	});

	it('keeps the backend server found by its health path despite a late announcement of another start', () => {
		const {monitor} = createFixture(true);
		monitor.handleAnnouncement(
			createAnnouncement(9, 0, {startedAt: undefined, sequence: undefined}),
		);
		monitor.handleAnnouncement(createAnnouncement(5, 7));
		expect(monitor.current?.instance).toBe('i-9');
		monitor.handleAnnouncement(createAnnouncement(9, 1));
		expect(monitor.current?.startedAt).toBe(9);
	});

	it('stays draining when an older announcement arrives late', () => {
		const {monitor, gossip} = createFixture();
		monitor.handleAnnouncement(createAnnouncement(5, 1));
		monitor.handleAnnouncement(createAnnouncement(5, 3, draining));
		monitor.handleAnnouncement(createAnnouncement(5, 2));
		expect(monitor.state).toBe(BackendState.Draining);
		expect(gossip.localMember.phase).toBe(MemberPhase.Draining);
	});

	it('stays draining when the same start announces again that it serves, even after the announcement timeout', () => {
		const {monitor, clock} = createFixture();
		monitor.handleAnnouncement(createAnnouncement(5, 1));
		monitor.handleAnnouncement(createAnnouncement(5, 2, draining));
		monitor.handleAnnouncement(createAnnouncement(5, 3));
		expect(monitor.state).toBe(BackendState.Draining);
		clock.advance(10_000);
		expect(monitor.state).toBe(BackendState.Absent);
		monitor.handleAnnouncement(createAnnouncement(5, 4));
		expect(monitor.state).toBe(BackendState.Draining);
	});

	it('ignores a late announcement of an earlier start while a later one is attached', () => {
		const {monitor, executor} = createFixture();
		monitor.handleAnnouncement(createAnnouncement(9, 1, {service: 'new'}));
		monitor.handleAnnouncement(createAnnouncement(5, 7, {service: 'old'}));
		expect(executor.service).toBe('new');
		monitor.handleAnnouncement(createAnnouncement(5, 8, {service: 'old', ...draining}));
		expect(monitor.state).not.toBe(BackendState.Draining);
	});

	// Guards against an odd announcement by which a node acknowledges that its server leaves, and ignores it.
	it.each([
		['an unknown service', {service: 'unknown'}],
		['another service than its start', {service: 'unknown', ...draining}],
		['an unknown service, by another instance', {service: 'unknown', instance: 'i-x'}],
		['an unknown service, without a start', {service: 'unknown', startedAt: undefined}],
	])('is not changed by an announcement of %s', (_, change) => {
		const {monitor, executor} = createFixture(false, 's');
		monitor.handleAnnouncement(createAnnouncement(5, 1));
		const odd = createAnnouncement(5, 1000, change);
		expect(monitor.handleAnnouncement(odd)).toBe(AnnouncementEnd.Refused);
		expect(executor.service).toBe('s');
		expect(monitor.current).toMatchObject({instance: 'i-5', sequence: 1});
		const leaving = createAnnouncement(5, 2, draining);
		expect(monitor.handleAnnouncement(leaving)).toBe(AnnouncementEnd.Accepted);
		expect(monitor.state).toBe(BackendState.Draining);
	});

	it('obeys each leaving of its start that it acknowledges, also a late one', () => {
		const {monitor} = createFixture();
		monitor.handleAnnouncement(createAnnouncement(5, 7));
		const earlier = createAnnouncement(4, 9, draining);
		expect(monitor.handleAnnouncement(earlier)).toBe(AnnouncementEnd.Superseded);
		const repeated = createAnnouncement(5, 7);
		expect(monitor.handleAnnouncement(repeated)).toBe(AnnouncementEnd.Superseded);
		expect(monitor.state).toBe(BackendState.Warming);
		const late = createAnnouncement(5, 6, draining);
		expect(monitor.handleAnnouncement(late)).toBe(AnnouncementEnd.Accepted);
		expect(monitor.state).toBe(BackendState.Draining);
		expect(monitor.handleAnnouncement(createAnnouncement(5, 7))).toBe(AnnouncementEnd.Superseded);
		monitor.handleAnnouncement(createAnnouncement(5, 8));
		expect(monitor.state).toBe(BackendState.Draining);
	});

	// Guards against one announcement of another writer that makes all later ones of a running server count as late.
	it.each([5, 10, 1000, Number.MAX_SAFE_INTEGER])(
		'hears its backend server behind an announcement with the sequence number %i',
		(odd) => {
			const {monitor, clock} = createFixture();
			for (let sequence = 1; sequence <= 4; sequence += 1) {
				monitor.handleAnnouncement(createAnnouncement(5, sequence));
				clock.advance(1500);
			}

			monitor.handleAnnouncement(createAnnouncement(5, odd));
			for (let sequence = 5; sequence <= 20; sequence += 1) {
				clock.advance(1500);
				monitor.handleAnnouncement(createAnnouncement(5, sequence));
				expect(monitor.isPresent).toBe(true);
			}

			const last = createAnnouncement(5, 20);
			expect(monitor.handleAnnouncement(last)).toBe(AnnouncementEnd.Superseded);
			const leaving = createAnnouncement(5, 21, draining);
			expect(monitor.handleAnnouncement(leaving)).toBe(AnnouncementEnd.Accepted);
			expect(monitor.state).toBe(BackendState.Draining);
		},
	);

	// Also if that announcement is the first one that the node gets.
	it.each([false, true])(
		'hears its backend server behind a first announcement with a high number (restart %s)',
		(isRestart) => {
			const {monitor, clock} = createFixture(isRestart);
			monitor.handleAnnouncement(createAnnouncement(5, 1000));
			for (let sequence = 4; sequence <= 20; sequence += 1) {
				clock.advance(1500);
				monitor.handleAnnouncement(createAnnouncement(5, sequence));
				expect(monitor.isPresent).toBe(!isRestart || sequence > 4);
			}

			expect(monitor.current?.sequence).toBe(20);
		},
	);

	it('ignores a late announcement behind others that were lost', () => {
		const {monitor, clock} = createFixture();
		monitor.handleAnnouncement(createAnnouncement(5, 1));
		clock.advance(6000);
		const next = createAnnouncement(5, 5);
		expect(monitor.handleAnnouncement(next)).toBe(AnnouncementEnd.Accepted);
		const late = createAnnouncement(5, 4);
		expect(monitor.handleAnnouncement(late)).toBe(AnnouncementEnd.Superseded);
	});

	it('takes no start of a service that neither the settings nor the configuration name', () => {
		const {monitor, executor} = createFixture(false, 's');
		expect(monitor.handleAnnouncement(createAnnouncement(5, 1))).toBe(AnnouncementEnd.Accepted);
		const other = createAnnouncement(9, 1, {service: 'other'});
		expect(monitor.handleAnnouncement(other)).toBe(AnnouncementEnd.Refused);
		expect(executor.service).toBe('s');
	});

	it('accepts a new start of the same instance whose sequence numbers begin again', () => {
		const {monitor, gossip} = createFixture();
		monitor.handleAnnouncement(createAnnouncement(5, 9, {instance: 'i-same'}));
		monitor.handleAnnouncement(createAnnouncement(5, 10, {instance: 'i-same', ...draining}));
		monitor.handleAnnouncement(createAnnouncement(8, 0, {instance: 'i-same'}));
		expect(gossip.localMember.phase).toBe(MemberPhase.Serving);
	});

	it('drains a backend server on its departure and ignores its later announcements', () => {
		const {monitor, gossip} = createFixture();
		monitor.handleAnnouncement(createAnnouncement(5, 1));
		monitor.handleDeparture({instance: 'i-5', startedAt: 5});
		expect(monitor.state).toBe(BackendState.Draining);
		monitor.handleAnnouncement(createAnnouncement(5, 2));
		expect(monitor.state).toBe(BackendState.Draining);
		monitor.handleAnnouncement(createAnnouncement(6, 0));
		expect(gossip.localMember.phase).toBe(MemberPhase.Serving);
	});

	it('drains a backend server whose departure does not name its start', () => {
		const {monitor} = createFixture();
		monitor.handleAnnouncement(createAnnouncement(5, 1));
		monitor.handleDeparture({instance: 'i-5', startedAt: undefined});
		expect(monitor.state).toBe(BackendState.Draining);
		monitor.handleAnnouncement(createAnnouncement(5, 2));
		expect(monitor.state).toBe(BackendState.Draining);
	});

	it('ignores the late departure of an earlier start', () => {
		const {monitor, gossip} = createFixture();
		monitor.handleAnnouncement(createAnnouncement(5, 1));
		monitor.handleAnnouncement(createAnnouncement(8, 1));
		monitor.handleDeparture({instance: 'i-5', startedAt: 5});
		expect(gossip.localMember.phase).toBe(MemberPhase.Serving);
	});

	it('treats the backend server as cold until its heartbeats say that it is not', () => {
		const {monitor, coldLimit, clock} = createFixture();
		monitor.handleAnnouncement(createAnnouncement(5, 1, {warmUpLeft: 3000}));
		expect(coldLimit.coldness).toBe(Coldness.Cold);
		monitor.handleAnnouncement(createAnnouncement(5, 2, {warmUpLeft: 0}));
		expect(coldLimit.coldness).toBe(Coldness.Warm);
		monitor.assumeCold();
		clock.advance(100);
		expect(coldLimit.coldness).toBe(Coldness.Unknown);
		// A heartbeat that arrives late tells nothing of the time after the assumption.
		monitor.handleAnnouncement(createAnnouncement(5, 1, {warmUpLeft: 0}));
		expect(coldLimit.coldness).toBe(Coldness.Unknown);
		monitor.handleAnnouncement(createAnnouncement(5, 3, {warmUpLeft: 0}));
		expect(coldLimit.coldness).toBe(Coldness.Warm);
		monitor.handleAnnouncement(createAnnouncement(6, 1, {warmUpLeft: 2000}));
		expect(coldLimit.coldness).toBe(Coldness.Cold);
	});

	it('treats a backend server that was found by its health path after a restart as cold until it tells', () => {
		const {monitor, coldLimit, executor, clock} = createFixture(true);
		const found = {startedAt: undefined, sequence: undefined, warmUpLeft: undefined};
		monitor.handleAnnouncement(createAnnouncement(5, 0, found));
		expect(executor.service).toBe('s');
		expect(coldLimit.coldness).toBe(Coldness.Unknown);
		// The rate that the backend server tolerates is not known yet: the allowance alone applies.
		expect(coldLimit.max).toBe(8);
		monitor.handleAnnouncement(createAnnouncement(5, 1, {warmUpLeft: 0}));
		expect(coldLimit.coldness).toBe(Coldness.Warm);
		clock.advance(400);
		expect(coldLimit.max).toBeUndefined();
	});
});
