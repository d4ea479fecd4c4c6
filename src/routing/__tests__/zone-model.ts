import type {Millis} from '../../clock/index.js';
import {createRandom} from '../../random/index.js';
import {expectedLoss, expectedTime} from '../expected-time.js';
import {ZoneSpillover, type OtherZone} from '../zone-spillover.js';

/** An availability zone of the model. */
export interface ModelZone {
	/** Number of backend servers of the service. */
	readonly servers: number;
	/** @returns demand of the zone's own callers, in slots that they would occupy. */
	demand(at: Millis): number;
	/** @returns whether the zone is cut off from the others. */
	isCut?(at: Millis): boolean;
}

/** Settings of {@link ZoneModel}. */
export interface ModelSettings {
	readonly zones: readonly ModelZone[];
	/** Number of nodes of a zone that decide on their own. */
	readonly nodes: number;
	/** Age of the figures on which they decide. */
	readonly age: Millis;
	readonly roundTrip?: Millis;
	readonly work?: Millis;
	readonly objective?: Millis;
	/** Relative spread of the figures that a node sees. */
	readonly noise?: number;
	readonly transferLoss?: number;
}

/** State of all zones at one time. */
export interface ModelStep {
	readonly at: Millis;
	/** Share of its own calls that each zone sends to each other zone. */
	readonly sent: ReadonlyArray<readonly number[]>;
	/** Running and queued calls per slot. */
	readonly loads: readonly number[];
	/** Share of all demand that exceeds the slots of the zone to which it went. */
	readonly excess: number;
	/** Share of all demand that no placement could serve. */
	readonly inevitable: number;
}

type Figures = {load: number; foreign: number; room: number | undefined};

export const slotsPerServer = 8;
const stepTime: Millis = 20;
/** Each node decides every 100 ms, not all at the same time. */
const stepsPerDecision = 5;
/** Queued and running calls per slot beyond which executors refuse. */
const maxLoad = 2;

/** Availability zones as fluids of calls: the decisions are real, their nodes and calls are not. */
export class ZoneModel {
	private readonly nodes: ZoneSpillover[][];
	private readonly own: number[];
	private readonly foreign: number[];
	private readonly history: Figures[][] = [];
	private readonly random = createRandom(7);

	constructor(private readonly settings: ModelSettings) {
		const {zones, nodes} = settings;
		this.nodes = zones.map(() => Array.from({length: nodes}, () => new ZoneSpillover()));
		this.own = zones.map(({demand}) => demand(0));
		this.foreign = zones.map(() => 0);
	}

	/**
	 * @param duration - simulated time, in ms.
	 * @returns all steps.
	 */
	run(duration: Millis): ModelStep[] {
		const steps: ModelStep[] = [];
		for (let at = 0; at < duration; at += stepTime) {
			steps.push(this.advance(at));
		}

		return steps;
	}

	private slots(zone: number): number {
		return this.settings.zones[zone]!.servers * slotsPerServer;
	}

	private isReachable(from: number, to: number, at: Millis): boolean {
		const isCut = (zone: number) => this.settings.zones[zone]!.isCut?.(at) ?? false;
		return !isCut(from) && !isCut(to);
	}

	private advance(at: Millis): ModelStep {
		const {zones, work = 150} = this.settings;
		this.history.push(zones.map((_zone, index) => this.figures(index)));
		const sent = zones.map((_zone, index) => this.decide(index, at));
		const arrivals = zones.map(() => 0);
		const foreignArrivals = zones.map(() => 0);
		let demanded = 0;
		let lost = 0;
		for (const [index, {demand}] of zones.entries()) {
			const demandNow = demand(at);
			demanded += demandNow;
			let left = 0;
			for (const [to, share] of sent[index]!.entries()) {
				left += share;
				foreignArrivals[to]! += share * demandNow;
				lost += this.isReachable(index, to, at) ? 0 : share * demandNow;
			}

			arrivals[index]! += (1 - left) * demandNow;
		}

		let excess = lost;
		const fraction = stepTime / work;
		for (const [index] of zones.entries()) {
			const slots = this.slots(index);
			excess += Math.max(0, arrivals[index]! + foreignArrivals[index]! - slots);
			const total = this.own[index]! + this.foreign[index]!;
			const served = total > slots ? slots / total : 1;
			this.own[index]! += (arrivals[index]! - this.own[index]! * served) * fraction;
			this.foreign[index]! += (foreignArrivals[index]! - this.foreign[index]! * served) * fraction;
			const scale = Math.min(
				1,
				(maxLoad * slots) / (this.own[index]! + this.foreign[index]! + 1e-9),
			);
			this.own[index]! *= scale;
			this.foreign[index]! *= scale;
		}

		const allSlots = zones.reduce((sum, _zone, index) => sum + this.slots(index), 0);
		return {
			at,
			sent,
			loads: zones.map((_zone, i) => (this.own[i]! + this.foreign[i]!) / this.slots(i)),
			excess: excess / demanded,
			inevitable: Math.max(0, demanded - allSlots) / demanded,
		};
	}

	private figures(zone: number): Figures {
		const slots = this.slots(zone);
		const load = (this.own[zone]! + this.foreign[zone]!) / slots;
		return {load, foreign: this.foreign[zone]! / slots, room: this.nodes[zone]![0]!.room};
	}

	// Mean shares of the nodes of a zone; each decides at another time of the interval.
	private decide(zone: number, at: Millis): number[] {
		const {zones, nodes, age} = this.settings;
		const seen = this.history[Math.max(0, this.history.length - 1 - Math.round(age / stepTime))]!;
		const sums = zones.map(() => 0);
		const step = Math.round(at / stepTime);
		for (const [index, spillover] of this.nodes[zone]!.entries()) {
			if ((step + index) % stepsPerDecision === 0) {
				this.update(spillover, zone, at, seen);
			}

			for (const [to, share] of spillover.shares) {
				sums[Number(to)]! += share / nodes;
			}
		}

		return sums;
	}

	private update(spillover: ZoneSpillover, zone: number, at: Millis, seen: Figures[]): void {
		const {age, noise = 0, work = 150, objective = 640} = this.settings;
		const {roundTrip = 3.5, transferLoss = 0.05} = this.settings;
		const blur = () => 1 + noise * (this.random.next() * 2 - 1) * Math.sqrt(3);
		const loss = (load: number, latency: Millis) => {
			const slots = slotsPerServer;
			const usual = {work, slowdown: 1, slots, rateWait: 0, roundTrip: latency};
			const expected = expectedTime({...usual, load: load * slots});
			return expectedLoss({expected, objectiveLeft: objective, timeLeft: 2 * objective});
		};

		const others: OtherZone[] = [];
		for (const [index, figures] of seen.entries()) {
			// A zone that is cut off is taken off the list of members after a second.
			const isKnown = this.isReachable(zone, index, at) || this.isReachable(zone, index, at - 1000);
			if (index !== zone && isKnown) {
				const far = loss(0, roundTrip) + transferLoss;
				const {room, foreign: otherLoad} = figures;
				const slots = this.slots(index);
				others.push({zone: String(index), slots, room, otherLoad, age, loss: far});
			}
		}

		const {load, foreign} = seen[zone]!;
		const factor = blur();
		spillover.update({
			now: at + 1000,
			own: {load: load * factor, foreignLoad: foreign * factor, slots: this.slots(zone), age},
			others,
			responseTime: work,
			ownLoss: (at) => loss(at, 1),
		});
	}
}
