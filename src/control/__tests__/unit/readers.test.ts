import {describe, expect, it} from 'vitest';
import {ManualClock} from '../../../clock/index.js';
import {createLocalMember, GossipType, Liveness, type Gossip} from '../../../membership/index.js';
import {createTestGossip} from '../../../membership/__tests__/test-gossip.js';
import {mustReadStore, selectReaders} from '../../index.js';

const zoneSize = 20;

function createZone() {
	const clock = new ManualClock(1000);
	const gossip = createTestGossip(clock);
	for (let i = 2; i <= zoneSize; i++) {
		gossip.directory.merge(createLocalMember(`10.0.0.${i}:7001`, 1, {region: 'r', zone: 'z'}));
		gossip.directory.merge(createLocalMember(`10.0.1.${i}:7001`, 1, {region: 'r', zone: 'y'}));
	}

	return {clock, gossip};
}

function setLiveness(gossip: Gossip, id: string, liveness: Liveness): void {
	gossip.directory.merge({...gossip.directory.get(id)!, liveness});
}

function receiveFrom(gossip: Gossip, id: string): void {
	gossip.receive({
		type: GossipType.HeldRevision,
		sender: {id, incarnation: 1, version: 1},
		revision: 0,
	});
}

describe('selectReaders', () => {
	it('selects two members of its own zone', () => {
		const readers = selectReaders(createZone().gossip);
		expect(readers).toHaveLength(2);
		expect(readers.every((id) => id.startsWith('10.0.0.'))).toBe(true);
	});

	// Guards against a change that waits behind its own copies on the link between two regions.
	it('selects one member of its own zone where there are many zones', () => {
		const {gossip} = createZone();
		for (const zone of ['q', 'r', 's', 't']) {
			gossip.directory.merge(createLocalMember(`10.0.9.1:70${zone}`, 1, {region: 'r', zone}));
		}

		expect(selectReaders(gossip)).toHaveLength(1);
	});

	it('replaces a reader as soon as it is suspected', () => {
		const {gossip} = createZone();
		const suspect = selectReaders(gossip).find((id) => id !== gossip.localMember.id)!;
		setLiveness(gossip, suspect, Liveness.Suspect);
		expect(selectReaders(gossip)).not.toContain(suspect);
		expect(selectReaders(gossip)).toHaveLength(2);
	});
});

describe('mustReadStore', () => {
	it('is true only for readers while gossip arrives', () => {
		const {clock, gossip} = createZone();
		receiveFrom(gossip, '10.0.0.2:7001');
		expect(mustReadStore(gossip, clock)).toBe(
			selectReaders(gossip).includes(gossip.localMember.id),
		);
	});

	it('is true for an isolated node until gossip arrives again', () => {
		const {clock, gossip} = createZone();
		for (const id of selectReaders(gossip)) {
			setLiveness(gossip, id, Liveness.Alive);
		}

		receiveFrom(gossip, '10.0.0.2:7001');
		clock.advance(1500);
		expect(mustReadStore(gossip, clock)).toBe(true);
		receiveFrom(gossip, '10.0.0.3:7001');
		expect(mustReadStore(gossip, clock)).toBe(
			selectReaders(gossip).includes(gossip.localMember.id),
		);
	});
});
