import {TokenBucket} from '../budget/index.js';
import type {LoadReport} from '../call/index.js';
import type {Clock, Millis} from '../clock/index.js';
import type {LinkHub} from '../link/index.js';
import {Distance, distanceBetween, type Gossip} from '../membership/index.js';

/** What load news are made of. */
export interface LoadBroadcasterDependencies {
	readonly clock: Clock;
	readonly gossip: Gossip;
	readonly hub: LinkHub;
	/** @returns the load of the own backend server. */
	report(): LoadReport;
}

/** Least time between two pushes; a burst of changes becomes one. */
const pushPeriod: Millis = 40;
/**
 * Messages a second by distance. Speeds change about twice a second, so that most of a zone of 20 nodes
 * hears of each change; a larger deployment relies on answers, which tell the load as well. Bytes to
 * other zones and regions are priced.
 */
const sameZoneRate = 16;
const otherZoneRate = 10;
const otherRegionRate = 3;
/** Seconds of a rate that can be saved up. */
const rateDepth = 1;
/** Slowdown from which on a backend server counts as being in a slow spell. */
const slowSpell = 2;

/** Tells linked peers when the load of the own backend server has changed. */
export class LoadBroadcaster {
	private readonly budgets: ReadonlyMap<Distance, TokenBucket>;
	private isScheduled = false;
	private lastPush = Number.NEGATIVE_INFINITY;
	private wasSlow = false;

	constructor(private readonly parts: LoadBroadcasterDependencies) {
		const {clock} = parts;
		this.budgets = new Map([
			[Distance.SameZone, new TokenBucket(clock, sameZoneRate, rateDepth)],
			[Distance.SameRegion, new TokenBucket(clock, otherZoneRate, rateDepth)],
			[Distance.OtherRegion, new TokenBucket(clock, otherRegionRate, rateDepth)],
		]);
	}

	/** The load has changed notably. */
	scheduleBroadcast(): void {
		if (this.isScheduled) {
			return;
		}

		const {clock} = this.parts;
		const delay = Math.max(0, this.lastPush + pushPeriod - clock.now());
		this.isScheduled = true;
		clock.after(delay, () => {
			this.isScheduled = false;
			this.lastPush = clock.now();
			this.push();
		});
	}

	private push(): void {
		const {gossip, hub} = this.parts;
		const load = this.parts.report();
		const isSlow = load.slowdown >= slowSpell;
		const isNewSpell = isSlow && !this.wasSlow;
		this.wasSlow = isSlow;
		hub.broadcastLoad(load, (peer, isWaiting) => {
			// Who has calls here may have sent them into the spell, and can still send them elsewhere.
			if (isNewSpell && isWaiting) {
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
