import {Packr} from 'msgpackr';
import type {KnownRevisions} from '../declaration/index.js';
import type {EvacuationState} from '../evacuation/index.js';
import {bucketCount} from './directory.js';
import {
	GossipType,
	RumorKind,
	type BriefUpdate,
	type GossipMessage,
	type Piggyback,
	type Rumor,
	type Sender,
} from './gossip-message.js';
import {Liveness, MemberPhase, type Member} from './member.js';

/** The bytes are not a valid gossip message. */
export class GossipDecodeError extends Error {
	override name = 'GossipDecodeError';
}

const phases = [
	MemberPhase.Joining,
	MemberPhase.Serving,
	MemberPhase.Draining,
	MemberPhase.Left,
] as const;
const livenesses = [Liveness.Alive, Liveness.Suspect, Liveness.Dead] as const;
const rumorKinds = [RumorKind.Crash, RumorKind.HoldLifted, RumorKind.Handover] as const;
const gossipTypes = [
	GossipType.Ping,
	GossipType.Ack,
	GossipType.PingRequest,
	GossipType.Digest,
	GossipType.Entries,
	GossipType.HeldRevision,
] as const;
const packr = new Packr({useRecords: false});
const briefBytes = 9;
const checksumBytes = 4;
const hashBytes = 6;
const livenessMultiplier = 16;
/**
 * Versions take 16 bits in a brief update; higher ones are clamped. A receiver with a newer record ignores the
 * clamped update, and digests repair the difference.
 */
const maxBriefVersion = 0xff_ff;

type Packed = readonly unknown[];

function packBrief(updates: readonly BriefUpdate[]): Uint8Array {
	const bytes = new Uint8Array(updates.length * briefBytes);
	const view = new DataView(bytes.buffer);
	for (const [i, update] of updates.entries()) {
		const at = i * briefBytes;
		view.setUint16(at, Math.floor(update.hash / 2 ** 32));
		view.setUint32(at + 2, update.hash % 2 ** 32);
		view.setUint8(at + hashBytes, update.liveness * livenessMultiplier + update.phase);
		view.setUint16(at + hashBytes + 1, Math.min(update.version, maxBriefVersion));
	}

	return bytes;
}

function unpackBrief(packed: unknown): BriefUpdate[] {
	if (!(packed instanceof Uint8Array) || packed.length % briefBytes !== 0) {
		throw new GossipDecodeError('gossip message: invalid length of the brief updates');
	}

	const view = new DataView(packed.buffer, packed.byteOffset, packed.length);
	const updates: BriefUpdate[] = [];
	for (let at = 0; at < packed.length; at += briefBytes) {
		const state = view.getUint8(at + hashBytes);
		updates.push({
			hash: view.getUint16(at) * 2 ** 32 + view.getUint32(at + 2),
			liveness: asEnum(Math.floor(state / livenessMultiplier), livenesses),
			phase: asEnum(state % livenessMultiplier, phases),
			version: view.getUint16(at + hashBytes + 1),
		});
	}

	return updates;
}

function packMember(member: Member): Packed {
	return [
		member.id,
		member.incarnation,
		member.version,
		member.phase,
		member.liveness,
		member.region,
		member.zone,
		member.service,
		member.slots,
	];
}

function asString(value: unknown): string {
	if (typeof value !== 'string') {
		throw new GossipDecodeError('gossip message: a text field is not a string');
	}

	return value;
}

function asUnsignedInteger(value: unknown): number {
	const number = typeof value === 'bigint' ? Number(value) : value;
	if (typeof number !== 'number' || !Number.isSafeInteger(number) || number < 0) {
		throw new GossipDecodeError('gossip message: a numeric field is not a non-negative integer');
	}

	return number;
}

function asEnum<T extends number>(value: unknown, values: readonly T[]): T {
	const found = values[asUnsignedInteger(value)];
	if (found === undefined) {
		throw new GossipDecodeError(
			'gossip message: unknown message type, rumor kind, phase or liveness',
		);
	}

	return found;
}

function asList(value: unknown): readonly unknown[] {
	if (!Array.isArray(value)) {
		throw new GossipDecodeError('gossip message: a list field is not an array');
	}

	return value;
}

function unpackMember(packed: unknown): Member {
	const fields = asList(packed);
	return {
		id: asString(fields[0]),
		incarnation: asUnsignedInteger(fields[1]),
		version: asUnsignedInteger(fields[2]),
		phase: asEnum(fields[3], phases),
		liveness: asEnum(fields[4], livenesses),
		region: asString(fields[5]),
		zone: asString(fields[6]),
		service: asString(fields[7]),
		slots: asUnsignedInteger(fields[8]),
	};
}

// Without an evacuation the encoding is that of earlier builds, which ignore further fields.
function packRevisions(revisions: KnownRevisions): Packed {
	const {accepted, acceptedHash, staged, stagedHash, evacuation} = revisions;
	const fields = [accepted, acceptedHash, staged, stagedHash];
	return evacuation ? [...fields, packEvacuation(evacuation)] : fields;
}

function packEvacuation({position, zones}: EvacuationState): Packed {
	return [position.era ?? null, position.version, zones];
}

