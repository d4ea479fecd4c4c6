import type {Clock, Millis} from '../clock/index.js';
import {
	type Distance,
	distanceBetween,
	isRoutable,
	type Directory,
	type Member,
} from '../membership/index.js';
import type {CallProfile} from './call-profiles.js';
import {expectedLoss, expectedTime} from './expected-time.js';
import type {ExecutorView, ExecutorViews} from './executor-view.js';
import type {PlacementQuery} from './placement.js';
import {noRoom, ZoneSpillover, type OtherZone, type OwnZoneLoad} from './zone-spillover.js';

/** Notable change of the decision about one service. */
export interface SpilloverChange {
	readonly service: string;
	/** Share of the own zone's calls that leaves. */
	readonly share: number;
	/** Whether the own zone has too little capacity for its own callers. */
	readonly isShort: boolean;
	/** Whether the own zone has just become short, or has just ceased to be. */
	readonly isShortChanged: boolean;
	/** Whether calls have just begun to leave, or have just ceased to. */
	readonly isLeavingChanged: boolean;
}

/** Collaborators of {@link ZoneDecisions}. */
export interface ZoneDecisionsDependencies {
	readonly clock: Pick<Clock, 'now'>;
	readonly directory: Directory;
	readonly views: ExecutorViews;
	readonly self: () => Member;
	/** @returns the expected slowdown of an executor. */
	slowdownOf(view: ExecutorView, now: Millis): number;
	/** @returns the usual network time of an attempt there and back, in ms. */
	roundTripOf(distance: Distance): Millis;
	/** @returns the loss by the transfer of bytes, for a request of a priority. */
	transferLoss(distance: Distance, bytes: number, priority: number): number;
	/** Called when the own zone becomes or ceases to be short, and when calls begin or cease to leave. */
	onChange?(change: SpilloverChange): void;
}

/** What the decisions say about one call. */
export interface ZonePlan {
	/** Zone that the call may go to besides the own one; undefined for none. */
	readonly destination: string | undefined;
	/** Zone that the call may go to if it would be lost in the own one; undefined for none. */
	readonly urgentDestination: string | undefined;
	/** Zones whose executors never report the room there, as older nodes; they are open to all calls. */
	readonly unlimited: ReadonlySet<string>;
}

/** State of the decision about one service, for operators. */
export interface ZoneFigures {
	readonly service: string;
	readonly isShort: boolean;
	readonly share: number;
	readonly shares: ReadonlyMap<string, number>;
	readonly own: OwnZoneLoad;
	readonly others: readonly OtherZone[];
}

type ZoneMembers = ReadonlyMap<string, readonly Member[]>;
type Mix = {work: Millis; objective: Millis; timeLeft: Millis; bytes: number; priority: number};
type ServiceState = {
	readonly spillover: ZoneSpillover;
	readonly credits: Map<string, number>;
	readonly urgentCredits: Map<string, number>;
	mix: Mix | undefined;
	members: ZoneMembers;
	revision: number;
	own: OwnZoneLoad;
	others: readonly OtherZone[];
	unlimited: ReadonlySet<string>;
	isShort: boolean;
	isLeaving: boolean;
};

/** Weight of a call in the moving means of its service. */
const mixWeight = 0.05;
/** Time constant with which a load report loses weight in the figures of its zone, in ms. */
const reportWeightTime: Millis = 1500;
/** Maximum number of calls that may leave later because they had to stay. */
const maxCredit = 2;
/** Share from which calls count as leaving in the log. */
const notableShare = 0.05;
/** Load of a zone of which nothing is known. */
const noLoad: OwnZoneLoad = {load: 0, foreignLoad: 0, slots: 0, age: 0};

/**
 * @param member - a member.
 * @returns the name of its availability zone, unique among all regions.
 */
export function zoneOf({region, zone}: Pick<Member, 'region' | 'zone'>): string {
	return `${region}/${zone}`;
}

/**
 * Holds the spillover decision for each service that this node sends calls to, and the figures that it is made
 * from. They are updated when a call is placed, so that an idle node does nothing.
 */
export class ZoneDecisions {
	private readonly states = new Map<string, ServiceState>();

	constructor(private readonly deps: ZoneDecisionsDependencies) {}

	/**
	 * Updates the decision about the service of a call.
	 * @param query - the call.
	 * @param profile - cost of such calls.
	 * @returns what the decision says; undefined while the own zone has room, so that the call is placed by its
	 * expected loss alone.
	 */
	plan(query: PlacementQuery, profile: CallProfile): ZonePlan | undefined {
		const state = this.stateOf(query.service);
		this.addToMix(state, query, profile);
		this.update(query.service, state);
		if (!state.isShort) {
			return undefined;
		}

		const {spillover, credits, urgentCredits, unlimited} = state;
		if (query.excluded.size === 0) {
			for (const other of state.others) {
				addCredit(credits, other.zone, spillover.shares.get(other.zone) ?? 0);
				addCredit(urgentCredits, other.zone, spillover.urgentShare(state, other));
			}
		}

		const destination = largestCredit(credits, state.others);
		const urgentDestination = largestCredit(urgentCredits, state.others);
		return {destination, urgentDestination, unlimited};
	}

