import {second, type Millis} from '../clock/index.js';

/** Load of a service in the own availability zone, as one node knows it. */
export interface OwnZoneLoad {
	/** Calls that are running or queued there, per usable slot. */
	readonly load: number;
	/** The part of `load` that callers of other availability zones have sent. */
	readonly foreignLoad: number;
	/** Number of usable slots; a slow backend server counts for fewer. 0 if the zone has no executor. */
	readonly slots: number;
	/** Mean age of these figures, in ms. */
	readonly age: Millis;
}

/** Another availability zone that has executors of the service. */
export interface OtherZone {
	readonly zone: string;
	readonly slots: number;
	/**
	 * Free share of its slots that it reports for callers of other zones; below 0 if its load is too high, and
	 * {@link noRoom} while it is short for its own callers. Undefined while no report of it is known.
	 */
	readonly room: number | undefined;
	/** Calls per slot that callers of other zones have there, by the same report. */
	readonly otherLoad: number;
	/** Age of the report, in ms. */
	readonly age: Millis;
	/** Expected loss of a typical call that is sent there, including the transfer cost. */
	readonly loss: number;
}

type FigureInput = Pick<SpilloverInput, 'now' | 'own' | 'others' | 'responseTime'>;
type Step = {
	readonly at: Millis;
	readonly total: number;
	readonly shares: ReadonlyMap<string, number>;
};

/** What a decision about one service is made from. */
export interface SpilloverInput {
	/** Monotonic time, in ms. */
	readonly now: Millis;
	readonly own: OwnZoneLoad;
	readonly others: readonly OtherZone[];
	/** Time until a changed share shows in the load, in ms: about the run time of a call. */
	readonly responseTime: Millis;
	/** @returns expected loss of a typical call in the own zone at a load per slot. */
	ownLoss(load: number): number;
}

/** Room of a zone that is short for its own callers, which must not depend on how many others have sent. */
export const noRoom = -1;

/** Minimum time between two steps of a share, in ms. */
const minStepInterval: Millis = 100;
/** Longest time that one step accounts for, in ms; after a pause of the node the figures are new. */
const maxStepInterval: Millis = 500;
/** The demand is forecast this much beyond the age of the figures, in ms. */
const forecastTime: Millis = 300;
/** Time constants of the demand and of its trend, in ms; well below the 17 s of a demand wave. */
const demandTime: Millis = 400;
const trendTime: Millis = 2000;
/** Longest time over which the trend is extrapolated, in ms: the trend of a wave lasts about a quarter of it. */
const maxForecast: Millis = 2000;
/** Bounds of the load per slot at which calls leave. Below the lower one the load is mostly chance. */
const minTargetLoad = 0.75;
const maxTargetLoad = 0.95;
const targetLoadStep = 0.05;
/** A zone is worth leaving for while a call loses less there than this part of its value. */
const maxLeavingLoss = 0.5;
/** Highest share that leaves: own executors must keep calls, as these bring their load reports. */
const maxShare = 0.95;
/** Lack of capacity from which a zone that had enough counts as short. */
const minShortage = 0.05;
/** Share below which no call leaves; smaller ones are noise. */
const minShare = 0.01;
/** Steps make up for a difference in this multiple of the time after which their effect is seen. */
const stepFactor = 1;
/** Fastest change of a share per second. */
const maxRate = 0.8;
/**
 * Load per slot that counts at most. A higher one is mostly a queue, which remains for a while after the demand
 * has fallen and would make the share overshoot.
 */
const maxObservedLoad = 1.25;
/** Share of the other zone's slots that callers of all other zones leave free for its own callers. */
const reservedRoom = 0.06;
/** Load by other zones, and own share of the calls there, from which the effect of a share is known. */
const minOtherLoad = 0.05;
const minScaledShare = 0.02;
/** Share that is tried in a zone of which nothing is known. */
const maxTrialShare = 0.05;
/** Number of zones that are assumed to fill the room of another one at the same time, at most. */
const maxSenders = 2;
/** Time constant with which calls are withdrawn from a zone in which they lose too much, in ms. */
const withdrawalTime: Millis = 250;
/** Age from which a report of another zone counts as unknown, in ms. */
const maxReportAge: Millis = 4000;
/** Share of a destination that remains after an attempt there was lost. */
const lossFactor = 0.7;
const secondsPerMilli = 1 / second;

/**
 * Decides which share of the calls for one service leaves the own availability zone, and to which zones. The
 * shares move in small steps towards what the forecast demand lacks in capacity. The steps shrink with the
 * age of the figures, so that many nodes that see the same outdated figure do not overshoot together. A
 * node needs no agreement with the others of its zone: each applies the share to its own calls.
 */
export class ZoneSpillover {
	private readonly destinations = new Map<string, number>();
	private steppedAt: Millis | undefined;
	/** Earlier shares, as the figures of the zones are of that time. */
	private readonly history: Step[] = [];
	/** Total share that the reported load of the own zone was produced with. */
	private effectiveShare = 0;
	/** Demand of the zone's own callers per usable slot, and its change per second. */
	private demand: number | undefined;
	private trend = 0;
	private freeShare: number | undefined;

