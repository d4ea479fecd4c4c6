import fc from 'fast-check';
import {pack, unpack} from 'msgpackr';
import {describe, expect, it} from 'vitest';
import {AttemptState, RefusalReason} from '../../../call/index.js';
import {
	decodeFrame,
	encodeFrame,
	FrameDecodeError,
	FrameType,
	OpenTarget,
	type Frame,
} from '../../index.js';

const zone = {room: 1, load: 1.25, otherLoad: 0.5, zoneLoad: 0.75, zoneOtherLoad: 0.1};
const load = {
	inFlight: 3,
	queued: 1,
	slots: 10,
	serviceTime: 12.5,
	failureShare: 0.25,
	slowdown: 7,
};
const open: Frame = {
	type: FrameType.Open,
	stream: 2,
	target: OpenTarget.Executor,
	sequence: 9,
	service: 's',
	customer: 'c',
	method: 'POST',
	path: '/',
	headers: ['x', 'y'],
	isIdempotent: false,
	key: undefined,
	origin: {requestId: 'r1', caller: 'a', route: 'r', priority: 2},
	fingerprint: 'f',
	share: 1,
	canRetryElsewhere: true,
	timeLeft: 12.5,
	objectiveLeft: 4.25,
	body: Uint8Array.from([1, 2]),
};
const frames: Frame[] = [
	{type: FrameType.Challenge, version: 1, nonce: 'n'},
	{type: FrameType.Hello, version: 1, id: 'a', instance: 'i', region: 'r', nonce: 'n', proof: 'p'},
	{type: FrameType.Welcome, id: 'a', instance: 'i', region: 'r', proof: 'p'},
	{
		type: FrameType.Open,
		stream: 2,
		target: OpenTarget.KeyOwner,
		sequence: 9,
		service: 's',
		customer: 'c',
		method: 'POST',
		path: '/',
		headers: ['x', 'y'],
		isIdempotent: false,
		key: undefined,
		origin: {requestId: 'r1', caller: 'a', route: 'r', priority: 2},
		fingerprint: 'f',
		share: 1,
		canRetryElsewhere: true,
		timeLeft: 12.5,
		objectiveLeft: 4.25,
		body: undefined,
	},
	{
		type: FrameType.Open,
		stream: 4,
		target: OpenTarget.Executor,
		sequence: 10,
		service: 's',
		customer: '',
		method: 'GET',
		path: '/',
		headers: [],
		isIdempotent: true,
		key: undefined,
		origin: {requestId: 'r1.1', caller: 'a', route: 'r', priority: 1.5, isNested: true},
		fingerprint: 'f',
		share: 0.25,
		canRetryElsewhere: false,
		timeLeft: 12.5,
		objectiveLeft: 4.25,
		body: undefined,
	},
	{
		type: FrameType.Open,
		stream: 6,
		target: OpenTarget.Executor,
		sequence: 11,
		service: 's',
		customer: '',
		method: 'POST',
		path: '/upload',
		headers: ['content-length', '100000'],
		isIdempotent: false,
		key: undefined,
		origin: {requestId: 'r2', caller: 'a', route: 'r', priority: 2},
		fingerprint: 'f',
		share: 1,
		canRetryElsewhere: true,
		timeLeft: 4000,
		objectiveLeft: 2000,
		body: undefined,
		transferTime: 114.286,
	},
	{type: FrameType.Credit, stream: 2, bytes: 100},
	{type: FrameType.End, stream: 2, trailers: ['a', 'b']},
	{type: FrameType.Refused, stream: 2, reason: RefusalReason.Draining, load},
	{
		type: FrameType.Refused,
		stream: 2,
		reason: RefusalReason.RateLimited,
		load: {...load, rateLimit: 4.5, untilStart: 120},
	},
	{type: FrameType.Failed, stream: 2, reason: RefusalReason.BackendLost},
	{type: FrameType.Cancel, stream: 2},
	{type: FrameType.AttemptQuery, correlationId: 1, sequence: 9},
	{type: FrameType.AttemptStatus, correlationId: 1, state: AttemptState.Ran},
	{type: FrameType.Heartbeat},
	{type: FrameType.Leaving},
	{type: FrameType.Load, load},
	{type: FrameType.Load, load: {...load, linkRate: 7}},
	{type: FrameType.Load, load: {...load, rateLimit: 4.5, untilStart: 120, linkRate: 7}},
	{type: FrameType.Fetch, correlationId: 3, hash: 'h', base: undefined},
	{type: FrameType.Fetch, correlationId: 3, hash: 'h', base: 'b'},
	{
		type: FrameType.FetchResult,
		correlationId: 3,
		content: undefined,
		delta: undefined,
		deflated: undefined,
		isDelta: false,
	},
	{
		type: FrameType.FetchResult,
		correlationId: 3,
		content: undefined,
		delta: '{}',
		deflated: undefined,
		isDelta: true,
	},
	{
		type: FrameType.FetchResult,
		correlationId: 3,
		content: undefined,
		delta: undefined,
		deflated: Buffer.from([1, 2]),
		isDelta: true,
	},
	{type: FrameType.Load, load: {...load, zone: {...zone, room: 0.25}}},
	{type: FrameType.Load, load: {...load, zone: {...zone, room: -1}}},
	{
		type: FrameType.Load,
		load: {...load, rateLimit: 4.5, untilStart: 120, zone},
	},
	{type: FrameType.HandoverAck, correlationId: 4},
];

