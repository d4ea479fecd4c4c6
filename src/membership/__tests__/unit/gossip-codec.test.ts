import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {
	createLocalMember,
	decodeGossip,
	encodeGossip,
	GossipDecodeError,
	GossipType,
	Liveness,
	MemberPhase,
	RumorKind,
	type GossipMessage,
} from '../../index.js';

const self = createLocalMember('10.0.0.1:7001', 1_839_474_537_910_882, {
	region: 'harju',
	zone: 'harju-a',
});
const sender = {id: self.id, incarnation: self.incarnation, version: 3};
const revisions = {accepted: 4, acceptedHash: 'a', staged: 5, stagedHash: 'b'};
const piggyback = {
	brief: [
		{hash: 2 ** 47 + 5, version: 9, phase: MemberPhase.Draining, liveness: Liveness.Suspect},
		{hash: 1, version: 1, phase: MemberPhase.Serving, liveness: Liveness.Dead},
	],
	full: [self],
	rumors: [{id: 'crash 1', kind: RumorKind.Crash, fields: ['x', 'y']}],
	revisions,
};
const messages: GossipMessage[] = [
	{type: GossipType.Ping, sender, sequence: 1, piggyback},
	{type: GossipType.Ack, sender, sequence: 1, subject: self.id, piggyback},
	{type: GossipType.PingRequest, sender, sequence: 2, target: self.id},
	{
		type: GossipType.Digest,
		sender,
		senderMember: self,
		checksums: new Uint32Array(256).fill(2 ** 32 - 1),
	},
	{type: GossipType.Entries, sender, members: [self], revisions},
	{type: GossipType.HeldRevision, sender, revision: 12},
];

describe('gossip codec', () => {
	it.each(messages)('round-trips a message of type $type', (message) => {
		expect(decodeGossip(encodeGossip(message))).toEqual(message);
	});

	it('decodes arbitrary bytes to a message or throws GossipDecodeError', () => {
		fc.assert(
			fc.property(fc.uint8Array({maxLength: 200}), (bytes) => {
				try {
					decodeGossip(bytes);
				} catch (err) {
					expect(err).toBeInstanceOf(GossipDecodeError);
				}
			}),
			{seed: 20_261_204, numRuns: 3000},
		);
	});

	it('decodes a corrupted message to a message or throws GossipDecodeError', () => {
		const mutation = fc.record({
			which: fc.nat(messages.length - 1),
			at: fc.nat(),
			value: fc.integer({min: 0, max: 255}),
		});
		fc.assert(
			fc.property(fc.array(mutation, {minLength: 1, maxLength: 4}), (mutations) => {
				const bytes = Uint8Array.from(encodeGossip(messages[mutations[0]!.which]!));
				for (const {at, value} of mutations) {
					bytes[at % bytes.length] = value;
				}

				try {
					decodeGossip(bytes);
				} catch (err) {
					expect(err).toBeInstanceOf(GossipDecodeError);
				}
			}),
			{seed: 20_261_204, numRuns: 3000},
		);
	});
});
