import {describe, expect, it} from 'vitest';
import {CountInbox} from '../../count-inbox.js';
import {CountOutbox} from '../../count-outbox.js';
import {PeerExchange} from '../../peer-exchange.js';
import {QuotaMessageType, type QuotaBatch, type QuotaSum} from '../../quota-message.js';

const sender = {id: '10.0.0.1:7001', incarnation: 5};

function sum(batch: QuotaBatch, isLast = false): QuotaSum {
	return {type: QuotaMessageType.Sum, sender, batch, isLast};
}

describe('CountOutbox', () => {
	it('sends the same batch again until it is acknowledged, so that a lost answer counts nothing twice', () => {
		const outbox = new CountOutbox();
		const inbox = new CountInbox();
		outbox.add('t', 1, 1);
		expect(inbox.accept(sender, outbox.next())).toHaveLength(1);
		outbox.add('t', 1, 2);
		expect(inbox.accept(sender, outbox.next())).toBeUndefined();
		expect(outbox.acknowledge(outbox.next().sequence)).toBe(true);
		expect(inbox.accept(sender, outbox.next())).toEqual([
			{customer: 't', admitted: 1, requested: 2},
		]);
	});

	it('ignores the acknowledgement of an earlier batch', () => {
		const outbox = new CountOutbox();
		outbox.add('t', 1, 1);
		const first = outbox.next();
		outbox.acknowledge(first.sequence);
		outbox.add('t', 1, 1);
		const second = outbox.next();
		expect(outbox.acknowledge(first.sequence)).toBe(false);
		expect(outbox.inFlight).toBe(second);
	});

	it('fits a batch of 1,000 customers into several datagrams without losing any', () => {
		const outbox = new CountOutbox();
		for (let i = 0; i < 1000; i++) {
			outbox.add(`t${i}`, 1, 1);
		}

		const seen = new Set<string>();
		while (outbox.hasWaiting) {
			const {sequence, counts} = outbox.next();
			expect(counts.length).toBeLessThanOrEqual(70);
			for (const {customer} of counts) {
				seen.add(customer);
			}

			outbox.acknowledge(sequence);
		}

		expect(seen.size).toBe(1000);
	});
});

describe('CountInbox', () => {
	it('accepts the batches of a restarted sender, whose numbers start anew', () => {
		const inbox = new CountInbox();
		const counts = [{customer: 't', admitted: 1, requested: 1}];
		inbox.accept(sender, {sequence: 9, counts});
		expect(inbox.accept(sender, {sequence: 1, counts})).toBeUndefined();
		expect(inbox.accept({...sender, incarnation: 6}, {sequence: 1, counts})).toBe(counts);
		expect(inbox.accept(sender, {sequence: 10, counts})).toBeUndefined();
	});
});

describe('PeerExchange', () => {
	it('counts again after the sender had forgotten the receiver, which still knows the earlier numbers', () => {
		const receiver = new PeerExchange(0);
		const earlier = new PeerExchange(0);
		earlier.add({customer: 't', admitted: 1, requested: 1}, 0);
		receiver.receive(sum(earlier.batchToSend(0, 0)!), 1);
		const later = new PeerExchange(6000);
		later.add({customer: 't', admitted: 2, requested: 2}, 6000);
		expect(receiver.receive(sum(later.batchToSend(6000, 0)!), 6001)).toHaveLength(1);
	});

	it('ends with a final sum, so that the silence of an idle zone is not taken for a cut', () => {
		const peer = new PeerExchange(0);
		const receiver = new PeerExchange(0);
		peer.add({customer: 't', admitted: 1, requested: 1}, 0);
		const first = peer.batchToSend(0, 0)!;
		receiver.receive(sum(first, peer.isLast), 1);
		expect(receiver.isLost(1000)).toBe(true);
		peer.outbox.acknowledge(first.sequence);
		const last = peer.batchToSend(300, 0)!;
		expect(last.counts).toHaveLength(0);
		receiver.receive(sum(last, peer.isLast), 301);
		expect(receiver.isLost(1000)).toBe(false);
	});

	it('drops the counts of the time in which the peer was out of reach, as it has set this part aside', () => {
		const peer = new PeerExchange(0);
		for (let now = 0; now <= 4000; now += 100) {
			peer.add({customer: 't', admitted: 10, requested: 40}, now);
			peer.batchToSend(now, 0);
		}

		const admitted = peer.batchToSend(4001, 0)!.counts.map((count) => count.admitted);
		expect(admitted.reduce((total, count) => total + count, 0)).toBeLessThanOrEqual(50);
	});

	it('is not opened again by a sum that was overtaken by the final one', () => {
		const receiver = new PeerExchange(0);
		const counts = [{customer: 't', admitted: 1, requested: 1}];
		receiver.receive(sum({sequence: 2, counts: []}, true), 0);
		receiver.receive(sum({sequence: 1, counts}), 100);
		expect(receiver.isLost(1000)).toBe(false);
	});
});
