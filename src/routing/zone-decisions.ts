import type {ZoneReport} from '../call/index.js';
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
	/** @returns the usual network time of an attempt there and back, in ms. */
	roundTripOf(distance: Distance): Millis;
	/** @returns the loss by the transfer of bytes, for a request of a priority. */
	transferLoss(distance: Distance, bytes: number, priority: number): number;
	/** Called when the own zone becomes or ceases to be short, and when calls begin or cease to leave. */
	onChange?(change: SpilloverChange): void;
}

/** What the decisions say about one call while the own zone is short. */
export interface ZonePlan {
	/** Zone that the call leaves for, unless it loses much by that; undefined for none. */
	readonly destination: string | undefined;
	/**
	 * Zones that the call must not go to, although it may lose less there. All nodes would choose them by the same
	 * figure; only the part of the calls that the reported room can take goes there.
	 */
	readonly closed: ReadonlySet<string>;
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

type LocalLoad = {readonly service: string; readonly load: number; readonly otherLoad: number};
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
	isShort: boolean;
	isLeaving: boolean;
};

/** Weight of a call in the moving means of its service. */
const mixWeight = 0.05;
/** Mean age of the figures of a zone when they are reported, in ms: they are averages, and sent at intervals. */
const figureAge: Millis = 500;
/** Time constant with which a load report loses weight in the figures of its zone, in ms. */
const reportWeightTime: Millis = 1500;
/** Room from which calls may leave for a zone by their expected loss, beyond the share that is decided. */
const minOpenRoom = -0.9;
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
	private local: LocalLoad | undefined;

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
		this.update(query.service, state);
		this.addToMix(state, query, profile);
		return this.planOf(query, state);
	}

	/**
	 * @param query - a call.
	 * @returns what {@link plan} would say now, without recording the call.
	 */
	preview(query: PlacementQuery): ZonePlan | undefined {
		const state = this.stateOf(query.service);
		this.update(query.service, state);
		const credits = new Map(state.credits);
		const urgentCredits = new Map(state.urgentCredits);
		return this.planOf(query, {...state, credits, urgentCredits});
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
	 * @param load - recent mean of the calls at the local executor, per slot.
	 * @param otherLoad - the part that other zones have sent.
	 * @returns what the local executor reports of its zone; undefined while there is no decision.
	 */
	report(load: number, otherLoad: number): ZoneReport | undefined {
		const {service, id, slots} = this.deps.self();
		this.local = {service, load, otherLoad};
		const room = service === '' ? undefined : this.room(service);
		const own = this.states.get(service)?.own;
		if (room === undefined || !own || slots === 0) {
			return undefined;
		}

		const isKnown = this.deps.directory.get(id) !== undefined;
		const zone = isKnown ? own : {load, foreignLoad: otherLoad};
		return {room, load, otherLoad, zoneLoad: zone.load, zoneOtherLoad: zone.foreignLoad};
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

	// Adds the credit of the call.
	private planOf(query: PlacementQuery, state: ServiceState): ZonePlan | undefined {
		if (!state.isShort) {
			return undefined;
		}

		const {spillover, credits, urgentCredits} = state;
		if (query.excluded.size === 0) {
			const figures = {...state, now: this.deps.clock.now(), responseTime: responseTimeOf(state)};
			for (const other of state.others) {
				addCredit(credits, other.zone, spillover.shares.get(other.zone) ?? 0);
				addCredit(urgentCredits, other.zone, spillover.urgentShare(figures, other));
			}
		}

		const closed = new Set<string>();
		for (const {zone, room = 0} of state.others) {
			if (room < minOpenRoom && (urgentCredits.get(zone) ?? 0) < 1) {
				closed.add(zone);
			}
		}

		return {destination: largestCredit(credits, state.others), closed};
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
			responseTime: responseTimeOf(state),
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

	// An executor knows the loads of the others of its service; other nodes know what these report of the zone.
	private ownLoad(state: ServiceState, now: Millis): OwnZoneLoad {
		const members = state.members.get(zoneOf(this.deps.self())) ?? [];
		let slots = 0;
		for (const member of members) {
			slots += member.slots;
		}

		const local = this.local?.service === members[0]?.service ? this.local : undefined;
		if (local) {
			return {...this.zoneLoad(members, local, now), slots, age: figureAge};
		}

		const view = this.latestReport(members);
		const zone = view?.load?.zone;
		if (!view || !zone) {
			return {...noLoad, slots};
		}

		const {zoneLoad: load, zoneOtherLoad: foreignLoad} = zone;
		return {load, foreignLoad, slots, age: now - view.reportedAt + figureAge};
	}

	// Mean over the executors, weighted by their slots and by how recent their reports are.
	private zoneLoad(
		members: readonly Member[],
		local: LocalLoad,
		now: Millis,
	): Pick<OwnZoneLoad, 'load' | 'foreignLoad'> {
		let [load, foreignLoad, weights] = [0, 0, 0];
		for (const {id, slots} of members) {
			const isLocal = id === this.deps.self().id;
			const {load: report, reportedAt} = this.deps.views.of(id);
			const figures = isLocal ? local : report?.zone;
			if (figures) {
				const age = isLocal ? 0 : now - reportedAt;
				const weight = slots * Math.exp(-age / reportWeightTime);
				load += weight * figures.load;
				foreignLoad += weight * figures.otherLoad;
				weights += weight;
			}
		}

		return weights === 0
			? {load: 0, foreignLoad: 0}
			: {load: load / weights, foreignLoad: foreignLoad / weights};
	}

	private latestReport(members: readonly Member[]): ExecutorView | undefined {
		let latest: ExecutorView | undefined;
		for (const {id} of members) {
			const view = this.deps.views.of(id);
			if (view.load?.zone && (!latest || view.reportedAt > latest.reportedAt)) {
				latest = view;
			}
		}

		return latest;
	}

	private updateOthers(state: ServiceState, now: Millis): void {
		const own = zoneOf(this.deps.self());
		const others: OtherZone[] = [];
		for (const [zone, members] of state.members) {
			const report = this.reportedRoom(members, now);
			// A zone of older nodes never reports its room; calls go there by their expected loss alone.
			if (zone !== own && report.room !== undefined) {
				others.push({zone, loss: this.leavingLoss(members, state.mix), ...report});
			}
		}

		state.others = others;
	}

	// Every executor of a zone reports the room of the whole zone; the latest report counts.
	private reportedRoom(
		members: readonly Member[],
		now: Millis,
	): Pick<OtherZone, 'slots' | 'room' | 'otherLoad' | 'age'> {
		let slots = 0;
		for (const member of members) {
			slots += member.slots;
		}

		const view = this.latestReport(members);
		const zone = view?.load?.zone;
		const age = view ? now - view.reportedAt + figureAge : 0;
		return {slots, room: zone?.room, otherLoad: zone?.zoneOtherLoad ?? 0, age};
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

function responseTimeOf({mix}: ServiceState): Millis {
	return Math.max(1, mix?.work ?? 1);
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
