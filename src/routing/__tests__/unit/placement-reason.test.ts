import {describe, expect, it} from 'vitest';
import {RefusalReason} from '../../../call/index.js';
import {ManualClock} from '../../../clock/index.js';
import {EvacuatedZones, storeSource} from '../../../evacuation/index.js';
import {
	createLocalMember,
	Directory,
	Liveness,
	MemberPhase,
	type Member,
} from '../../../membership/index.js';
import {createRandom} from '../../../random/index.js';
import {
	findCandidates,
	ObjectivePlacement,
	reasonWithoutExecutor,
	type PlacementQuery,
} from '../../index.js';
import {createQuery} from '../test-query.js';

function createMember(id: number, region: string, zone: string, change: Partial<Member> = {}) {
	const member = createLocalMember(`10.0.0.${id}:7001`, 1, {region, zone});
	return {...member, phase: MemberPhase.Serving, service: 's', slots: 6, ...change};
}

const inA = createMember(1, 'one', 'a');
const inB = createMember(2, 'one', 'b');
const inC = createMember(3, 'two', 'c');
const unknownRegion = createMember(4, '', 'a');

function evacuate(...names: string[]): EvacuatedZones {
	const zones = new EvacuatedZones(new ManualClock(1000), inB.id);
	zones.merge({position: {era: 1, version: 1}, zones: names}, storeSource);
	return zones;
}

function createPlacement(members: readonly Member[], zones?: EvacuatedZones) {
	const directory = new Directory();
	for (const member of members) {
		directory.merge(member);
	}

	const placement = new ObjectivePlacement({
		clock: new ManualClock(1000),
		directory,
		self: () => inC,
		random: createRandom(1),
		costs: {otherZone: 0.02, otherRegion: 0.085},
		lowestPriority: () => 2,
		...(zones && {zones}),
	});
	return {placement, directory};
}

/** @returns the executors of hedges at all times within the objective. */
function hedgesOf(placement: ObjectivePlacement, query: PlacementQuery): Set<Member | undefined> {
	const hedges = Array.from({length: 40}, (_, i) => placement.hedgeExecutor(query, inA, i * 10));
	return new Set(hedges.filter((member) => member !== undefined));
}

interface ReasonCase {
	readonly name: string;
	readonly members: readonly Member[];
	readonly regions?: readonly string[];
	readonly evacuated?: readonly string[];
	readonly reason: RefusalReason;
}

const joining = {phase: MemberPhase.Joining};
const {NoBackend, Busy, RegionNotAllowed, ZoneEvacuated} = RefusalReason;
const reasonCases: readonly ReasonCase[] = [
	{name: 'no member', members: [], reason: NoBackend},
	{name: 'a serving member', members: [inA], reason: Busy},
	{name: 'no region that is allowed', members: [], regions: [], reason: RegionNotAllowed},
	{
		name: 'serving members elsewhere only',
		members: [inC],
		regions: ['one'],
		reason: RegionNotAllowed,
	},
	{
		name: 'a restarting member inside and a serving one elsewhere',
		members: [{...inA, ...joining}, inC],
		regions: ['one'],
		reason: RegionNotAllowed,
	},
	{
		name: 'a member of unknown region',
		members: [unknownRegion],
		regions: ['one', ''],
		reason: RegionNotAllowed,
	},
	{
		name: 'evacuated zones only',
		members: [inA, inB],
		evacuated: ['a', 'b'],
		reason: ZoneEvacuated,
	},
	{
		name: 'an evacuated zone inside',
		members: [inA, inC],
		regions: ['one'],
		evacuated: ['a'],
		reason: ZoneEvacuated,
	},
	{
		name: 'an evacuated zone elsewhere',
		members: [inC],
		regions: ['one'],
		evacuated: ['c'],
		reason: RegionNotAllowed,
	},
	{
		name: 'a restarting member outside of the evacuated zone',
		members: [inA, {...inB, ...joining}],
		evacuated: ['a'],
		reason: NoBackend,
	},
	{
		name: 'a dead member outside of the evacuated zone',
		members: [inA, {...inB, ...joining, liveness: Liveness.Dead}],
		evacuated: ['a'],
		reason: ZoneEvacuated,
	},
];

describe('reasonWithoutExecutor', () => {
	it.each(reasonCases)('with $name', ({members, regions, evacuated = [], reason}) => {
		expect(reasonWithoutExecutor(members, regions, evacuate(...evacuated))).toBe(reason);
	});
});

describe('ObjectivePlacement', () => {
	it('never sends a restricted call to another region or to a member of unknown region, not even as a hedge', () => {
		const {placement} = createPlacement([inA, inC, unknownRegion]);
		const query = createQuery({allowedRegions: ['one']});
		expect(placement.choose(query)).toBe(inA);
		expect(hedgesOf(placement, query)).toEqual(new Set([inA]));
		const tried = {...query, excluded: new Set([inA.id])};
		expect(placement.choose(tried)).toBeUndefined();
		expect(hedgesOf(placement, tried)).toEqual(new Set());
		expect(hedgesOf(placement, {...tried, allowedRegions: undefined}).size).toBeGreaterThan(0);
	});

	it('sends nothing to an evacuated zone, and keeps no call waiting when all are evacuated', () => {
		const {placement, directory} = createPlacement([inA, inB], evacuate('a'));
		expect(placement.choose(createQuery())).toBe(inB);
		expect(hedgesOf(placement, createQuery())).toEqual(new Set([inB]));
		directory.merge({...inB, version: 2, liveness: Liveness.Dead});
		expect(placement.choose(createQuery())).toBeUndefined();
		expect(placement.noExecutorReason(createQuery())).toBe(RefusalReason.ZoneEvacuated);
		expect(placement.maxWaitForExecutor(createQuery())).toBe(0);
		expect(placement.retryAfterHint(createQuery())).toBeUndefined();
	});

	it('uses a zone whose evacuation has just ended at once if no other can serve', () => {
		const zones = evacuate('a', 'b');
		zones.merge({position: {era: 1, version: 2}, zones: ['b']}, storeSource);
		const returning = Array.from({length: 20}, (_, i) => createMember(100 + i, 'one', 'a'));
		const {placement, directory} = createPlacement(returning, zones);
		expect(placement.choose(createQuery())).toBeDefined();
		directory.merge(inC);
		const chosen = new Set(Array.from({length: 50}, () => placement.choose(createQuery())?.zone));
		expect(chosen).toEqual(new Set(['c']));
	});
});

describe('findCandidates', () => {
	it('leaves out other regions, unknown regions and evacuated zones', () => {
		const {directory} = createPlacement([inA, inB, inC, unknownRegion]);
		const query = createQuery({allowedRegions: ['one']});
		const {near, far} = findCandidates(directory, inC, query, evacuate('a'));
		expect({near, far}).toEqual({near: [], far: [inB]});
	});
});
