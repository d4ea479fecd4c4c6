import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {decodeGossip, GossipDecodeError} from '../../../membership/index.js';
import {decodeQuota, encodeQuota, isQuotaDatagram, QuotaDecodeError} from '../../quota-codec.js';
import {QuotaMessageType, type QuotaMessage} from '../../quota-message.js';

const sender = {id: '10.0.0.1:7001', incarnation: 1_700_000_000_000_000};
const batch = {
	sequence: 7,
	counts: [
		{customer: 'a', admitted: -1, requested: 0},
		{customer: 'b', admitted: 300, requested: 70_000},
	],
};
const messages: QuotaMessage[] = [
	{type: QuotaMessageType.Report, sender, batch, isTakeover: true},
	{
		type: QuotaMessageType.Shares,
		sender,
		sequence: 7,
		isLearning: false,
		reach: 0.5,
		shares: [{customer: 'a', share: 0.25, demand: 1169, wait: 400}],
	},
	{type: QuotaMessageType.Sum, sender, batch, isLast: false},
	{type: QuotaMessageType.SumAck, sender, sequence: 8},
];

describe('the wire format of quotas', () => {
	it('returns what was encoded', () => {
		for (const message of messages) {
			expect(decodeQuota(encodeQuota(message))).toEqual(message);
		}
	});

	it('is told apart from gossip, and dropped by a node that knows gossip only', () => {
		for (const message of messages) {
			const bytes = encodeQuota(message);
			expect(isQuotaDatagram(bytes)).toBe(true);
			expect(() => decodeGossip(bytes)).toThrow(GossipDecodeError);
		}
	});

	it('rejects damaged messages with its own error', () => {
		fc.assert(
			fc.property(
				fc.nat(messages.length - 1),
				fc.nat(200),
				fc.integer({min: 0, max: 255}),
				(which, at, value) => {
					const bytes = Uint8Array.from(encodeQuota(messages[which]!));
					bytes[at % bytes.length] = value;
					try {
						decodeQuota(bytes);
					} catch (err) {
						expect(err).toBeInstanceOf(QuotaDecodeError);
					}
				},
			),
		);
	});

	it('needs no more than 90 bytes for a usual report', () => {
		const counts = [{customer: 't12', admitted: 1, requested: 1}];
		const report = {type: QuotaMessageType.Report, sender, isTakeover: false} as const;
		expect(encodeQuota({...report, batch: {sequence: 40_000, counts}}).length).toBeLessThan(90);
	});
});
