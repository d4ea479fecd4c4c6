import {describe, expect, it} from 'vitest';
import type {Millis} from '../../../clock/index.js';
import {noRoom, ZoneSpillover, type OtherZone, type SpilloverInput} from '../../zone-spillover.js';
import {slotsPerServer, ZoneModel, type ModelSettings, type ModelStep} from '../zone-model.js';

const duration: Millis = 40_000;

/** A zone with a steady demand, relative to its slots. */
function steady(servers: number, relativeDemand: number) {
	return {servers, demand: () => servers * slotsPerServer * relativeDemand};
}

/** A zone whose demand oscillates by 0.55 of its mean with a period of 17 s. */
function wave(servers: number, relativeDemand: number, phase: number) {
	const mean = servers * slotsPerServer * relativeDemand;
	return {
		servers,
		demand: (at: Millis) => mean * (1 + 0.55 * Math.sin((2 * Math.PI * at) / 17_000 + phase)),
	};
}

function mean(values: readonly number[]): number {
	return values.reduce((sum, value) => sum + value, 0) / values.length;
}

function outflow({sent}: ModelStep, zone = 0): number {
	return sent[zone]!.reduce((sum, share) => sum + share, 0);
}

/** Outcome of the last quarter of a run, by which the shares have settled. */
function settle(settings: ModelSettings) {
	const steps = new ZoneModel(settings).run(duration);
	const tail = steps.slice(-steps.length / 4);
	const shares = tail.map((step) => outflow(step));
	const share = mean(shares);
	return {
		steps,
		share,
		spread: Math.sqrt(mean(shares.map((value) => (value - share) ** 2))),
		excess: mean(tail.map(({excess}) => excess)),
		inevitable: mean(tail.map(({inevitable}) => inevitable)),
		loads: tail.at(-1)!.loads,
	};
}

/** Share of calls that two zones send to each other at the same time. */
function mutual({sent}: ModelStep): number {
	let sum = 0;
	for (const [a, shares] of sent.entries()) {
		for (const [b, share] of shares.entries()) {
			sum += Math.min(share, sent[b]![a]!) / 2;
		}
	}

	return sum;
}

describe('a zone that is short', () => {
	for (const lack of [0.1, 0.5, 0.9]) {
		it(`sends away what it lacks and no more (${lack * 100} %)`, () => {
			// A share that is too small leaves calls late, one that is too large pays for bytes for nothing.
			const demand = 1 / (1 - lack);
			const other = steady(Math.ceil(20 * demand), 0.3);
			const {share, spread, excess} = settle({
				zones: [steady(10, demand), other],
				nodes: 10,
				age: 300,
			});
			expect(share).toBeGreaterThan(lack - 0.03);
			expect(share).toBeLessThan(Math.min(1, lack + 0.1));
			expect(spread).toBeLessThan(0.02);
			expect(excess).toBeLessThan(0.02);
		});
	}

	for (const age of [100, 300, 1000, 3000]) {
		it(`does not oscillate on figures that are ${age} ms old, whatever the number of nodes`, () => {
			// 80 nodes that react to one outdated figure in full would overfill the other zone, leave it and return.
			for (const nodes of [1, 80]) {
				const {share, spread, loads} = settle({
					zones: [steady(10, 1.4), steady(15, 0.4)],
					nodes,
					age,
					noise: 0.05,
				});
				expect(share).toBeGreaterThan(0.25);
				expect(share).toBeLessThan(0.4);
				expect(spread).toBeLessThan(0.03);
				expect(loads[1]).toBeLessThan(0.95);
			}
		});
	}

	for (const servers of [2, 12, 300]) {
		it(`finds room among 2 to 6 zones of ${servers} backend servers`, () => {
			for (const count of [2, 3, 4, 5, 6]) {
				const others = Array.from({length: count - 1}, () => steady(servers, 0.4));
				const zones = [steady(servers, 1.4), ...others];
				const {excess, inevitable} = settle({zones, nodes: 10, age: 300});
				expect(excess - inevitable).toBeLessThan(0.01);
			}
		});
	}

	it('fills the room of the others only up to their own need when demand exceeds all capacity', () => {
		const {steps, excess, inevitable} = settle({
			zones: [steady(10, 1.8), steady(10, 0.6)],
			nodes: 10,
			age: 300,
		});
		expect(excess - inevitable).toBeLessThan(0.08);
		expect(Math.max(...steps.map(({loads}) => loads[1]!))).toBeLessThan(1.2);
	});

	it('takes its calls back when capacity returns', () => {
		const demand = (at: Millis) => 80 * (at < 15_000 ? 1.5 : 0.7);
		const zones = [{servers: 10, demand}, steady(10, 0.4)];
		const steps = new ZoneModel({zones, nodes: 20, age: 300}).run(duration);
		expect(outflow(steps[Math.floor(14_000 / 20)]!)).toBeGreaterThan(0.3);
		expect(outflow(steps[Math.floor(18_000 / 20)]!)).toBeLessThan(0.05);
		expect(outflow(steps.at(-1)!)).toBe(0);
	});

	it('leaves a zone that is cut off for the one that is left', () => {
		// Attempts at a zone that is cut off are lost until its members are declared absent, a second later.
		const cut = {...steady(10, 0.3), isCut: (at: Millis) => at > 15_000};
		const {steps, share, excess} = settle({
			zones: [steady(10, 1.4), cut, steady(10, 0.3)],
			nodes: 10,
			age: 300,
		});
		expect(steps.at(-1)!.sent[0]![1]).toBe(0);
		expect(share).toBeGreaterThan(0.25);
		expect(excess).toBeLessThan(0.01);
	});
});

