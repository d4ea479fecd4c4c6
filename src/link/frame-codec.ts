import {Packr} from 'msgpackr';
import {
	AttemptState,
	RefusalReason,
	type HeaderList,
	type LoadReport,
	type RequestOrigin,
	type ZoneReport,
} from '../call/index.js';
import {FrameType, OpenTarget, type Frame, type OpenFrame, type RefusedFrame} from './frame.js';

/** The bytes are not a valid frame of this protocol. */
export class FrameDecodeError extends Error {
	override name = 'FrameDecodeError';
}

const packr = new Packr({useRecords: false});
const percent = 100;
const reasons = new Set<string>(Object.values(RefusalReason));
/** Reasons that earlier builds cannot decode, with the reason that these read instead. */
const earlierReasons: Readonly<Partial<Record<RefusalReason, RefusalReason>>> = {
	[RefusalReason.RateLimited]: RefusalReason.Busy,
	[RefusalReason.BackendCold]: RefusalReason.Busy,
	[RefusalReason.ZoneShort]: RefusalReason.Busy,
	[RefusalReason.ZoneEvacuated]: RefusalReason.Draining,
	[RefusalReason.RegionNotAllowed]: RefusalReason.NoBackend,
	[RefusalReason.UnknownKey]: RefusalReason.NoBackend,
	[RefusalReason.QuotaExceeded]: RefusalReason.CustomerShare,
};
/** Position of the bandwidth in a load report, behind fields that may be absent. */
const linkRateIndex = 8;
const attemptStates = [
	AttemptState.Fenced,
	AttemptState.Admitted,
	AttemptState.Ran,
	AttemptState.Refused,
	AttemptState.Forgotten,
] as const;

// Rounds to three decimals, which reduces the encoded size: traffic on some links is billed.
function round(value: number): number {
	return Math.round(value * 1000) / 1000;
}

function padded(fields: ReadonlyArray<number | undefined>, length: number) {
	return [...fields, ...Array.from({length: length - fields.length}, () => undefined)];
}

function packLoad(load: LoadReport | undefined): ReadonlyArray<number | undefined> | undefined {
	if (!load) {
		return undefined;
	}

	const {inFlight, queued, slots, serviceTime, failureShare, slowdown, rateLimit} = load;
	const times = [round(serviceTime), round(failureShare), round(slowdown)];
	const rates = rateLimit === undefined ? [] : [round(rateLimit), round(load.untilStart ?? 0)];
	const fields = [inFlight, queued, slots, ...times, ...rates];
	if (load.linkRate === undefined && load.zone === undefined) {
		return fields;
	}

	const zone = load.zone === undefined ? [] : packZone(load.zone);
	return [...padded(fields, linkRateIndex), load.linkRate, ...zone];
}

// In percent, as whole numbers are short. The room is shifted, as numbers on links are not negative.
function packZone({room, load, otherLoad, zoneLoad, zoneOtherLoad}: ZoneReport): number[] {
	const shares = [Math.min(1, Math.max(-1, room)) + 1, load, otherLoad, zoneLoad, zoneOtherLoad];
	return shares.map((share) => Math.round(share * percent));
}

function packRefused({type, stream, reason, load}: RefusedFrame): readonly unknown[] {
	const known = earlierReasons[reason];
	const fields = [type, stream, known ?? reason, packLoad(load)];
	return known === undefined ? fields : [...fields, reason];
}

function packOrigin(origin: RequestOrigin): readonly unknown[] {
	const fields = [origin.requestId, origin.caller, origin.route, origin.priority];
	return origin.isNested ? [...fields, true] : fields;
}

// Fields that earlier builds do not know end a frame; those that are undefined take no bytes there.
function withoutTrailingGap(fields: readonly unknown[]): readonly unknown[] {
	return fields.slice(0, fields.findLastIndex((field) => field !== undefined) + 1);
}

