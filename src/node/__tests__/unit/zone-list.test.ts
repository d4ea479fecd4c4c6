import {describe, expect, it} from 'vitest';
import {storeSource} from '../../../evacuation/index.js';
import {createLocalMember, Liveness, MemberPhase} from '../../../membership/index.js';
import {formatZones, listZones} from '../../zone-list.js';

const peer = '10.0.0.2:7001';
const serving = {phase: MemberPhase.Serving};
const members = [
	{...createLocalMember('1', 1, {region: 'r', zone: 'b'}), ...serving},
	{...createLocalMember('2', 1, {region: 'r', zone: 'a'}), ...serving},
	createLocalMember('3', 1, {region: 'r', zone: 'a'}),
	{...createLocalMember('4', 1, {region: 'r', zone: 'a'}), liveness: Liveness.Dead},
];
const evacuations = [
	{zone: 'r/a', since: 1000, source: storeSource},
	{zone: 'x', since: 1500, source: peer},
];

describe('listZones', () => {
	it('lists zones with their members, and evacuations with age and source, also of unknown zones', () => {
		expect(listZones(members, evacuations, 2500)).toEqual([
			{
				zone: 'a',
				region: 'r',
				members: 2,
				serving: 1,
				isEvacuated: true,
				age: 1500,
				source: storeSource,
			},
			{zone: 'b', region: 'r', members: 1, serving: 1, isEvacuated: false},
			{zone: 'x', region: '', members: 0, serving: 0, isEvacuated: true, age: 1000, source: peer},
		]);
	});
});

describe('formatZones', () => {
	it('writes a line for each zone and the position at which evacuations were read', () => {
		const zones = listZones(members, evacuations, 62_500);
		expect(formatZones({zones, position: {era: 2, version: 7}})).toEqual([
			'r/a: evacuated for 62 s, from store; 1 of 2 nodes serve',
			'r/b: in use; 1 of 1 nodes serve',
			'x: evacuated for 61 s, from 10.0.0.2:7001; no known node',
			'evacuations as of version 7, era 2 of the store',
		]);
		expect(formatZones({zones: [], position: undefined})).toEqual([
			'evacuations were not read yet',
		]);
	});
});