	/** Share of the zone's own calls that leaves, from 0 to 1. */
	get share(): number {
		let total = 0;
		for (const share of this.destinations.values()) {
			total += share;
		}

		return total;
	}

	/** Share of the own calls for each zone that receives any. */
	get shares(): ReadonlyMap<string, number> {
		return this.destinations;
	}

	/** Demand of the zone's own callers, per usable slot. */
	get ownDemand(): number {
		return this.demand ?? 0;
	}

	/**
	 * Free share of the own zone's slots for callers of other zones, from -1 to 1; {@link noRoom} while the zone is
	 * short for its own callers. Undefined before the first decision.
	 */
	get room(): number | undefined {
		return this.freeShare;
	}

	/** Whether the own zone has too little capacity for its own callers. */
	get isShort(): boolean {
		return this.freeShare === noRoom;
	}

	/**
	 * @param now - monotonic time, in ms.
	 * @returns whether the next step can be made.
	 */
	isDue(now: Millis): boolean {
		return this.steppedAt === undefined || now - this.steppedAt >= minStepInterval;
	}

	/**
	 * Moves the shares by one step, if the last step is long enough ago.
	 * @param input - what is known of the service.
	 * @returns whether a step was made.
	 */
	update(input: SpilloverInput): boolean {
		const {now, own} = input;
		const elapsed = this.steppedAt === undefined ? minStepInterval : now - this.steppedAt;
		if (elapsed < minStepInterval) {
			return false;
		}

		this.steppedAt = now;
		const interval = Math.min(elapsed, maxStepInterval);
		this.removeAbsent(input.others);
		if (own.slots === 0) {
			this.destinations.clear();
			this.freeShare = noRoom;
			return true;
		}

		this.observe(input, interval);
		const ahead = this.forecastDemand(own.age);
		const target = this.targetLoad(input);
		const wanted = Math.min(maxShare, Math.max(0, 1 - target / Math.max(ahead, target)));
		this.withdraw(input, ahead, interval);
		this.step(input, wanted, ahead, interval);
		const sent = this.share;
		this.remember(now);
		const isShort = wanted > (this.isShort ? 0 : minShortage) || sent > minShare;
		const total = own.load + (ahead - this.ownDemand) * (1 - sent);
		this.freeShare = isShort ? noRoom : Math.max(noRoom / 2, target - total);
		return true;
	}

	/**
	 * Records that an attempt in another zone was lost or could not be sent.
	 * @param zone - the other zone.
	 */
	recordLoss(zone: string): void {
		const share = this.destinations.get(zone);
		if (share !== undefined) {
			this.setShare(zone, share * lossFactor);
		}
	}

	/**
	 * Share of the own calls that fills the room of another zone at once, for calls that would be lost in the own
	 * zone: larger than the share that has been decided, but no more than the other zone has reported.
	 * @param input - what is known of the service.
	 * @param other - the other zone.
	 * @returns the share, from 0 to 1.
	 */
	urgentShare(input: FigureInput, other: OtherZone): number {
		const share = this.destinations.get(other.zone) ?? 0;
		return Math.min(1, Math.max(0, this.mostFor(input, other, this.ownDemand) - share));
	}

	private setShare(zone: string, share: number): void {
		if (share > 0) {
			this.destinations.set(zone, share);
		} else {
			this.destinations.delete(zone);
		}
	}

	private removeAbsent(others: readonly OtherZone[]): void {
		for (const zone of this.destinations.keys()) {
			if (!others.some((other) => other.zone === zone)) {
				this.destinations.delete(zone);
			}
		}
	}

	// Demand of the own callers includes the calls that leave: the reports show the rest of it.
	private observe({now, own, responseTime}: SpilloverInput, interval: Millis): void {
		const earlier = this.stepAt(now - own.age)?.total ?? 0;
		this.effectiveShare +=
			(earlier - this.effectiveShare) * (1 - Math.exp(-interval / responseTime));
		const load = Math.max(0, own.load - own.foreignLoad);
		const observed = Math.min(maxObservedLoad, load) / (1 - this.effectiveShare);
		const seconds = interval * secondsPerMilli;
		const predicted = this.demand === undefined ? observed : this.demand + this.trend * seconds;
		const error = observed - predicted;
		const demandWeight = 1 - Math.exp(-interval / demandTime);
		this.demand = Math.max(0, predicted + error * demandWeight);
		this.trend += (error * demandWeight * (interval / trendTime)) / seconds;
		this.trend *= Math.exp(-interval / (2 * trendTime));
	}

	private remember(now: Millis): void {
		const {history} = this;
		const isUnchanged = this.share === 0 && (history.at(-1)?.total ?? 0) === 0;
		if (isUnchanged) {
			history.length = 0;
			return;
		}

		history.push({at: now, total: this.share, shares: new Map(this.destinations)});
		while (history[0]!.at < now - maxReportAge - second) {
			history.shift();
		}
	}

	private stepAt(at: Millis): Step | undefined {
		return this.history.findLast((step) => step.at <= at);
	}