function packOpen(frame: OpenFrame): readonly unknown[] {
	return [
		frame.type,
		frame.stream,
		frame.target,
		frame.sequence,
		frame.service,
		frame.customer,
		frame.method,
		frame.path,
		frame.headers,
		frame.isIdempotent,
		frame.key,
		packOrigin(frame.origin),
		frame.fingerprint,
		frame.share,
		frame.canRetryElsewhere,
		round(frame.timeLeft),
		round(frame.objectiveLeft),
		frame.body,
		...withoutTrailingGap([
			frame.allowedRegions,
			frame.transferTime === undefined ? undefined : round(frame.transferTime),
		]),
	];
}

function packFields(frame: Frame): readonly unknown[] {
	const {type} = frame;
	switch (type) {
		case FrameType.Challenge: {
			return [type, frame.version, frame.nonce];
		}

		case FrameType.Hello: {
			const {version, id, instance, region, nonce, proof} = frame;
			return [type, version, id, instance, region, nonce, proof];
		}

		case FrameType.Welcome: {
			return [type, frame.id, frame.instance, frame.region, frame.proof];
		}

		case FrameType.Open: {
			return packOpen(frame);
		}

		case FrameType.Credit: {
			return [type, frame.stream, frame.bytes];
		}

		case FrameType.Data: {
			return [type, frame.stream, frame.bytes];
		}

		case FrameType.End: {
			return [type, frame.stream, frame.trailers];
		}

		case FrameType.Answer: {
			const {stream, status, headers, load, body, trailers, isDelimited} = frame;
			return [type, stream, status, headers, packLoad(load), body, trailers, isDelimited];
		}

		case FrameType.Refused: {
			return packRefused(frame);
		}

		case FrameType.Failed: {
			return [type, frame.stream, frame.reason];
		}

		case FrameType.Cancel: {
			return [type, frame.stream];
		}

		case FrameType.AttemptQuery: {
			return [type, frame.correlationId, frame.sequence];
		}

		case FrameType.AttemptStatus: {
			return [type, frame.correlationId, frame.state];
		}

		case FrameType.Heartbeat:
		case FrameType.Leaving: {
			return [type];
		}

		case FrameType.Load: {
			return [type, packLoad(frame.load)];
		}

		case FrameType.Fetch: {
			return [type, frame.correlationId, frame.hash, frame.base];
		}

		case FrameType.FetchResult: {
			const {correlationId, content, delta, deflated, isDelta} = frame;
			return [type, correlationId, content, delta, deflated, isDelta];
		}

		case FrameType.Handover: {
			return [type, frame.correlationId, frame.records];
		}

		case FrameType.HandoverAck: {
			return [type, frame.correlationId];
		}
	}
}

/** Reads the fields of a frame in order and validates their types. */
class FieldReader {
	private index = 0;

	constructor(private readonly fields: readonly unknown[]) {}

	text(): string {
		const value = this.take();
		if (typeof value !== 'string') {
			throw new FrameDecodeError('expected a string');
		}

		return value;
	}

	optionalText(): string | undefined {
		return this.optional(() => this.text());
	}

	number(): number {
		const value = this.take();
		if (typeof value !== 'number' || !Number.isFinite(value) || value < 0) {
			throw new FrameDecodeError('expected a finite number of at least 0');
		}

		return value;
	}

	optionalNumber(): number | undefined {
		return this.optional(() => this.number());
	}

	flag(): boolean {
		const value = this.take();
		if (typeof value !== 'boolean') {
			throw new FrameDecodeError('expected a boolean');
		}

		return value;
	}

	optionalFlag(): boolean | undefined {
		return this.optional(() => this.flag());
	}

	bytes(): Uint8Array {
		const value = this.take();
		if (!(value instanceof Uint8Array)) {
			throw new FrameDecodeError('expected bytes');
		}

		return value;
	}

	optionalBytes(): Uint8Array | undefined {
		return this.optional(() => this.bytes());
	}

