import {Packr} from 'msgpackr';
import {
	QuotaMessageType,
	type QuotaBatch,
	type QuotaMessage,
	type QuotaSender,
	type QuotaShare,
} from './quota-message.js';

/** The bytes are not a valid quota message. */
export class QuotaDecodeError extends Error {
	override name = 'QuotaDecodeError';
}

const packr = new Packr({useRecords: false});
const types = new Map<number, QuotaMessageType>(
	[
		QuotaMessageType.Report,
		QuotaMessageType.Shares,
		QuotaMessageType.Sum,
		QuotaMessageType.SumAck,
	].map((type) => [type, type]),
);
/** Shares and reaches are sent in these steps of 1. */
const shareSteps = 1000;
/** Position of the message type: behind the header of the MessagePack array. */
const typeOffset = 1;
const fieldsPerCount = 3;
const fieldsPerShare = 4;

type Packed = readonly unknown[];

function packBatch({sequence, counts}: QuotaBatch): Packed {
	return [
		sequence,
		counts.flatMap(({customer, admitted, requested}) => [customer, admitted, requested]),
	];
}

function packShares(shares: readonly QuotaShare[]): Packed {
	return shares.flatMap(({customer, share, demand, wait}) => [
		customer,
		Math.round(share * shareSteps),
		Math.ceil(demand),
		Math.ceil(wait),
	]);
}

function packBody(message: QuotaMessage): Packed {
	switch (message.type) {
		case QuotaMessageType.Report: {
			return [...packBatch(message.batch), message.isTakeover ? 1 : 0];
		}

		case QuotaMessageType.Shares: {
			const {sequence, isLearning, reach, shares} = message;
			return [
				sequence,
				isLearning ? 1 : 0,
				Math.round(reach * shareSteps ** 2),
				packShares(shares),
			];
		}

		case QuotaMessageType.Sum: {
			return [...packBatch(message.batch), message.isLast ? 1 : 0];
		}

		case QuotaMessageType.SumAck: {
			return [message.sequence];
		}
	}
}

function asList(value: unknown): readonly unknown[] {
	if (!Array.isArray(value)) {
		throw new QuotaDecodeError('quota message: a list field is not an array');
	}

	return value;
}

function asString(value: unknown): string {
	if (typeof value !== 'string') {
		throw new QuotaDecodeError('quota message: a text field is not a string');
	}

	return value;
}

function asInteger(value: unknown): number {
	const number = typeof value === 'bigint' ? Number(value) : value;
	if (typeof number !== 'number' || !Number.isSafeInteger(number)) {
		throw new QuotaDecodeError('quota message: a numeric field is not an integer');
	}

	return number;
}

function asUnsignedInteger(value: unknown): number {
	const number = asInteger(value);
	if (number < 0) {
		throw new QuotaDecodeError('quota message: a numeric field is negative');
	}

	return number;
}

function groups(value: unknown, size: number): Packed[] {
	const fields = asList(value);
	if (fields.length % size !== 0) {
		throw new QuotaDecodeError('quota message: a list is truncated');
	}

	const result: Packed[] = [];
	for (let at = 0; at < fields.length; at += size) {
		result.push(fields.slice(at, at + size));
	}

	return result;
}

function unpackBatch(body: Packed): QuotaBatch {
	return {
		sequence: asUnsignedInteger(body[0]),
		counts: groups(body[1], fieldsPerCount).map((fields) => ({
			customer: asString(fields[0]),
			admitted: asInteger(fields[1]),
			requested: asUnsignedInteger(fields[2]),
		})),
	};
}

function asType(value: unknown): QuotaMessageType {
	const type = types.get(asUnsignedInteger(value));
	if (type === undefined) {
		throw new QuotaDecodeError('quota message: unknown message type');
	}

	return type;
}

function unpackBody(type: QuotaMessageType, sender: QuotaSender, body: Packed): QuotaMessage {
	switch (type) {
		case QuotaMessageType.Report: {
			return {type, sender, batch: unpackBatch(body), isTakeover: asInteger(body[2]) === 1};
		}

		case QuotaMessageType.Shares: {
			return {
				type,
				sender,
				sequence: asUnsignedInteger(body[0]),
				isLearning: asInteger(body[1]) === 1,
				reach: Math.min(1, asUnsignedInteger(body[2]) / shareSteps ** 2),
				shares: groups(body[3], fieldsPerShare).map((fields) => ({
					customer: asString(fields[0]),
					share: Math.min(1, asUnsignedInteger(fields[1]) / shareSteps),
					demand: asUnsignedInteger(fields[2]),
					wait: asUnsignedInteger(fields[3]),
				})),
			};
		}

		case QuotaMessageType.Sum: {
			return {type, sender, batch: unpackBatch(body), isLast: asInteger(body[2]) === 1};
		}

		case QuotaMessageType.SumAck: {
			return {type, sender, sequence: asUnsignedInteger(body[0])};
		}
	}
}

/**
 * @param bytes - an encoded message of gossip or quotas, without the authentication tag.
 * @returns whether it is a quota message.
 */
export function isQuotaDatagram(bytes: Uint8Array): boolean {
	return types.has(bytes[typeOffset] ?? 0);
}

/**
 * @param message - the message.
 * @returns its encoding, without the authentication tag.
 */
export function encodeQuota(message: QuotaMessage): Uint8Array {
	const {id, incarnation} = message.sender;
	return packr.pack([message.type, id, incarnation, packBody(message)]);
}

/**
 * @param bytes - an encoded message, without the authentication tag.
 * @returns the message.
 * @throws {@link QuotaDecodeError} when the bytes are not a valid quota message.
 */
export function decodeQuota(bytes: Uint8Array): QuotaMessage {
	let packed: unknown;
	try {
		packed = packr.unpack(bytes);
	} catch (err) {
		throw new QuotaDecodeError('quota message: invalid MessagePack data', {cause: err});
	}

	const fields = asList(packed);
	const sender = {id: asString(fields[1]), incarnation: asUnsignedInteger(fields[2])};
	return unpackBody(asType(fields[0]), sender, asList(fields[3]));
}