describe('frame codec', () => {
	it.each(frames)('decodes an encoded frame of type $type to an equal frame', (frame) => {
		expect(decodeFrame(encodeFrame(frame))).toEqual(frame);
	});

	it('adds no bytes to a load report without a decision on zones, and appends its fields otherwise', () => {
		// Builds from before these fields read the first eight and ignore the others.
		const plain = unpack(encodeFrame({type: FrameType.Load, load})) as [number, unknown[]];
		expect(plain[1]).toHaveLength(6);
		const frame: Frame = {type: FrameType.Load, load: {...load, zone: {...zone, room: 0.5}}};
		const [, fields] = unpack(encodeFrame(frame)) as [number, unknown[]];
		expect(fields.slice(0, 6)).toEqual(plain[1]);
		expect(fields.slice(6)).toEqual([undefined, undefined, undefined, 150, 125, 50, 75, 10]);
	});

	it('encodes a refusal by a short zone as busy for builds that do not know the reason', () => {
		const reason = RefusalReason.ZoneShort;
		const bytes = encodeFrame({type: FrameType.Refused, stream: 2, reason, load: undefined});
		expect((unpack(bytes) as unknown[])[2]).toBe(RefusalReason.Busy);
		expect(decodeFrame(bytes)).toMatchObject({reason});
	});

	it('encodes a refusal by a rate limit as busy for builds that do not know the reason', () => {
		const reason = RefusalReason.RateLimited;
		const bytes = encodeFrame({type: FrameType.Refused, stream: 2, reason, load: undefined});
		const fields = unpack(bytes) as unknown[];
		expect(fields).toEqual([FrameType.Refused, 2, RefusalReason.Busy, undefined, reason]);
		expect(decodeFrame(pack(fields.slice(0, 4)))).toMatchObject({reason: RefusalReason.Busy});
		expect(decodeFrame(pack([...fields.slice(0, 4), 'later']))).toMatchObject({
			reason: RefusalReason.Busy,
		});
	});

	it.each([[['north', 'south']], [[]]])(
		'appends the allowed regions %j of a call, which earlier builds ignore',
		(allowedRegions) => {
			const plain = unpack(encodeFrame(open)) as unknown[];
			const bytes = encodeFrame({...open, allowedRegions});
			const fields = unpack(bytes) as unknown[];
			expect(fields.slice(0, -1)).toEqual(plain);
			expect(decodeFrame(bytes)).toMatchObject({type: FrameType.Open, allowedRegions});
			expect(decodeFrame(encodeFrame(open))).toMatchObject({allowedRegions: undefined});
		},
	);

	it('rejects allowed regions that are not strings', () => {
		const fields = unpack(encodeFrame(open)) as unknown[];
		expect(() => decodeFrame(pack([...fields, [1]]))).toThrow(FrameDecodeError);
		expect(() => decodeFrame(pack([...fields, 'north']))).toThrow(FrameDecodeError);
	});

	it('preserves the bytes of a Data frame', () => {
		const bytes = Uint8Array.from([1, 2, 3]);
		const frame = decodeFrame(encodeFrame({type: FrameType.Data, stream: 4, bytes}));
		expect(frame).toMatchObject({type: FrameType.Data, stream: 4});
		expect(frame.type === FrameType.Data && [...frame.bytes]).toEqual([1, 2, 3]);
	});

	it('decodes arbitrary bytes or throws FrameDecodeError', () => {
		fc.assert(
			fc.property(fc.uint8Array({maxLength: 200}), (bytes) => {
				try {
					decodeFrame(bytes);
				} catch (err) {
					expect(err).toBeInstanceOf(FrameDecodeError);
				}
			}),
			{seed: 20_261_204, numRuns: 3000},
		);
	});

	it('decodes a frame with one corrupted byte or throws FrameDecodeError', () => {
		fc.assert(
			fc.property(
				fc.nat(frames.length - 1),
				fc.nat(),
				fc.integer({min: 0, max: 255}),
				(which, at, value) => {
					const bytes = Uint8Array.from(encodeFrame(frames[which]!));
					bytes[at % bytes.length] = value;
					try {
						decodeFrame(bytes);
					} catch (err) {
						expect(err).toBeInstanceOf(FrameDecodeError);
					}
				},
			),
			{seed: 20_261_204, numRuns: 3000},
		);
	});
});
