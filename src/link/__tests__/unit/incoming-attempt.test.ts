import {Readable} from 'node:stream';
import {describe, expect, it} from 'vitest';
import {AttemptEnd, createStreamBody, type AttemptResult} from '../../../exchange/index.js';
import {withResolvers} from '../../../util/index.js';
import {FrameType, OpenTarget, type OpenFrame} from '../../frame.js';
import {IncomingAttempt} from '../../incoming-attempt.js';
import type {Link} from '../../link.js';

const frame: OpenFrame = {
	type: FrameType.Open,
	stream: 1,
	target: OpenTarget.Executor,
	sequence: 1,
	service: 's',
	customer: '',
	method: 'PUT',
	path: '/',
	headers: [],
	isIdempotent: false,
	key: undefined,
	origin: {requestId: 'r1', caller: '', route: 'r', priority: 0},
	fingerprint: 'f',
	share: 1,
	canRetryElsewhere: false,
	timeLeft: 1000,
	objectiveLeft: 1000,
	body: new Uint8Array(),
	allowedRegions: undefined,
	transferTime: undefined,
};

describe('IncomingAttempt', () => {
	// Guards against a slot that is held by an answer for which no credit can arrive.
	it.each([
		[
			'its link was lost',
			(attempt: IncomingAttempt) => {
				attempt.handlePeerLost();
			},
		],
		[
			'its receiver has canceled',
			(attempt: IncomingAttempt) => attempt.receive({type: FrameType.Cancel, stream: 1}),
		],
	])('ends an answer that begins after %s', async (_, abandon) => {
		const {promise, resolve} = withResolvers<AttemptResult>();
		const source = new Readable({
			read() {
				this.push(new Uint8Array(16_384));
			},
		});
		let ended = 0;
		const link = {send: () => undefined} as unknown as Link;
		const attempt = new IncomingAttempt(link, frame, () => {
			ended += 1;
		});
		const ran = attempt.run({run: async () => promise}, attempt.toAttempt('i', 0, 0));
		abandon(attempt);
		const body = createStreamBody(source);
		resolve({end: AttemptEnd.Answered, status: 200, headers: [], load: undefined, body});
		await ran;
		expect(source.destroyed).toBe(true);
		expect(ended).toBe(1);
	});
});