	/**
	 * Records that a call leaves the zone.
	 * @param service - its service.
	 * @param zone - the zone that it is sent to.
	 */
	recordLeaving(service: string, zone: string): void {
		const state = this.states.get(service);
		if (state) {
			addCredit(state.credits, zone, -1);
			addCredit(state.urgentCredits, zone, -1);
		}
	}

	/**
	 * @param service - name of a service.
	 * @returns whether its calls are limited to the own zone and their share for others.
	 */
	isLimited(service: string): boolean {
		return this.states.get(service)?.isShort ?? false;
	}

	/**
	 * @param member - an executor.
	 * @returns whether its zone has reported that it is short for its own callers.
	 */
	isShort(member: Member): boolean {
		const zone = zoneOf(member);
		const known = this.states.get(member.service)?.others.find((other) => other.zone === zone);
		return known?.room === noRoom;
	}

	/**
	 * @param service - name of a service that was decided about.
	 * @returns whether the own zone has an executor of it.
	 */
	hasOwnExecutor(service: string): boolean {
		const members = this.states.get(service)?.members.get(zoneOf(this.deps.self()));
		return members !== undefined;
	}

	/**
	 * @param service - service of the own backend server.
	 * @returns free share of the slots for callers of other zones; undefined while the zone has no figures.
	 */
	room(service: string): number | undefined {
		const state = this.stateOf(service);
		this.update(service, state);
		return state.spillover.room;
	}

	/**
	 * Records that an executor was lost or could not be reached.
	 * @param id - the executor.
	 */
	recordLoss(id: string): void {
		const member = this.deps.directory.get(id);
		if (member) {
			this.states.get(member.service)?.spillover.recordLoss(zoneOf(member));
		}
	}

	/**
	 * @param service - name of a service.
	 * @returns the figures of its latest decision; undefined if there was none.
	 */
	figures(service: string): ZoneFigures | undefined {
		const state = this.states.get(service);
		if (!state) {
			return undefined;
		}

		const {spillover, isShort, own, others} = state;
		return {service, isShort, share: spillover.share, shares: spillover.shares, own, others};
	}

	/** @returns all services with a decision. */
	services(): Iterable<string> {
		return this.states.keys();
	}

	private stateOf(service: string): ServiceState {
		let state = this.states.get(service);
		if (!state) {
			state = {
				spillover: new ZoneSpillover(),
				credits: new Map(),
				urgentCredits: new Map(),
				mix: undefined,
				members: new Map(),
				revision: -1,
				own: noLoad,
				others: [],
				unlimited: new Set(),
				isShort: false,
				isLeaving: false,
			};
			this.states.set(service, state);
		}

		return state;
	}

	private addToMix(state: ServiceState, query: PlacementQuery, profile: CallProfile): void {
		const {objective, timeLeft, requestBytes, priority} = query;
		const {work} = profile;
		const call: Mix = {
			work,
			objective,
			timeLeft: Math.max(timeLeft, objective),
			bytes: requestBytes + profile.answerBytes,
			priority,
		};
		const {mix} = state;
		if (!mix) {
			state.mix = call;
			return;
		}

		mix.work += (call.work - mix.work) * mixWeight;
		mix.objective += (call.objective - mix.objective) * mixWeight;
		mix.timeLeft += (call.timeLeft - mix.timeLeft) * mixWeight;
		mix.bytes += (call.bytes - mix.bytes) * mixWeight;
		mix.priority += (call.priority - mix.priority) * mixWeight;
	}

	private update(service: string, state: ServiceState): void {
		const now = this.deps.clock.now();
		if (!state.spillover.isDue(now)) {
			return;
		}

		this.updateMembers(service, state);
		state.own = this.ownLoad(state, now);
		this.updateOthers(state, now);
		state.spillover.update({
			now,
			own: state.own,
			others: state.others,
			responseTime: Math.max(1, state.mix?.work ?? 1),
			ownLoss: (load) => this.ownLoss(state, load),
		});
		this.reportChange(service, state);
	}

	private reportChange(service: string, state: ServiceState): void {
		const {share, isShort} = state.spillover;
		const isLeaving = state.isLeaving ? share > 0 : share >= notableShare;
		const isShortChanged = isShort !== state.isShort;
		const isLeavingChanged = isLeaving !== state.isLeaving;
		state.isShort = isShort;
		state.isLeaving = isLeaving;
		if (isShortChanged || isLeavingChanged) {
			const sent = isLeaving ? share : 0;
			this.deps.onChange?.({service, share: sent, isShort, isShortChanged, isLeavingChanged});
		}
	}

