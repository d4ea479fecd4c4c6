import {second} from '../clock/index.js';
import {sample, type Random} from '../random/index.js';
import type {Directory} from './directory.js';
import type {GossipSettings} from './gossip-settings.js';
import {isPresent, Liveness, type Member} from './member.js';

/** Maximum number of ring successors that a node monitors while the nearer ones are suspected. */
const maxWatched = 3;

/** How far a member is from this node. */
export enum Distance {
	SameZone = 0,
	/** Another availability zone of the same region. */
	SameRegion = 1,
	OtherRegion = 2,
}

/**
 * @param a - a region and zone.
 * @param b - another region and zone.
 * @returns the distance between the two.
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
 * Selects the members to probe. The members of a zone monitor each other in a ring, so that a failure
 * is detected within a bounded time. Random probes disseminate updates and reach other zones. Their
 * targets and those of digests are drawn from the same shuffled rounds, one for each distance, so that
 * every member is drawn once per round; most targets are in the zone.
 */
export class ProbeTargets {
	private readonly roundQueues: string[][] = [[], [], []];

	constructor(
		private readonly self: () => Member,
		private readonly directory: Directory,
		private readonly settings: GossipSettings,
		private readonly random: Random,
	) {}

	/**
	 * @returns the members that this node monitors: its successor in the ring and, while that is suspected,
	 * the ones after it, so that no member is left without a monitor.
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
		return zone.slice(0, Math.min(maxWatched, end === -1 ? zone.length : end + 1));
	}

	/** @returns the next target of a random probe or of a digest; undefined when there is none. */
	next(): Member | undefined {
		const wanted = this.drawDistance();
		for (const distance of [wanted, Distance.SameZone, Distance.SameRegion, Distance.OtherRegion]) {
			const target = this.nextAtDistance(distance);
			if (target) {
				return target;
			}
		}

		return undefined;
	}

	/**
	 * @param count - maximum number of members.
	 * @param excluded - a member to leave out.
	 * @returns random present members of this node's region, without this node.
	 */
	samplePeers(count: number, excluded: Member): Member[] {
		const candidates: Member[] = [];
		for (const member of this.directory.all()) {
			const isCandidate = member.id !== excluded.id && member.id !== this.self().id;
			if (isCandidate && isPresent(member) && member.region === this.self().region) {
				candidates.push(member);
			}
		}

		return sample(candidates, count, this.random);
	}

	/**
	 * @param count - maximum number of members of each region.
	 * @returns random present members of the other regions.
	 */
	sampleOtherRegions(count: number): Member[] {
		const byRegion = new Map<string, Member[]>();
		for (const member of this.directory.all()) {
			if (isPresent(member) && member.region !== this.self().region) {
				const members = byRegion.get(member.region) ?? [];
				members.push(member);
				byRegion.set(member.region, members);
			}
		}

		return [...byRegion.values()].flatMap((members) => sample(members, count, this.random));
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

	// Traffic between regions is charged by volume, so its rate must not grow with the number of members.
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

	private nextAtDistance(distance: Distance): Member | undefined {
		const round = this.roundQueues[distance]!;
		if (round.length === 0) {
			this.refill(distance);
		}

		while (round.length > 0) {
			const member = this.directory.get(round.pop()!);
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

		this.roundQueues[distance]!.push(...sample(ids, ids.length, this.random));
	}
}
