import {second} from '../clock/index.js';
import {sample, type Random} from '../random/index.js';
import type {Directory} from './directory.js';
import type {GossipSettings} from './gossip-settings.js';
import {isPresent, Liveness, type Member} from './member.js';

/** Members of the ring that a node watches while those before them are suspected. */
const mostWatched = 3;

/** How far a member is from this node. */
export enum Distance {
	SameZone = 0,
	SameRegion = 1,
	OtherRegion = 2,
}

/**
 * @param a - one place.
 * @param b - another place.
 * @returns how far the two are apart.
 */
export function distanceBetween(
	a: Pick<Member, 'region' | 'zone'>,
	b: Pick<Member, 'region' | 'zone'>,
): Distance {
	if (a.region !== b.region) {
		return Distance.OtherRegion;
	}

	return a.zone === b.zone ? Distance.SameZone : Distance.SameRegion;
}

/**
 * Picks whom to probe. The members of a zone watch each other in a ring, so that one that dies is
 * found within a bounded time. Random probes carry news and look across zones; their targets are drawn
 * so that every member is probed once a round, and most of them stay in the zone.
 */
export class ProbeTargets {
	private readonly rings: string[][] = [[], [], []];

	constructor(
		private readonly self: () => Member,
		private readonly directory: Directory,
		private readonly settings: GossipSettings,
		private readonly random: Random,
	) {}

	/**
	 * @returns the members that this node watches: the next one in the ring and, while that is suspected,
	 * those behind it, so that nobody goes unwatched.
	 */
	watched(): Member[] {
		const own = this.self().id;
		const zone: Member[] = [];
		for (const member of this.directory.all()) {
			if (this.isInOwnZone(member)) {
				zone.push(member);
			}
		}

		const rank = ({id}: Member) => (id > own ? 0 : 1);
		zone.sort((a, b) => rank(a) - rank(b) || (a.id < b.id ? -1 : 1));
		const end = zone.findIndex(({liveness}) => liveness === Liveness.Alive);
		return zone.slice(0, Math.min(mostWatched, end === -1 ? zone.length : end + 1));
	}

	/** @returns the next member of the random probes; undefined when there is none. */
	next(): Member | undefined {
		const wanted = this.drawDistance();
		for (const distance of [wanted, Distance.SameZone, Distance.SameRegion, Distance.OtherRegion]) {
			const target = this.nextOf(distance);
			if (target) {
				return target;
			}
		}

		return undefined;
	}

	/**
	 * @param count - how many are wanted.
	 * @param except - a member that must not be among them.
	 * @returns members that could probe in this node's place, from its region where possible.
	 */
	samplePeers(count: number, except: Member): Member[] {
		const near: Member[] = [];
		for (const member of this.directory.all()) {
			const isCandidate = member.id !== except.id && member.id !== this.self().id;
			if (isCandidate && isPresent(member) && member.region === this.self().region) {
				near.push(member);
			}
		}

		return sample(near, count, this.random);
	}

	private isInOwnZone(member: Member): boolean {
		const self = this.self();
		const isOther = member.id !== self.id && isPresent(member);
		return isOther && distanceBetween(self, member) === Distance.SameZone;
	}

	private drawDistance(): Distance {
		const draw = this.random.next();
		const {otherZoneShare} = this.settings;
		const otherRegionShare = this.otherRegionShare();
		if (draw < otherRegionShare) {
			return Distance.OtherRegion;
		}

		return draw < otherRegionShare + otherZoneShare ? Distance.SameRegion : Distance.SameZone;
	}

	// The link between regions is paid by volume: its cost must not grow with the members.
	private otherRegionShare(): number {
		const {
			otherRegionRate,
			minOtherRegionShare,
			maxOtherRegionShare,
			probePeriod,
			probesPerRandomProbe,
		} = this.settings;
		const size = Math.max(1, this.directory.countInRegion(this.self().region));
		const probesPerSecond = (size * second) / (probePeriod * probesPerRandomProbe);
		const share = otherRegionRate / probesPerSecond;
		return Math.min(maxOtherRegionShare, Math.max(minOtherRegionShare, share));
	}

	private nextOf(distance: Distance): Member | undefined {
		const ring = this.rings[distance]!;
		if (ring.length === 0) {
			this.refill(distance);
		}

		while (ring.length > 0) {
			const member = this.directory.get(ring.pop()!);
			if (member && isPresent(member)) {
				return member;
			}
		}

		return undefined;
	}

	private refill(distance: Distance): void {
		const ids: string[] = [];
		for (const member of this.directory.all()) {
			const isOther = member.id !== this.self().id && isPresent(member);
			if (isOther && distanceBetween(this.self(), member) === distance) {
				ids.push(member.id);
			}
		}

		this.rings[distance]!.push(...sample(ids, ids.length, this.random));
	}
}
