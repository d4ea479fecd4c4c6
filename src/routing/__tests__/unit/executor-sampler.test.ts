import {describe, expect, it} from 'vitest';
import {ManualClock, type Millis} from '../../../clock/index.js';
import {createLocalMember, Directory, MemberPhase, type Member} from '../../../membership/index.js';
import {createRandom} from '../../../random/index.js';
import {ExecutorSampler} from '../../executor-sampler.js';
import {ObjectivePlacement} from '../../index.js';
import {createQuery} from '../test-query.js';

const none: ReadonlySet<string> = new Set();

function createWorld(size: number) {
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

describe('ExecutorDraw', () => {
	it('are all members of a small service', () => {
		const {directory, self, members} = createWorld(40);
		const drawn = new Set(new ExecutorSampler(directory, self, createRandom(1)).sample('s', none));
		expect(drawn).toEqual(new Set(members));
	});

	it('are a bounded number of a large one, and each of a distance as often as the others', () => {
		const {directory, self} = createWorld(107);
		const candidates = new ExecutorSampler(directory, self, createRandom(1));
		const counts = new Map<Member, number>();
		for (let i = 0; i < 540; i++) {
			const drawn = [...candidates.sample('s', none)];
			expect(drawn.length).toBeLessThanOrEqual(18);
			for (const member of drawn) {
				counts.set(member, (counts.get(member) ?? 0) + 1);
			}
		}

		const inZone = [...counts].filter(([{zone}]) => zone === 'z0').map(([, count]) => count);
		expect(inZone).toHaveLength(27);
		const fair = (540 * 8) / 27;
		expect(Math.min(...inZone)).toBeGreaterThan(fair / 2);
		expect(Math.max(...inZone)).toBeLessThan(fair * 1.5);
	});

	it('hold who told its load last, and nobody who is excluded or gone', () => {
		const {directory, self, members} = createWorld(107);
		const candidates = new ExecutorSampler(directory, self, createRandom(1));
		const far = members[105]!;
		candidates.recordReport(far.id);
		expect([...candidates.sample('s', none)]).toContain(far);
		expect([...candidates.sample('s', new Set([far.id]))]).not.toContain(far);
		directory.remove(far.id);
		expect([...candidates.sample('s', none)]).not.toContain(far);
	});

	it('find the only one that serves among many that do not', () => {
		const {directory, self, members} = createWorld(107);
		for (const member of members.slice(1)) {
			directory.merge({...member, version: 2, phase: MemberPhase.Draining});
		}

		expect([...new ExecutorSampler(directory, self, createRandom(1)).sample('s', none)]).toEqual([
			members[0],
		]);
	});

	it('give a member that joins its share of the work within seconds', () => {
		const {directory, self, add} = createWorld(106);
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

/** Plays a service of a hundred executors whose speed jumps, called by one of many ingresses. */
function playLargeService(seed: number, isOwn: boolean): number {
	const clock = new ManualClock(1000);
	const {directory, members, self} = createWorld(107);
	const placement = new ObjectivePlacement({
		random: createRandom(1),
		clock,
		directory,
		self,
		costs: {otherZone: 0.02, otherRegion: 0.085},
		lowestPriority: () => 2,
	});
	const spells = createRandom(seed);
	const chance = createRandom(seed + 100);
	const near = members.filter(({zone}) => zone === 'z0');
	const slowdowns = new Map(members.map(({id}) => [id, 1]));
	clock.repeat(500, () => {
		for (const {id} of members) {
			slowdowns.set(id, spells.next() < 0.25 ? 7 : 1);
		}
	});
	const report = (id: string) => {
		const slowdown = slowdowns.get(id)!;
		return {inFlight: 2, queued: 0, slots: 6, serviceTime: 120, failureShare: 0, slowdown};
	};

	let inTime = 0;
	clock.repeat(40, () => {
		const query = createQuery();
		const chosen = isOwn ? placement.choose(query)! : near[chance.below(near.length)]!;
		const sentAt = clock.now();
		const work: Millis = 120 * (0.7 + 0.6 * chance.next()) * slowdowns.get(chosen.id)!;
		placement.recordSent(query, chosen);
		clock.after(work, () => {
			const news = {sentAt, load: report(chosen.id), answerBytes: 5000, isFailure: false};
			placement.recordEnded(query, chosen, news);
			inTime += clock.now() - sentAt <= 400 ? 1 : 0;
		});
	});
	clock.advance(30_000);
	return inTime;
}

describe('placing among a hundred executors', () => {
	it.each([1, 2, 3])('answers more callers in time than a random one nearby (seed %i)', (seed) => {
		expect(playLargeService(seed, true)).toBeGreaterThan(playLargeService(seed, false) * 1.03);
	});
});
