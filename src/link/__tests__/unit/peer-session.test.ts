import {describe, expect, it} from 'vitest';
import {AttemptState, Deadline, RefusalReason} from '../../../call/index.js';
import {ManualClock} from '../../../clock/index.js';
import {createUnknown} from '../../../exchange/index.js';
import {createTestAttempt} from '../../../exchange/__tests__/test-attempt.js';
import {OpenTarget, PeerSession} from '../../index.js';
import type {Link} from '../../link.js';
import {silenceTimeout} from '../../link-limits.js';

function createSession() {
	const clock = new ManualClock(1000);
	const link = {
		lastReceived: clock.now(),
		lastSent: clock.now(),
		openStream: () => 2,
		send: () => undefined,
	};
	const session = new PeerSession(link as unknown as Link, 'i', 'peer', {
		now: () => clock.now(),
		after: (delay, run) => clock.after(delay, run),
		staleness: () => 0,
		runnerFor: () => ({run: async () => createUnknown(RefusalReason.Canceled)}),
		queryAndFence: () => AttemptState.Fenced,
		getContent: () => ({content: undefined, delta: undefined}),
		deflate: () => undefined,
		acceptHandover: () => undefined,
		peerLeaving: () => undefined,
		peerLoadReported: () => undefined,
		lateFrame: () => undefined,
		callStarted: () => undefined,
		resolveLostAttempt: async () => createUnknown(RefusalReason.ExecutorLost),
		fenceSilentAttempt: async () => false,
	});
	const send = () => {
		const deadline = new Deadline(clock.now() + 60_000);
		const id = {instance: 'self', sequence: 1};
		const attempt = createTestAttempt({id, deadline, objective: deadline});
		void session.run(attempt, OpenTarget.Executor);
	};

	return {clock, link, session, send};
}

describe('PeerSession', () => {
	// A peer sends nothing on a link without calls, so that its silence there says nothing.
	it('does not count a link as silent for the time before its first call in flight', () => {
		const {clock, session, send} = createSession();
		clock.advance(10_000);
		expect(session.isSilent).toBe(false);
		send();
		clock.advance(silenceTimeout);
		expect(session.isSilent).toBe(false);
		clock.advance(1);
		expect(session.isSilent).toBe(true);
	});

	it('counts a link as silent from the last frame on, whatever calls start later', () => {
		const {clock, link, session, send} = createSession();
		send();
		clock.advance(500);
		link.lastReceived = clock.now();
		clock.advance(silenceTimeout);
		send();
		clock.advance(1);
		expect(session.isSilent).toBe(true);
	});
});