describe('zones that are all short', () => {
	for (const age of [100, 1000, 3000]) {
		it(`keep their own calls on figures that are ${age} ms old`, () => {
			const zones = [steady(10, 1.5), steady(10, 1.3), steady(8, 1.6)];
			const {steps} = settle({zones, nodes: 10, age, noise: 0.05});
			// Until the others have reported, a small share is tried.
			expect(Math.max(...steps.map((step) => outflow(step)))).toBeLessThan(0.08);
			expect(Math.max(...steps.slice(500).map((step) => outflow(step)))).toBe(0);
		});
	}
});

describe('zones with demand waves', () => {
	for (const age of [100, 300, 1000]) {
		it(`never send to each other for long on figures that are ${age} ms old`, () => {
			// The news that the other zone has become short takes its time, and the shares fall in steps.
			const zones = [0, 1, 2, 3, 4, 5].map((phase) => wave(10, 0.75, phase));
			const steps = new ZoneModel({zones, nodes: 14, age, noise: 0.05}).run(51_000);
			expect(mean(steps.map((step) => mutual(step)))).toBeLessThan(0.002);
		});

		const bound = age < 1000 ? 0.33 : 0.55;
		it(`lose at most ${bound} of what they lose alone (figures ${age} ms old)`, () => {
			const zones = [0, 2, 4].map((phase) => wave(10, 0.8, phase));
			const steps = new ZoneModel({zones, nodes: 14, age, noise: 0.05}).run(51_000);
			const excess = mean(steps.map((step) => step.excess));
			let alone = 0;
			for (const {at} of steps) {
				const demands = zones.map(({demand}) => demand(at));
				const lost = demands.reduce((sum, demand) => sum + Math.max(0, demand - 80), 0);
				alone += lost / demands.reduce((sum, demand) => sum + demand, 0) / steps.length;
			}

			expect(alone).toBeGreaterThan(0.05);
			expect(excess).toBeLessThan(alone * bound);
		});
	}
});

describe('a zone with room', () => {
	it('sends nothing away, however the figures scatter', () => {
		const zones = [steady(10, 0.75), steady(10, 0.3)];
		const {steps} = settle({zones, nodes: 10, age: 1000, noise: 0.1});
		expect(Math.max(...steps.map((step) => outflow(step)))).toBe(0);
	});
});

