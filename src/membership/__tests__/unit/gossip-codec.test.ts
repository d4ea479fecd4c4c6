import fc from 'fast-check';
import {pack, unpack} from 'msgpackr';
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
	{
		type: GossipType.Entries,
		sender,
		members: [],
		revisions: {
			...revisions,
			evacuation: {position: {era: 3, version: 2 ** 40}, zones: ['harju-a', 'harju/b']},
		},
	},
	{
		type: GossipType.Ping,
		sender,
		sequence: 1,
		piggyback: {
			...piggyback,
			revisions: {...revisions, evacuation: {position: {era: undefined, version: 7}, zones: []}},
		},
	},
];

describe('gossip codec', () => {
	it.each(messages)('round-trips a message of type $type', (message) => {
		expect(decodeGossip(encodeGossip(message))).toEqual(message);
	});

	it('adds no bytes without an evacuation, and appends one where earlier builds ignore it', () => {
		const lists = [messages[4]!, messages[6]!].map((message) => {
			const fields = unpack(encodeGossip(message)) as unknown[];
			return (fields[4] as unknown[])[1] as unknown[];
		});
		expect(lists[0]).toEqual([4, 'a', 5, 'b']);
		expect(lists[1]!.slice(0, 4)).toEqual(lists[0]);
		expect(lists[1]).toHaveLength(5);
	});

	it.each([
		['a zone that is not a string', [1, 2, [3]]],
		['a version that is not an integer', [1, 'x', []]],
		['no list', 'a'],
	])('rejects an evacuation with %s', (_name, evacuation) => {
		const fields = unpack(encodeGossip(messages[4]!)) as unknown[];
		((fields[4] as unknown[])[1] as unknown[])[4] = evacuation;
		expect(() => decodeGossip(pack(fields))).toThrow(GossipDecodeError);
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
