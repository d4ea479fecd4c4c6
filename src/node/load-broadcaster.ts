import {TokenBucket} from '../budget/index.js';
import type {LoadReport} from '../call/index.js';
import type {Clock, Millis} from '../clock/index.js';
import type {LinkHub} from '../link/index.js';
import {Mechanism, type DisabledMechanisms} from '../experiment/index.js';
import {Distance, distanceBetween, type Gossip} from '../membership/index.js';

/** Collaborators of {@link LoadBroadcaster}. */
export interface LoadBroadcasterDependencies {
	readonly clock: Clock;
	readonly gossip: Gossip;
	readonly hub: LinkHub;
	/** Mechanisms that an experiment switches off. */
	readonly disabled?: DisabledMechanisms;
	/** @returns the load of the local backend server. */
	report(): LoadReport;
}

/** Minimum interval between two broadcasts; changes within it are coalesced. */
const minBroadcastInterval: Millis = 40;
/**
 * Messages per second by distance. Speeds change about twice a second, so these rates inform most nodes
 * of a zone of 20 of each change; larger deployments rely on the load that answers carry. Traffic to
 * other zones and regions has a cost.
 */
const sameZoneMessagesPerSecond = 16;
const otherZoneMessagesPerSecond = 10;
const otherRegionMessagesPerSecond = 3;
/** Interval of the reports between the executors of a service in a zone. */
const zoneReportPeriod: Millis = 300;
/** Load per slot below which an executor counts as idle. */
const minReportedLoad = 0.01;
/** Unused rate that can be saved up, in seconds. */
const rateDepth = 1;
/** Slowdown factor from which the backend server counts as being in a slow period. */
const slowPeriodThreshold = 2;

/** Sends the load of the local backend server to linked peers when it has changed. */
export class LoadBroadcaster {
	private readonly budgets: ReadonlyMap<Distance, TokenBucket>;
	private isScheduled = false;
	private lastBroadcastAt = Number.NEGATIVE_INFINITY;
	private wasSlow = false;
	private wasIdle = true;

	constructor(private readonly deps: LoadBroadcasterDependencies) {
		const {clock} = deps;
		this.budgets = new Map([
			[Distance.SameZone, new TokenBucket(clock, sameZoneMessagesPerSecond, rateDepth)],
			[Distance.SameRegion, new TokenBucket(clock, otherZoneMessagesPerSecond, rateDepth)],
			[Distance.OtherRegion, new TokenBucket(clock, otherRegionMessagesPerSecond, rateDepth)],
		]);
	}

	/** Schedules a broadcast after a notable change of the load. */
	scheduleBroadcast(): void {
		if (this.isScheduled || this.deps.disabled?.has(Mechanism.LoadBroadcast)) {
			return;
		}

		const {clock} = this.deps;
		const delay = Math.max(0, this.lastBroadcastAt + minBroadcastInterval - clock.now());
		this.isScheduled = true;
		clock.after(delay, () => {
			this.isScheduled = false;
			this.lastBroadcastAt = clock.now();
			this.broadcast();
		});
	}

	/**
	 * Sends the load to the other executors of the service in the zone at intervals, so that each of them knows
	 * the load of the zone. Nothing is sent while the load is 0 and decisions on zones are not made.
	 */
	startZoneReports(): void {
		this.deps.clock.repeat(zoneReportPeriod, () => {
			const {gossip, hub, report} = this.deps;
			const load = report();
			const isIdle = load.zone === undefined || load.zone.load < minReportedLoad;
			if (!(isIdle && this.wasIdle)) {
				hub.broadcastLoad(load, ({id}) => {
					const member = gossip.directory.get(id);
					const {localMember} = gossip;
					return (
						member?.service === localMember.service &&
						distanceBetween(localMember, member) === Distance.SameZone
					);
				});
			}

			this.wasIdle = isIdle;
		});
	}

	private broadcast(): void {
		const {gossip, hub} = this.deps;
		const load = this.deps.report();
		const isSlow = load.slowdown >= slowPeriodThreshold;
		const entersSlowPeriod = isSlow && !this.wasSlow;
		this.wasSlow = isSlow;
		hub.broadcastLoad(load, (peer, hasCallsHere) => {
			// A peer with calls here learns of a new slow period regardless of the budget: it can still retry
			// these calls elsewhere.
			if (entersSlowPeriod && hasCallsHere) {
				return true;
			}

			const member = gossip.directory.get(peer.id);
			if (!member) {
				return false;
			}

			const budget = this.budgets.get(distanceBetween(gossip.localMember, member));
			return budget?.trySpend(1) ?? true;
		});
	}
}
