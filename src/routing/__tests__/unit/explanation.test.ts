import {describe, expect, it} from 'vitest';
import type {LoadReport} from '../../../call/index.js';
import {ManualClock} from '../../../clock/index.js';
import {
	createLocalMember,
	Directory,
	Liveness,
	MemberPhase,
	type Member,
} from '../../../membership/index.js';
import {createRandom, type Random} from '../../../random/index.js';
import {Exclusion, ObjectivePlacement} from '../../index.js';
import {createQuery} from '../test-query.js';

const stateCount = 1000;
const zones = [
	{region: 'r1', zone: 'a'},
	{region: 'r1', zone: 'b'},
	{region: 'r2', zone: 'c'},
];

function createMember(random: Random, index: number): Member {
	return {
		...createLocalMember(`10.0.0.${index}:7001`, 1, zones[random.below(zones.length)]!),
		phase: random.next() < 0.85 ? MemberPhase.Serving : MemberPhase.Draining,
		liveness: random.next() < 0.9 ? Liveness.Alive : Liveness.Dead,
		service: 's',
		slots: 1 + random.below(9),
	};
}

function createReport(random: Random, {slots, zone}: Member, isShort: boolean): LoadReport {
	const isOwn = zone === 'a';
	const load = isShort ? Number(isOwn) * 1.6 : random.next() * 2.5;
	return {
		inFlight: random.below(slots + 1),
		queued: random.below(20),
		slots,
		serviceTime: 100,
		failureShare: random.next() < 0.2 ? random.next() : 0,
		slowdown: random.next() < 0.25 ? 7 : 1,
		...(random.next() < 0.2 && {rateLimit: 5, untilStart: 300 * random.next()}),
		...(random.next() < 0.8 && {
			zone: {
				room: random.next() < (isShort ? 0 : 0.3) ? -1 : random.next() - (isShort ? 0 : 0.3),
				load,
				otherLoad: load * random.next() * 0.2,
				zoneLoad: load,
				zoneOtherLoad: load * random.next() * 0.2,
			},
		}),
	};
}

/** A placement with random members, reports, attempts in flight and decisions on zones. */
function createState(seed: number) {
	const random = createRandom(seed);
	const clock = new ManualClock(10_000);
	const directory = new Directory();
	const self = createLocalMember('10.0.1.1:7001', 1, zones[0]!);
	const members = Array.from({length: random.below(13)}, (_item, i) => createMember(random, i));
	for (const member of members) {
		directory.merge(member);
	}

	const evacuatedZone = seed % 5 === 0 ? zones[1]!.zone : undefined;
	const placement = new ObjectivePlacement({
		random: createRandom(seed + 1),
		clock,
		directory,
		self: () => self,
		costs: {otherZone: 0.02, otherRegion: 0.085},
		isSpilloverEnabled: true,
		zones: {
			hasReturning: false,
			isEvacuated: ({zone}) => zone === evacuatedZone,
			isReturning: () => false,
		},
		lowestPriority: () => 2,
	});
	const randomQuery = () => {
		const isRetry = random.next() < 0.2;
		return createQuery({
			priority: random.below(3),
			requestBytes: random.below(5000),
			objectiveLeft: 50 + random.below(600),
			excluded: new Set(members.filter(() => isRetry && random.next() < 0.3).map(({id}) => id)),
			...(random.next() < 0.3 && {allowedRegions: random.next() < 0.5 ? ['r1'] : ['r2']}),
		});
	};

	// In some states, the own zone is short throughout and the others have room.
	const isShort = random.next() < 0.4;
	const steps = random.below(isShort ? 120 : 60);
	for (let i = 0; i < steps && members.length > 0; i++) {
		const member = members[random.below(members.length)]!;
		placement.recordLoad(member.id, createReport(random, member, isShort));
		const query = randomQuery();
		const chosen = placement.choose(query);
		if (chosen && random.next() < 0.5) {
			placement.recordSent(query, chosen);
		}

		if (random.next() < 0.1) {
			placement.avoid(member.id, 1000);
		}

		clock.advance(random.below(150));
	}

	return {placement, query: randomQuery()};
}

describe('the explanation of a placement', () => {
	it(`names the executor that is chosen in ${stateCount} generated states`, () => {
		// An explanation by other code than the decision sooner or later tells something else.
		let [chosenCount, refusedCount, shortCount, leavingCount] = [0, 0, 0, 0];
		for (let seed = 1; seed <= stateCount; seed++) {
			const {placement, query} = createState(seed);
			const explanation = placement.explain(query);
			const {candidates} = explanation;
			const chosen = placement.choose(query);
			expect(chosen === undefined, `seed ${seed}`).toBe(explanation.chosen === undefined);
			if (!chosen) {
				expect(explanation.refusal).toBe(placement.noExecutorReason(query));
				expect(candidates.every(({exclusion}) => exclusion !== undefined)).toBe(true);
				refusedCount += 1;
				continue;
			}

			// Two executors may have the same loss; the order of evaluation is random.
			const told = candidates.find(({id}) => id === explanation.chosen)!;
			const found = candidates.find(({id}) => id === chosen.id)!;
			expect(found.loss, `seed ${seed}`).toBeCloseTo(told.loss, 9);
			expect(found.exclusion).toBeUndefined();
			chosenCount += 1;
			shortCount += explanation.zones?.isShort ? 1 : 0;
			leavingCount += explanation.destination === undefined ? 0 : 1;
		}

		expect(chosenCount).toBeGreaterThan(stateCount / 2);
		expect(refusedCount).toBeGreaterThan(20);
		expect(shortCount).toBeGreaterThan(100);
		expect(leavingCount).toBeGreaterThan(5);
	});

	it('does not change what is decided', () => {
		for (let seed = 1; seed <= 100; seed++) {
			const {placement, query} = createState(seed);
			const first = placement.explain(query);
			const second = placement.explain(query);
			expect(second.candidates.map(({loss}) => loss)).toEqual(
				first.candidates.map(({loss}) => loss),
			);
			expect(second.destination).toBe(first.destination);
		}
	});

	it('names the rule that excludes a member, and parts that sum up to the loss', () => {
		const exclusions = new Set<Exclusion | undefined>();
		for (let seed = 1; seed <= 100; seed++) {
			const {placement, query} = createState(seed);
			for (const {exclusion, loss, parts} of placement.explain(query).candidates) {
				exclusions.add(exclusion);
				const {lateness, transfer, time, failure, avoided, shortZone} = parts;
				const sum = lateness + transfer + time + failure + avoided + shortZone;
				expect(sum).toBeCloseTo(loss, 9);
			}
		}

		expect(exclusions).toEqual(new Set([undefined, ...Object.values(Exclusion)]));
	});
});