	headers(): HeaderList {
		const value = this.list();
		const headers: HeaderList = [];
		for (const item of value) {
			if (typeof item !== 'string') {
				throw new FrameDecodeError('expected a header list of strings');
			}

			headers.push(item);
		}

		if (headers.length % 2 !== 0) {
			throw new FrameDecodeError('header list has a name without a value');
		}

		return headers;
	}

	reason(): RefusalReason {
		const value = this.text();
		if (!isReason(value)) {
			throw new FrameDecodeError('expected a refusal reason');
		}

		return value;
	}

	refusal(): {reason: RefusalReason; load: LoadReport | undefined} {
		const reason = this.reason();
		const load = this.optionalLoad();
		const precise = this.optionalText();
		return {reason: precise !== undefined && isReason(precise) ? precise : reason, load};
	}

	load(): LoadReport {
		const fields = new FieldReader(this.list());
		return {
			inFlight: fields.number(),
			queued: fields.number(),
			slots: fields.number(),
			serviceTime: fields.number(),
			failureShare: fields.number(),
			slowdown: fields.number(),
			rateLimit: fields.optionalNumber(),
			untilStart: fields.optionalNumber(),
			linkRate: fields.optionalNumber(),
			...fields.zone(),
		};
	}

	origin(): RequestOrigin {
		const fields = new FieldReader(this.list());
		return {
			requestId: fields.text(),
			caller: fields.text(),
			route: fields.text(),
			priority: fields.number(),
			isNested: fields.optionalFlag(),
		};
	}

	optionalTexts(): readonly string[] | undefined {
		return this.optional(() => {
			const fields = this.list();
			const texts = new FieldReader(fields);
			return fields.map(() => texts.text());
		});
	}

	optionalLoad(): LoadReport | undefined {
		return this.optional(() => this.load());
	}

	state(): AttemptState {
		const state = attemptStates[this.number()];
		if (state === undefined) {
			throw new FrameDecodeError('expected an attempt state');
		}

		return state;
	}

	target(): OpenTarget {
		return this.number() === 0 ? OpenTarget.Executor : OpenTarget.KeyOwner;
	}

	zone(): Pick<LoadReport, 'zone'> {
		const packedRoom = this.optionalNumber();
		if (packedRoom === undefined) {
			return {};
		}

		const share = () => (this.optionalNumber() ?? 0) / percent;
		const room = Math.min(2, packedRoom / percent) - 1;
		const [load, otherLoad, zoneLoad, zoneOtherLoad] = [share(), share(), share(), share()];
		return {zone: {room, load, otherLoad, zoneLoad, zoneOtherLoad}};
	}

	private list(): readonly unknown[] {
		const value = this.take();
		if (!Array.isArray(value)) {
			throw new FrameDecodeError('expected an array');
		}

		return value;
	}

	private optional<T>(read: () => T): T | undefined {
		if (this.fields[this.index] === undefined) {
			this.index += 1;
			return undefined;
		}

		return read();
	}

	private take(): unknown {
		const value = this.fields[this.index];
		this.index += 1;
		return value;
	}
}

function isReason(text: string): text is RefusalReason {
	return reasons.has(text);
}

type Decoder = (fields: FieldReader) => Frame;