describe('a far zone', () => {
	function shareTo(roundTrip: Millis, objective: Millis, transferLoss = 0.05): number {
		const zones = [steady(10, 1.5), steady(10, 0.3)];
		const settings = {nodes: 10, age: 300, roundTrip, objective, transferLoss, work: 100};
		return settle({zones, ...settings}).share;
	}

	it('is used 20 and 40 ms away by calls that it can still answer in time', () => {
		expect(shareTo(40, 640)).toBeGreaterThan(0.3);
		expect(shareTo(80, 640)).toBeGreaterThan(0.3);
		expect(shareTo(40, 160)).toBeGreaterThan(0.3);
	});

	it('is not used 40 ms away by calls that would be late there', () => {
		expect(shareTo(80, 160)).toBe(0);
	});

	it('is not used when the bytes cost more than the answers are worth', () => {
		expect(shareTo(3.5, 640, 0.7)).toBe(0);
	});
});

describe('ZoneSpillover', () => {
	function input(now: Millis, change: Partial<SpilloverInput> = {}): SpilloverInput {
		const other: OtherZone = {zone: 'b', slots: 80, room: 0.6, otherLoad: 0, age: 100, loss: 0.05};
		return {
			now,
			own: {load: 1.5, foreignLoad: 0, slots: 80, age: 100},
			others: [other],
			responseTime: 150,
			ownLoss: (load) => (load > 0.8 ? 0.3 : 0),
			...change,
		};
	}

	function run(count: number, change: Partial<SpilloverInput> = {}): ZoneSpillover {
		const spillover = new ZoneSpillover();
		for (let i = 0; i < count; i++) {
			spillover.update(input(1000 + i * 100, change));
		}

		return spillover;
	}

	it('says that it has no room for others while it sends calls away', () => {
		expect(run(20).room).toBe(noRoom);
		const idle = {load: 0.3, foreignLoad: 0, slots: 80, age: 100};
		expect(run(20, {own: idle}).room).toBeGreaterThan(0.4);
	});

	it('sends nothing away because of the calls of other zones', () => {
		// Otherwise a zone that has taken too many calls would pass on its own ones.
		const crowded = run(50, {own: {load: 1.3, foreignLoad: 0.8, slots: 80, age: 100}});
		expect(crowded.share).toBe(0);
		expect(crowded.room).toBeLessThan(0);
		expect(crowded.room).toBeGreaterThan(noRoom);
	});

	it('tries a zone of which nothing is known with a small share only', () => {
		const unknown = {zone: 'b', slots: 80, room: undefined, otherLoad: 0, age: 0, loss: 0.05};
		const {share} = run(100, {others: [unknown]});
		expect(share).toBeGreaterThan(0.02);
		expect(share).toBeLessThanOrEqual(0.05);
	});

	it('prefers the zone in which calls lose least', () => {
		const near = {zone: 'b', slots: 80, room: 0.6, otherLoad: 0, age: 100, loss: 0.05};
		const own = {load: 1.05, foreignLoad: 0, slots: 80, age: 100};
		const {shares} = run(40, {own, others: [{...near, zone: 'c', loss: 0.2}, near]});
		expect(shares.get('b') ?? 0).toBeGreaterThan(10 * (shares.get('c') ?? 0));
	});

	it('reduces the share to a zone in which attempts are lost', () => {
		const spillover = run(20);
		const {share} = spillover;
		spillover.recordLoss('b');
		spillover.recordLoss('b');
		expect(spillover.share).toBeLessThan(share * 0.6);
	});

	it('has no say while the own zone has no executor', () => {
		const none = {load: 0, foreignLoad: 0, slots: 0, age: 0};
		const spillover = run(5, {own: none});
		expect(spillover.share).toBe(0);
		expect(spillover.room).toBe(noRoom);
	});
});
