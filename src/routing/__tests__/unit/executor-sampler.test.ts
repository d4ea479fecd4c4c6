import {describe, expect, it} from 'vitest';
import {ManualClock, type Millis} from '../../../clock/index.js';
import {createLocalMember, Directory, MemberPhase, type Member} from '../../../membership/index.js';
import {createRandom} from '../../../random/index.js';
import {ExecutorSampler} from '../../executor-sampler.js';
import {ObjectivePlacement} from '../../index.js';
import {createQuery} from '../test-query.js';

const none: ReadonlySet<string> = new Set();

function createFixture(size: number) {
	const directory = new Directory();
	const self = createLocalMember('10.9.0.1:7001', 1, {region: 'r0', zone: 'z0'});
	const add = (i: number): Member => {
		const id = `10.0.${Math.floor(i / 100)}.${i % 100}:7001`;
		const place = {region: `r${i % 2}`, zone: `z${i % 4}`};
		const phase = MemberPhase.Serving;
		const member: Member = {...createLocalMember(id, 1, place), phase, service: 's', slots: 6};
		directory.merge(member);
		return member;
	};

	const members = Array.from({length: size}, (_, i) => add(i));
	return {directory, members, add, self: () => self};
}

describe('ExecutorSampler', () => {
	it('returns all members of a small service', () => {
		const {directory, self, members} = createFixture(40);
		const sampled = new Set(
			new ExecutorSampler(directory, self, createRandom(1)).sample({service: 's', excluded: none}),
		);
		expect(sampled).toEqual(new Set(members));
	});

	it('returns a bounded sample of a large service, evenly distributed among the members of a distance', () => {
		const {directory, self} = createFixture(107);
		const sampler = new ExecutorSampler(directory, self, createRandom(1));
		const counts = new Map<Member, number>();
		for (let i = 0; i < 540; i++) {
			const sampled = [...sampler.sample({service: 's', excluded: none})];
			expect(sampled.length).toBeLessThanOrEqual(18);
			for (const member of sampled) {
				counts.set(member, (counts.get(member) ?? 0) + 1);
			}
		}

		const inZone = [...counts].filter(([{zone}]) => zone === 'z0').map(([, count]) => count);
		expect(inZone).toHaveLength(27);
		const fair = (540 * 8) / 27;
		expect(Math.min(...inZone)).toBeGreaterThan(fair / 2);
		expect(Math.max(...inZone)).toBeLessThan(fair * 1.5);
	});

	it('includes the member that reported its load last, unless it is excluded or gone', () => {
		const {directory, self, members} = createFixture(107);
		const sampler = new ExecutorSampler(directory, self, createRandom(1));
		const far = members[105]!;
		sampler.recordReport(far.id);
		expect([...sampler.sample({service: 's', excluded: none})]).toContain(far);
		expect([...sampler.sample({service: 's', excluded: new Set([far.id])})]).not.toContain(far);
		directory.remove(far.id);
		expect([...sampler.sample({service: 's', excluded: none})]).not.toContain(far);
	});

	it('finds the only serving member among many draining ones', () => {
		const {directory, self, members} = createFixture(107);
		for (const member of members.slice(1)) {
			directory.merge({...member, version: 2, phase: MemberPhase.Draining});
		}

		expect([
			...new ExecutorSampler(directory, self, createRandom(1)).sample({
				service: 's',
				excluded: none,
			}),
		]).toEqual([members[0]]);
	});

	it('sends calls to a member that has just joined', () => {
		const {directory, self, add} = createFixture(106);
		const placement = new ObjectivePlacement({
			random: createRandom(1),
			clock: new ManualClock(1000),
			directory,
			self,
			costs: {otherZone: 0.02, otherRegion: 0.085},
			lowestPriority: () => 2,
		});
		const joined = add(108);
		const chosen = Array.from({length: 100}, () => placement.choose(createQuery()));
		expect(chosen.filter((member) => member === joined).length).toBeGreaterThanOrEqual(2);
	});
});

/** Simulates calls from one ingress to 107 executors with random slow periods; returns the answers in time. */
function simulateLargeService(seed: number, usesPlacement: boolean): number {
	const clock = new ManualClock(1000);
	const {directory, members, self} = createFixture(107);
	const placement = new ObjectivePlacement({
		random: createRandom(1),
		clock,
		directory,
		self,
		costs: {otherZone: 0.02, otherRegion: 0.085},
		lowestPriority: () => 2,
	});
	const slowPeriodRandom = createRandom(seed);
	const random = createRandom(seed + 100);
	const near = members.filter(({zone}) => zone === 'z0');
	const slowdowns = new Map(members.map(({id}) => [id, 1]));
	clock.repeat(500, () => {
		for (const {id} of members) {
			slowdowns.set(id, slowPeriodRandom.next() < 0.25 ? 7 : 1);
		}
	});
	const report = (id: string) => {
		const slowdown = slowdowns.get(id)!;
		return {inFlight: 2, queued: 0, slots: 6, serviceTime: 120, failureShare: 0, slowdown};
	};

	let inTime = 0;
	clock.repeat(40, () => {
		const query = createQuery();
		const chosen = usesPlacement ? placement.choose(query)! : near[random.below(near.length)]!;
		const sentAt = clock.now();
		const work: Millis = 120 * (0.7 + 0.6 * random.next()) * slowdowns.get(chosen.id)!;
		placement.recordSent(query, chosen);
		clock.after(work, () => {
			const outcome = {sentAt, load: report(chosen.id), answerBytes: 5000, isFailure: false};
			placement.recordEnded(query, chosen, outcome);
			inTime += clock.now() - sentAt <= 400 ? 1 : 0;
		});
	});
	clock.advance(30_000);
	return inTime;
}

describe('ObjectivePlacement with a hundred executors', () => {
	it.each([1, 2, 3])(
		'answers more calls in time than a random executor in the zone (seed %i)',
		(seed) => {
			expect(simulateLargeService(seed, true)).toBeGreaterThan(
				simulateLargeService(seed, false) * 1.03,
			);
		},
	);
});