const decoders: Readonly<Record<FrameType, Decoder>> = {
	[FrameType.Challenge]: (fields) => ({
		type: FrameType.Challenge,
		version: fields.number(),
		nonce: fields.text(),
	}),
	[FrameType.Hello]: (fields) => ({
		type: FrameType.Hello,
		version: fields.number(),
		id: fields.text(),
		instance: fields.text(),
		region: fields.text(),
		nonce: fields.text(),
		proof: fields.text(),
	}),
	[FrameType.Welcome]: (fields) => ({
		type: FrameType.Welcome,
		id: fields.text(),
		instance: fields.text(),
		region: fields.text(),
		proof: fields.text(),
	}),
	[FrameType.Open]: (fields) => ({
		type: FrameType.Open,
		stream: fields.number(),
		target: fields.target(),
		sequence: fields.number(),
		service: fields.text(),
		customer: fields.text(),
		method: fields.text(),
		path: fields.text(),
		headers: fields.headers(),
		isIdempotent: fields.flag(),
		key: fields.optionalText(),
		origin: fields.origin(),
		fingerprint: fields.text(),
		share: fields.number(),
		canRetryElsewhere: fields.flag(),
		timeLeft: fields.number(),
		objectiveLeft: fields.number(),
		body: fields.optionalBytes(),
		allowedRegions: fields.optionalTexts(),
		transferTime: fields.optionalNumber(),
	}),
	[FrameType.Credit]: (fields) => ({
		type: FrameType.Credit,
		stream: fields.number(),
		bytes: fields.number(),
	}),
	[FrameType.Data]: (fields) => ({
		type: FrameType.Data,
		stream: fields.number(),
		bytes: fields.bytes(),
	}),
	[FrameType.End]: (fields) => ({
		type: FrameType.End,
		stream: fields.number(),
		trailers: fields.headers(),
	}),
	[FrameType.Answer]: (fields) => ({
		type: FrameType.Answer,
		stream: fields.number(),
		status: fields.number(),
		headers: fields.headers(),
		load: fields.load(),
		body: fields.optionalBytes(),
		trailers: fields.headers(),
		isDelimited: fields.flag(),
	}),
	[FrameType.Refused]: (fields) => ({
		type: FrameType.Refused,
		stream: fields.number(),
		...fields.refusal(),
	}),
	[FrameType.Failed]: (fields) => ({
		type: FrameType.Failed,
		stream: fields.number(),
		reason: fields.reason(),
	}),
	[FrameType.Cancel]: (fields) => ({type: FrameType.Cancel, stream: fields.number()}),
	[FrameType.AttemptQuery]: (fields) => ({
		type: FrameType.AttemptQuery,
		correlationId: fields.number(),
		sequence: fields.number(),
	}),
	[FrameType.AttemptStatus]: (fields) => ({
		type: FrameType.AttemptStatus,
		correlationId: fields.number(),
		state: fields.state(),
	}),
	[FrameType.Heartbeat]: () => ({type: FrameType.Heartbeat}),
	[FrameType.Leaving]: () => ({type: FrameType.Leaving}),
	[FrameType.Load]: (fields) => ({type: FrameType.Load, load: fields.load()}),
	[FrameType.Fetch]: (fields) => ({
		type: FrameType.Fetch,
		correlationId: fields.number(),
		hash: fields.text(),
		base: fields.optionalText(),
	}),
	[FrameType.FetchResult]: (fields) => ({
		type: FrameType.FetchResult,
		correlationId: fields.number(),
		content: fields.optionalText(),
		delta: fields.optionalText(),
		deflated: fields.optionalBytes(),
		isDelta: fields.optionalFlag() ?? false,
	}),
	[FrameType.Handover]: (fields) => ({
		type: FrameType.Handover,
		correlationId: fields.number(),
		records: fields.bytes(),
	}),
	[FrameType.HandoverAck]: (fields) => ({
		type: FrameType.HandoverAck,
		correlationId: fields.number(),
	}),
};

function isFrameType(value: unknown): value is FrameType {
	return typeof value === 'number' && value in decoders;
}

/**
 * @param frame - the frame.
 * @returns the encoded frame.
 */
export function encodeFrame(frame: Frame): Uint8Array {
	return packr.pack(packFields(frame));
}

/**
 * @param bytes - message received from a peer.
 * @returns the frame.
 * @throws {@link FrameDecodeError} when the bytes are not a valid frame.
 */
export function decodeFrame(bytes: Uint8Array): Frame {
	let fields: unknown;
	try {
		fields = packr.unpack(bytes);
	} catch (err) {
		throw new FrameDecodeError('frame is not valid MessagePack', {cause: err});
	}

	if (!Array.isArray(fields) || !isFrameType(fields[0])) {
		throw new FrameDecodeError('frame is not an array that starts with a known frame type');
	}

	return decoders[fields[0]](new FieldReader(fields.slice(1)));
}
