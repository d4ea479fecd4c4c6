import {describe, expect, it} from 'vitest';
import {BackendState} from '../../../backend/index.js';
import {ManualClock, type Millis} from '../../../clock/index.js';
import {RevisionTracker} from '../../../declaration/index.js';
import {Executor, TurmericBackendProtocol} from '../../../executor/index.js';
import {MemberPhase} from '../../../membership/index.js';
import {createTestGossip} from '../../../membership/__tests__/test-gossip.js';
import {Metrics, silentLogger} from '../../../telemetry/index.js';
import {AnnouncedState, type Announcement} from '../../announcement.js';
import {BackendMonitor} from '../../backend-keeper.js';

function createWorld(isRestart = false) {
	const clock = new ManualClock(1000);
	const gossip = createTestGossip(clock);
	const executor = new Executor({
		clock,
		metrics: new Metrics(),
		logger: silentLogger,
		protocol: new TurmericBackendProtocol(),
		crashWatch: {
			isHeld: () => false,
			recordAnswered: () => undefined,
			recordBroken: () => undefined,
		},
		onBackendUnreachable: () => undefined,
		onLoadChanged: () => undefined,
		probeSpeed: async () => undefined,
	});
	const keeper = new BackendMonitor({
		clock,
		logger: silentLogger,
		executor,
		gossip,
		revisions: new RevisionTracker(),
		announcementTimeout: 9000,
		isRestart,
	});
	return {clock, gossip, executor, keeper};
}

function announce(
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

describe('BackendKeeper', () => {
	it('takes no late announcement for a backend server that left before the node was restarted', () => {
		const {keeper, executor} = createWorld(true);
		keeper.handleAnnouncement(announce(5, 2));
		expect(keeper.state).toBe(BackendState.Absent);
		expect(executor.service).toBeUndefined();
		keeper.handleAnnouncement(announce(5, 1));
		keeper.handleAnnouncement(announce(5, 2));
		expect(keeper.state).toBe(BackendState.Absent);
		keeper.handleAnnouncement(announce(5, 4, draining));
		expect(keeper.state).toBe(BackendState.Draining);
	});

	it('takes the backend server back after a restart when a later announcement or its health confirms it', () => {
		const told = createWorld(true);
		told.keeper.handleAnnouncement(announce(5, 2));
		told.keeper.handleAnnouncement(announce(5, 3));
		expect(told.executor.service).toBe('s');
		const asked = createWorld(true);
		asked.keeper.handleAnnouncement(announce(5, 2));
		asked.keeper.handleAnnouncement(announce(5, 0, {startedAt: undefined, sequence: undefined}));
		expect(asked.executor.service).toBe('s');
		asked.keeper.handleAnnouncement(announce(5, 3));
		expect(asked.keeper.state).not.toBe(BackendState.Absent);
	});

	it('keeps the backend server that its health path told of against a late one of another start', () => {
		const {keeper} = createWorld(true);
		keeper.handleAnnouncement(announce(9, 0, {startedAt: undefined, sequence: undefined}));
		keeper.handleAnnouncement(announce(5, 7));
		expect(keeper.current?.instance).toBe('i-9');
		keeper.handleAnnouncement(announce(9, 1));
		expect(keeper.current?.startedAt).toBe(9);
	});

	it('stays draining when an older announcement comes late', () => {
		const {keeper, gossip} = createWorld();
		keeper.handleAnnouncement(announce(5, 1));
		keeper.handleAnnouncement(announce(5, 3, draining));
		keeper.handleAnnouncement(announce(5, 2));
		expect(keeper.state).toBe(BackendState.Draining);
		expect(gossip.localMember.phase).toBe(MemberPhase.Draining);
	});

	it('stays draining when the same start says again that it is ready, also after a silence', () => {
		const {keeper, clock} = createWorld();
		keeper.handleAnnouncement(announce(5, 1));
		keeper.handleAnnouncement(announce(5, 2, draining));
		keeper.handleAnnouncement(announce(5, 3));
		expect(keeper.state).toBe(BackendState.Draining);
		clock.advance(10_000);
		expect(keeper.state).toBe(BackendState.Absent);
		keeper.handleAnnouncement(announce(5, 4));
		expect(keeper.state).toBe(BackendState.Draining);
	});

	it('does not take a late announcement of an earlier start for the server that is there', () => {
		const {keeper, executor} = createWorld();
		keeper.handleAnnouncement(announce(9, 1, {service: 'new'}));
		keeper.handleAnnouncement(announce(5, 7, {service: 'old'}));
		expect(executor.service).toBe('new');
		keeper.handleAnnouncement(announce(5, 8, {service: 'old', ...draining}));
		expect(keeper.state).not.toBe(BackendState.Draining);
	});

	it('takes a new start under the same id whose numbers begin anew', () => {
		const {keeper, gossip} = createWorld();
		keeper.handleAnnouncement(announce(5, 9, {instance: 'i-same'}));
		keeper.handleAnnouncement(announce(5, 10, {instance: 'i-same', ...draining}));
		keeper.handleAnnouncement(announce(8, 0, {instance: 'i-same'}));
		expect(gossip.localMember.phase).toBe(MemberPhase.Serving);
	});

	it('drains a backend server that deregisters first, and ignores what it says afterwards', () => {
		const {keeper, gossip} = createWorld();
		keeper.handleAnnouncement(announce(5, 1));
		keeper.handleDeparture({instance: 'i-5', startedAt: 5});
		expect(keeper.state).toBe(BackendState.Draining);
		keeper.handleAnnouncement(announce(5, 2));
		expect(keeper.state).toBe(BackendState.Draining);
		keeper.handleAnnouncement(announce(6, 0));
		expect(gossip.localMember.phase).toBe(MemberPhase.Serving);
	});

	it('drains a backend server whose departure does not tell its start', () => {
		const {keeper} = createWorld();
		keeper.handleAnnouncement(announce(5, 1));
		keeper.handleDeparture({instance: 'i-5', startedAt: undefined});
		expect(keeper.state).toBe(BackendState.Draining);
		keeper.handleAnnouncement(announce(5, 2));
		expect(keeper.state).toBe(BackendState.Draining);
	});

	it('is not moved by the late deregistration of an earlier start', () => {
		const {keeper, gossip} = createWorld();
		keeper.handleAnnouncement(announce(5, 1));
		keeper.handleAnnouncement(announce(8, 1));
		keeper.handleDeparture({instance: 'i-5', startedAt: 5});
		expect(gossip.localMember.phase).toBe(MemberPhase.Serving);
	});
});