	// Room that is left once the calls have arrived that were sent after the report was made.
	private roomLeft(input: FigureInput, other: OtherZone, ahead: number): number | undefined {
		const room = knownRoom(other);
		if (room === undefined || room === noRoom) {
			return room;
		}

		const {zone} = other;
		const earlier = this.stepAt(input.now - other.age - input.responseTime)?.shares.get(zone) ?? 0;
		const share = this.destinations.get(zone) ?? 0;
		const underway = (share - earlier) / this.shareOfRoom(input, other, 1, ahead);
		return Math.max(noRoom * 0.9, room - underway);
	}

	private forecastDemand(age: Millis): number {
		const time = Math.min(maxForecast, forecastTime + age) * secondsPerMilli;
		return Math.max(0, this.ownDemand + this.trend * time);
	}

	// Load per slot from which a typical call loses more in the own zone than elsewhere.
	private targetLoad({others, ownLoss}: SpilloverInput): number {
		const losses = others.map(({loss}) => loss);
		const least = Math.min(...losses, Number.POSITIVE_INFINITY);
		let target = minTargetLoad;
		while (target < maxTargetLoad && ownLoss(target) < least) {
			target += targetLoadStep;
		}

		return Math.min(target, maxTargetLoad);
	}

	// Calls are withdrawn from an overloaded zone whether or not the own zone has room for them.
	private withdraw(input: SpilloverInput, ahead: number, interval: Millis): void {
		for (const other of input.others) {
			const share = this.destinations.get(other.zone) ?? 0;
			const room = this.roomLeft(input, other, ahead);
			if (share === 0) {
				continue;
			}

			let left = share;
			if (other.loss >= maxLeavingLoss || room === noRoom) {
				left *= Math.exp(-interval / withdrawalTime);
			} else if (room === undefined) {
				left = Math.max(Math.min(share, maxTrialShare), share * Math.exp(-interval / maxReportAge));
			} else if (room < 0) {
				left += this.shareOfRoom(input, other, room, ahead) * stepShare(input, other, interval);
			}

			this.setShare(other.zone, left < minShare / 4 ? 0 : left);
		}
	}

	// Share of the own calls that fills a part of the slots of another zone.
	private shareOfRoom(
		{own, others}: FigureInput,
		{slots}: OtherZone,
		room: number,
		ahead: number,
	): number {
		const senders = Math.min(maxSenders, others.length);
		return (room * slots) / (own.slots * Math.max(ahead, minTargetLoad) * senders);
	}

	// The zones in which calls lose least are used first, each as far as its room is known to go. Moves each share
	// by a part of the difference.
	private step(input: SpilloverInput, wanted: number, ahead: number, interval: Millis): void {
		const {own, others, responseTime} = input;
		const ownGain = Math.min(
			1,
			interval / (stepFactor * (responseTime + own.age) + minStepInterval),
		);
		const limit = (maxRate * interval) / second;
		let rest = wanted;
		for (const other of byLoss(others)) {
			const share = this.destinations.get(other.zone) ?? 0;
			const desired = Math.min(rest, this.mostFor(input, other, ahead));
			rest -= desired;
			const gain = Math.min(ownGain, stepShare(input, other, interval));
			const change = (desired - share) * (desired > share ? gain : ownGain);
			this.setShare(other.zone, share + Math.min(limit, Math.max(-limit, change)));
		}

		if (wanted === 0 && this.share < minShare) {
			this.destinations.clear();
		}
	}

	// Share that fills the other zone. Its calls of other zones and its room are known from the same report, so that
	// all senders together fill it if each scales its share of that time, however many they are.
	private mostFor(input: FigureInput, other: OtherZone, ahead: number): number {
		const {zone, otherLoad, age, loss} = other;
		const share = this.destinations.get(zone) ?? 0;
		if (loss >= maxLeavingLoss) {
			return 0;
		}

		const room = this.roomLeft(input, other, ahead);
		if (room === undefined) {
			return Math.max(Math.min(share, maxTrialShare), maxTrialShare);
		}

		const free = Math.max(0, room - reservedRoom);
		const least = share + this.shareOfRoom(input, other, free, ahead);
		const earlier = this.stepAt(input.now - age - input.responseTime)?.shares.get(zone) ?? 0;
		const reported = Math.max(0, (knownRoom(other) ?? 0) - reservedRoom);
		const isInUse = otherLoad >= minOtherLoad && earlier >= minScaledShare && reported > 0;
		return isInUse ? Math.max(least, earlier * (1 + reported / otherLoad)) : least;
	}
}

// Part of a difference that one step makes up for: small enough that the effect of earlier steps shows in time.
function stepShare({responseTime}: SpilloverInput, {age}: OtherZone, interval: Millis): number {
	return Math.min(1, interval / (stepFactor * (responseTime + age)));
}

function knownRoom({room, age}: OtherZone): number | undefined {
	return age <= maxReportAge ? room : undefined;
}

function byLoss(others: readonly OtherZone[]): OtherZone[] {
	return others.toSorted((a, b) => a.loss - b.loss);
}