function unpackEvacuation(packed: unknown): EvacuationState {
	const fields = asList(packed);
	const era = fields[0] === null ? undefined : asUnsignedInteger(fields[0]);
	return {
		position: {era, version: asUnsignedInteger(fields[1])},
		zones: asList(fields[2]).map((zone) => asString(zone)),
	};
}

function unpackRevisions(packed: unknown): KnownRevisions {
	const fields = asList(packed);
	return {
		accepted: asUnsignedInteger(fields[0]),
		acceptedHash: asString(fields[1]),
		staged: asUnsignedInteger(fields[2]),
		stagedHash: asString(fields[3]),
		...(fields[4] !== undefined && {evacuation: unpackEvacuation(fields[4])}),
	};
}

function unpackRumor(packed: unknown): Rumor {
	const fields = asList(packed);
	return {
		id: asString(fields[0]),
		kind: asEnum(fields[1], rumorKinds),
		fields: asList(fields[2]).map((field) => asString(field)),
	};
}

function packPiggyback(piggyback: Piggyback): Packed {
	return [
		packBrief(piggyback.brief),
		piggyback.full.map((member) => packMember(member)),
		piggyback.rumors.map((rumor) => [rumor.id, rumor.kind, rumor.fields]),
		packRevisions(piggyback.revisions),
	];
}

function unpackPiggyback(packed: unknown): Piggyback {
	const fields = asList(packed);
	return {
		brief: unpackBrief(fields[0]),
		full: asList(fields[1]).map((member) => unpackMember(member)),
		rumors: asList(fields[2]).map((rumor) => unpackRumor(rumor)),
		revisions: unpackRevisions(fields[3]),
	};
}

function packBody(message: GossipMessage): Packed {
	switch (message.type) {
		case GossipType.Ping: {
			return [message.sequence, packPiggyback(message.piggyback)];
		}

		case GossipType.Ack: {
			return [message.sequence, message.subject, packPiggyback(message.piggyback)];
		}

		case GossipType.PingRequest: {
			return [message.sequence, message.target];
		}

		case GossipType.Digest: {
			return [packMember(message.senderMember), packChecksums(message.checksums)];
		}

		case GossipType.Entries: {
			return [
				message.members.map((member) => packMember(member)),
				packRevisions(message.revisions),
			];
		}

		case GossipType.HeldRevision: {
			return [message.revision];
		}
	}
}

function packChecksums(checksums: Uint32Array): Uint8Array {
	const bytes = new Uint8Array(checksums.length * checksumBytes);
	const view = new DataView(bytes.buffer);
	for (const [i, checksum] of checksums.entries()) {
		view.setUint32(i * checksumBytes, checksum);
	}

	return bytes;
}

function unpackChecksums(packed: unknown): Uint32Array {
	if (!(packed instanceof Uint8Array) || packed.length !== bucketCount * checksumBytes) {
		throw new GossipDecodeError('gossip message: invalid length of the digest checksums');
	}

	const view = new DataView(packed.buffer, packed.byteOffset, packed.length);
	const checksums = new Uint32Array(bucketCount);
	for (let i = 0; i < bucketCount; i++) {
		checksums[i] = view.getUint32(i * checksumBytes);
	}

	return checksums;
}

function unpackBody(type: GossipType, sender: Sender, body: Packed): GossipMessage {
	switch (type) {
		case GossipType.Ping: {
			return {
				type,
				sender,
				sequence: asUnsignedInteger(body[0]),
				piggyback: unpackPiggyback(body[1]),
			};
		}

		case GossipType.Ack: {
			const subject = asString(body[1]);
			const piggyback = unpackPiggyback(body[2]);
			return {type, sender, sequence: asUnsignedInteger(body[0]), subject, piggyback};
		}

		case GossipType.PingRequest: {
			return {type, sender, sequence: asUnsignedInteger(body[0]), target: asString(body[1])};
		}

		case GossipType.Digest: {
			const checksums = unpackChecksums(body[1]);
			return {type, sender, senderMember: unpackMember(body[0]), checksums};
		}

		case GossipType.Entries: {
			const members = asList(body[0]).map((member) => unpackMember(member));
			return {type, sender, members, revisions: unpackRevisions(body[1])};
		}

		case GossipType.HeldRevision: {
			return {type, sender, revision: asUnsignedInteger(body[0])};
		}
	}
}

/**
 * @param message - the message.
 * @returns its encoding, without the authentication tag.
 */
export function encodeGossip(message: GossipMessage): Uint8Array {
	const {id, incarnation, version} = message.sender;
	return packr.pack([message.type, id, incarnation, version, packBody(message)]);
}

/**
 * @param bytes - an encoded message, without the authentication tag.
 * @returns the message.
 * @throws {@link GossipDecodeError} when the bytes are not a valid gossip message.
 */
export function decodeGossip(bytes: Uint8Array): GossipMessage {
	let packed: unknown;
	try {
		packed = packr.unpack(bytes);
	} catch (err) {
		throw new GossipDecodeError('gossip message: invalid MessagePack data', {cause: err});
	}

	const fields = asList(packed);
	const type = asEnum(fields[0], gossipTypes);
	const sender = {
		id: asString(fields[1]),
		incarnation: asUnsignedInteger(fields[2]),
		version: asUnsignedInteger(fields[3]),
	};
	return unpackBody(type, sender, asList(fields[4]));
}
