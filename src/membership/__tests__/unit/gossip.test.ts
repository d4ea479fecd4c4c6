import {describe, expect, it} from 'vitest';
import {ManualClock} from '../../../clock/index.js';
import {createRandom, type Random} from '../../../random/index.js';
import {
	createLocalMember,
	decodeGossip,
	defaultGossipSettings,
	encodeGossip,
	Gossip,
	isRoutable,
	Liveness,
	MemberPhase,
	type Member,
} from '../../index.js';

const news = {accepted: 0, acceptedHash: '', staged: 0, stagedHash: ''};
const delay = 1;
const firstSeed = 20_261_204;
/** The kill falls on another moment of the probe period with each of these. */
const seeds = [firstSeed, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15];
const zoneOf = (i: number) => ({region: i % 2 === 0 ? 'harju' : 'parnu', zone: `zone-${i % 4}`});

/** A few members whose datagrams meet in one small fake. */
class Group {
	readonly clock = new ManualClock();
	readonly random: Random;
	readonly nodes = new Map<string, Gossip>();
	readonly stopped = new Set<string>();
	loss = 0;
	cut: ((from: Member, to: Member) => boolean) | undefined;

	constructor(size: number, seed = firstSeed) {
		this.random = createRandom(seed);
		for (let i = 0; i < size; i++) {
			this.add(`10.0.0.${i + 1}:7001`, i + 1, zoneOf(i));
		}

		for (const node of this.nodes.values()) {
			node.join('10.0.0.1:7001');
		}
	}

	add(id: string, incarnation: number, place: {region: string; zone: string}): Gossip {
		const node: Gossip = new Gossip(createLocalMember(id, incarnation, place), {
			settings: defaultGossipSettings,
			clock: this.clock,
			random: this.random,
			host: {
				send: (to, message) => {
					this.carry(node, to, encodeGossip(message));
				},
				mayProbe: () => true,
				knownRevisions: () => news,
				handleKnownRevisions: () => undefined,
				handleRumor: () => undefined,
				handleHeldRevision: () => undefined,
				handlePause: () => undefined,
			},
		});
		this.nodes.set(id, node);
		node.updateLocalMember({phase: MemberPhase.Serving, service: 's', slots: 10});
		return node;
	}

	run(span: number): void {
		const step = 20;
		for (let passed = 0; passed < span; passed += step) {
			this.clock.advance(step);
			for (const [id, node] of this.nodes) {
				if (this.stopped.has(id)) {
					continue;
				}

				if (Math.round(this.clock.now()) % defaultGossipSettings.probePeriod === 0) {
					node.tick();
				} else {
					node.checkProbes();
				}
			}
		}
	}

	/** @returns how many of the running nodes see so many members that can be given work. */
	agreeing(count: number): number {
		let agreeing = 0;
		for (const [id, node] of this.nodes) {
			const seen = [...node.directory.all()].filter((member) => isRoutable(member)).length;
			agreeing += !this.stopped.has(id) && seen === count ? 1 : 0;
		}

		return agreeing;
	}

	private carry(from: Gossip, to: string, bytes: Uint8Array): void {
		const target = this.nodes.get(to);
		const isLost = this.random.next() < this.loss;
		if (!target || isLost || this.stopped.has(from.localMember.id)) {
			return;
		}

		if (this.cut?.(from.localMember, target.localMember)) {
			return;
		}

		this.clock.after(delay, () => {
			if (!this.stopped.has(to)) {
				target.receive(decodeGossip(bytes));
			}
		});
	}
}

describe('Gossip', () => {
	it('lets members that start together know each other', () => {
		const group = new Group(24);
		group.run(5000);
		expect(group.agreeing(24)).toBe(24);
	});

	it.each(seeds)(
		'takes a killed member out of routing in its region within a second (seed %i)',
		(seed) => {
			const group = new Group(24, seed);
			group.run(6000 + (seed % 31) * 20);
			group.stopped.add('10.0.0.5:7001');
			group.run(1000);
			const mates = [...group.nodes.values()].filter(
				(node) => node.localMember.region === 'harju' && node.localMember.id !== '10.0.0.5:7001',
			);
			for (const node of mates) {
				expect(isRoutable(node.directory.get('10.0.0.5:7001')!)).toBe(false);
			}

			group.run(10_000);
			expect(group.agreeing(23)).toBe(23);
		},
	);

	it('takes a frozen member back once it goes on', () => {
		const group = new Group(12);
		group.run(5000);
		group.stopped.add('10.0.0.2:7001');
		group.run(8000);
		expect(group.agreeing(11)).toBe(11);
		group.stopped.delete('10.0.0.2:7001');
		group.run(8000);
		expect(group.agreeing(12)).toBe(12);
	});

	it('finds its members again after a cut in which each side took the other for dead', () => {
		const group = new Group(16);
		group.run(5000);
		group.cut = (from, to) => from.region !== to.region;
		group.run(20_000);
		expect(group.agreeing(8)).toBe(16);
		group.cut = undefined;
		group.run(20_000);
		expect(group.agreeing(16)).toBe(16);
	});

	it('holds nobody for dead under a loss of 30 in 100 datagrams', () => {
		const group = new Group(24);
		group.run(5000);
		group.loss = 0.3;
		group.run(60_000);
		const dead = [...group.nodes.values()].flatMap((node) =>
			[...node.directory.all()].filter((member) => member.liveness === Liveness.Dead),
		);
		expect(dead).toEqual([]);
	});

	it('never mixes up two incarnations at one address', () => {
		const group = new Group(8);
		group.run(5000);
		group.stopped.add('10.0.0.3:7001');
		group.run(500);
		group.stopped.delete('10.0.0.3:7001');
		const reborn = group.add('10.0.0.3:7001', 1000, zoneOf(2));
		reborn.join('10.0.0.1:7001');
		group.run(8000);
		for (const node of group.nodes.values()) {
			expect(node.directory.get('10.0.0.3:7001')?.incarnation).toBe(1000);
		}

		expect(group.agreeing(8)).toBe(8);
	});

	it('gives a presumed member calls once it answers, and tells nobody of one that does not', () => {
		const group = new Group(8);
		group.run(5000);
		const gone = '10.0.0.99:7001';
		const starter = group.add('10.0.0.9:7001', 9, zoneOf(1));
		starter.addUnconfirmed(gone, {...zoneOf(1), service: 's'});
		starter.addUnconfirmed('10.0.0.2:7001', {...zoneOf(1), service: 's'});
		expect(isRoutable(starter.directory.get('10.0.0.2:7001')!)).toBe(false);
		group.run(20);
		expect(isRoutable(starter.directory.get('10.0.0.2:7001')!)).toBe(true);
		group.run(3000);
		expect(isRoutable(starter.directory.get(gone)!)).toBe(false);
		for (const [id, node] of group.nodes) {
			expect(node.directory.get(gone) !== undefined).toBe(id === '10.0.0.9:7001');
		}
	});

	it('takes any account of a member for truer than what it presumes', () => {
		const group = new Group(2);
		const late = group.add('10.0.0.3:7001', 7, zoneOf(2));
		late.addUnconfirmed('10.0.0.1:7001', {...zoneOf(0), service: 'other'});
		late.join('10.0.0.1:7001');
		group.run(1000);
		expect(late.directory.get('10.0.0.1:7001')).toMatchObject({incarnation: 1, service: 's'});
	});
});