	private updateMembers(service: string, state: ServiceState): void {
		const {directory} = this.deps;
		if (state.revision === directory.changeCount) {
			return;
		}

		const members = new Map<string, Member[]>();
		for (const member of directory.ofService(service)) {
			if (isRoutable(member)) {
				const zone = zoneOf(member);
				const zoneMembers = members.get(zone) ?? [];
				zoneMembers.push(member);
				members.set(zone, zoneMembers);
			}
		}

		state.members = members;
		state.revision = directory.changeCount;
	}

	// A backend server in a slow period counts for the part of its slots that its speed leaves: its calls take longer,
	// so that fewer of them are demand.
	private ownLoad({members}: ServiceState, now: Millis): OwnZoneLoad {
		const {views, self} = this.deps;
		let [slots, knownSlots, load, foreign, age, weights] = [0, 0, 0, 0, 0, 0];
		for (const member of members.get(zoneOf(self())) ?? []) {
			const view = views.of(member.id);
			const report = view.load;
			const slowdown = Math.max(1, this.deps.slowdownOf(view, now));
			const usable = (report?.slots ?? member.slots) / slowdown;
			slots += usable;
			if (report) {
				const reportAge = now - view.reportedAt;
				const weight = Math.exp(-reportAge / reportWeightTime);
				const sent = view.outstanding - view.outstandingAtReport;
				const calls = Math.max(0, report.inFlight + report.queued + sent);
				load += (weight * calls) / slowdown;
				foreign += (weight * (report.otherZoneCalls ?? 0)) / slowdown;
				knownSlots += weight * usable;
				age += weight * reportAge;
				weights += weight;
			}
		}

		if (weights === 0) {
			return {...noLoad, slots};
		}

		return {
			load: load / knownSlots,
			foreignLoad: foreign / knownSlots,
			slots,
			age: age / weights,
		};
	}

	private updateOthers(state: ServiceState, now: Millis): void {
		const own = zoneOf(this.deps.self());
		const others: OtherZone[] = [];
		const unlimited = new Set<string>();
		for (const [zone, members] of state.members) {
			const report = this.reportedRoom(members, now);
			if (zone !== own && report.room === undefined) {
				unlimited.add(zone);
			} else if (zone !== own) {
				others.push({zone, loss: this.leavingLoss(members, state.mix), ...report});
			}
		}

		state.others = others;
		state.unlimited = unlimited;
	}

	// Every executor of a zone reports the room of the whole zone; the latest report counts.
	private reportedRoom(
		members: readonly Member[],
		now: Millis,
	): Pick<OtherZone, 'slots' | 'room' | 'age'> {
		let slots = 0;
		let room: number | undefined;
		let reportedAt = Number.NEGATIVE_INFINITY;
		for (const member of members) {
			const view = this.deps.views.of(member.id);
			slots += member.slots;
			if (view.load?.zoneRoom !== undefined && view.reportedAt > reportedAt) {
				room = view.load.zoneRoom;
				reportedAt = view.reportedAt;
			}
		}

		return {slots, room, age: room === undefined ? 0 : now - reportedAt};
	}

	private leavingLoss(members: readonly Member[], mix: Mix | undefined): number {
		if (!mix) {
			return Number.POSITIVE_INFINITY;
		}

		const {deps} = this;
		const distance = distanceBetween(deps.self(), members[0]!);
		const expected = deps.roundTripOf(distance) + this.meanExtraTime(members) + mix.work;
		const {objective: objectiveLeft, timeLeft} = mix;
		const lateness = expectedLoss({expected, objectiveLeft, timeLeft});
		return lateness + deps.transferLoss(distance, mix.bytes, mix.priority);
	}

	private meanExtraTime(members: readonly Member[]): Millis {
		let [sum, count] = [0, 0];
		for (const {id} of members) {
			const {load, extraTime} = this.deps.views.of(id);
			sum += load ? extraTime : 0;
			count += load ? 1 : 0;
		}

		return count > 0 ? Math.max(0, sum / count) : 0;
	}

	private ownLoss({mix, own, members}: ServiceState, load: number): number {
		if (!mix) {
			return 0;
		}

		const count = members.get(zoneOf(this.deps.self()))?.length ?? 1;
		const slots = Math.max(1, own.slots / count);
		const {work, objective: objectiveLeft, timeLeft} = mix;
		const usual = {work, slowdown: 1, roundTrip: 0, rateWait: 0};
		const expected = expectedTime({...usual, slots, load: load * slots});
		return expectedLoss({expected, objectiveLeft, timeLeft});
	}
}

function addCredit(credits: Map<string, number>, zone: string, share: number): void {
	credits.set(zone, Math.max(-maxCredit, Math.min(maxCredit, (credits.get(zone) ?? 0) + share)));
}

function largestCredit(
	credits: ReadonlyMap<string, number>,
	others: readonly OtherZone[],
): string | undefined {
	let best: string | undefined;
	let most = 1;
	for (const {zone} of others) {
		const credit = credits.get(zone) ?? 0;
		if (credit >= most) {
			most = credit;
			best = zone;
		}
	}

	return best;
}
