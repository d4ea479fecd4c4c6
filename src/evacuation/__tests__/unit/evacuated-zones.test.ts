import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {ManualClock} from '../../../clock/index.js';
import {
	comparePositions,
	EvacuatedZones,
	isZoneOf,
	storeSource,
	type EvacuationChange,
	type EvacuationState,
} from '../../index.js';

const peer = '10.0.0.2:7001';
const inA = {id: '10.0.1.1:7001', region: 'r', zone: 'a'};
const inB = {id: '10.0.2.1:7001', region: 'r', zone: 'b'};

function stateAt(version: number, zones: readonly string[], era: number | undefined = 1) {
	return {position: {era, version}, zones};
}

function createZones() {
	const clock = new ManualClock(1000);
	const zones = new EvacuatedZones(clock, '10.0.0.1:7001');
	const changes: EvacuationChange[] = [];
	zones.registerListener((change) => {
		changes.push(change);
	});
	return {clock, zones, changes};
}

describe('EvacuatedZones', () => {
	it('orders states by era first, so that a restored store with lower versions overrides', () => {
		const {zones} = createZones();
		zones.merge(stateAt(900, ['a']), storeSource);
		zones.merge(stateAt(20, ['b'], 2), peer);
		zones.merge(stateAt(950, ['a']), peer);
		expect(zones.isEvacuated(inA)).toBe(false);
		expect(zones.isEvacuated(inB)).toBe(true);
		expect(comparePositions({era: undefined, version: 9}, {era: 0, version: 1})).toBeLessThan(0);
	});

	it('takes a later state even if its set is smaller, and ignores an earlier one with a larger set', () => {
		const {zones} = createZones();
		zones.merge(stateAt(10, ['a', 'b']), peer);
		zones.merge(stateAt(12, ['a']), peer);
		zones.merge(stateAt(11, ['a', 'b']), peer);
		expect(zones.current.map(({zone}) => zone)).toEqual(['a']);
	});

	it('ends with the state of the highest position in whatever order states arrive', () => {
		const states = fc.uniqueArray(
			fc.record({
				era: fc.integer({min: 1, max: 3}),
				version: fc.nat(20),
				zones: fc.uniqueArray(fc.constantFrom('a', 'b', 'c')),
			}),
			{minLength: 1, selector: ({era, version}) => `${era} ${version}`},
		);
		fc.assert(
			fc.property(states, (list) => {
				const {zones} = createZones();
				let newest: EvacuationState | undefined;
				for (const {era, version, zones: names} of list) {
					const state = {position: {era, version}, zones: names};
					zones.merge(state, peer);
					if (!newest || comparePositions(state.position, newest.position) > 0) {
						newest = state;
					}
				}

				expect(new Set(zones.current.map(({zone}) => zone))).toEqual(new Set(newest?.zones));
				expect(zones.readAt).toEqual(newest?.position);
			}),
			{seed: 20_261_205, numRuns: 500},
		);
	});

	it('reports each begin and end once, with its source, and keeps the age of an evacuation that goes on', () => {
		const {clock, zones, changes} = createZones();
		zones.merge(stateAt(10, ['a']), peer);
		clock.advance(400);
		zones.merge(stateAt(10, ['a']), storeSource);
		zones.merge(stateAt(11, ['a', 'b']), storeSource);
		zones.merge(stateAt(12, ['b']), peer);
		expect(changes.map(({zone, isEvacuated, source}) => [zone, isEvacuated, source])).toEqual([
			['a', true, peer],
			['b', true, storeSource],
			['a', false, peer],
		]);
		expect(zones.current).toEqual([{zone: 'b', since: 1400, source: storeSource}]);
	});

	it('adds nothing to gossip messages while no zone is or was evacuated', () => {
		const {zones} = createZones();
		expect(zones.advertised).toBeUndefined();
		zones.merge(stateAt(10, []), storeSource);
		expect(zones.advertised).toBeUndefined();
	});

	it('tells peers of the end for 30 s, and again when one shows an older state', () => {
		const {clock, zones} = createZones();
		zones.merge(stateAt(10, ['a']), storeSource);
		clock.advance(3_600_000);
		expect(zones.advertised).toEqual(stateAt(10, ['a']));
		zones.merge(stateAt(20, []), storeSource);
		clock.advance(29_000);
		expect(zones.advertised).toEqual(stateAt(20, []));
		clock.advance(2000);
		expect(zones.advertised).toBeUndefined();
		zones.merge(stateAt(10, ['a']), peer);
		expect(zones.advertised).toEqual(stateAt(20, []));
	});

	it('corrects a node that adopted an old state because it had none', () => {
		const informed = createZones().zones;
		const late = createZones().zones;
		informed.merge(stateAt(20, []), storeSource);
		late.merge(stateAt(10, ['a']), peer);
		informed.merge(late.advertised!, peer);
		late.merge(informed.advertised!, peer);
		expect(late.isEvacuated(inA)).toBe(false);
	});

	it('matches a zone by its name, or by its region and name where several regions use the name', () => {
		const {zones} = createZones();
		zones.merge(stateAt(10, ['r/a']), storeSource);
		expect(zones.isEvacuated(inA)).toBe(true);
		expect(zones.isEvacuated({...inA, region: 'other'})).toBe(false);
		expect(isZoneOf('a', inA)).toBe(true);
		expect(isZoneOf('r/a', inB)).toBe(false);
	});

	it('lets pairs of nodes return to a zone one after the other within 5 s', () => {
		const {clock, zones} = createZones();
		zones.merge(stateAt(10, ['a']), storeSource);
		zones.merge(stateAt(11, []), storeSource);
		const members = Array.from({length: 200}, (_, i) => ({...inA, id: `10.0.1.${i}:7001`}));
		const countReturned = () => members.filter((member) => !zones.isReturning(member)).length;
		const counts: number[] = [];
		for (let i = 0; i < 5; i++) {
			counts.push(countReturned());
			clock.advance(1000);
		}

		for (const [i, count] of counts.entries()) {
			expect(Math.abs(count - 40 * i)).toBeLessThan(25);
		}

		expect(countReturned()).toBe(200);
		expect(zones.hasReturning).toBe(false);
		expect(zones.isReturning(inB)).toBe(false);
	});

	it('ends the return to a zone that is evacuated again', () => {
		const {zones} = createZones();
		zones.merge(stateAt(10, ['a']), storeSource);
		zones.merge(stateAt(11, []), storeSource);
		zones.merge(stateAt(12, ['a']), storeSource);
		expect(zones.hasReturning).toBe(false);
		expect(zones.isEvacuated(inA)).toBe(true);
	});
});
