import {
	isPresent,
	Liveness,
	MemberPhase,
	type Directory,
	type Member,
} from '../membership/index.js';
import {rendezvous} from '../util/index.js';

/** An aggregator of another zone. */
export interface PeerAggregator {
	readonly id: string;
	/** Whether it is in another region, to which traffic is dear. */
	readonly isFar: boolean;
}

/** Nodes of a zone that may be its aggregator, one after the other. */
const candidates = 3;

function zoneOf({region, zone}: Pick<Member, 'region' | 'zone'>): string {
	return `${region} ${zone}`;
}

// Only members without a suspicion are selected; when views differ, a zone has two aggregators for a while, which
// exchange their sums like those of two zones.
function isAvailable(member: Member): boolean {
	return isPresent(member) && member.liveness === Liveness.Alive;
}

/** Members of the deployment as the quotas see them. The view is computed anew when the directory has changed. */
export class QuotaMembers {
	private changeCount = -1;
	private aggregators: string[] = [];
	private others: PeerAggregator[] = [];
	private total = 1;
	private readonly unreachable = new Set<string>();
	private readonly idsByZone = new Map<string, string[]>();

	constructor(
		private readonly directory: Directory,
		/** Returns the record of the local node. */
		private readonly self: () => Member,
	) {}

	/** Candidates for the aggregator of the own zone, the preferred one first. */
	get ranking(): readonly string[] {
		this.refresh();
		return this.aggregators;
	}

	/** Preferred aggregators of all zones besides the own node. */
	get peers(): readonly PeerAggregator[] {
		this.refresh();
		return this.others;
	}

	/** Members among which a limit is divided: all but those that have left. */
	get size(): number {
		this.refresh();
		return this.total;
	}

	/** Zones with members, each with its region. */
	get zoneNames(): readonly string[] {
		this.refresh();
		return [...this.idsByZone.keys()];
	}

	/** Number of zones with members. */
	get zones(): number {
		this.refresh();
		return Math.max(1, this.idsByZone.size);
	}

	/** Number of members of the own zone. */
	get ownZoneSize(): number {
		this.refresh();
		return this.idsByZone.get(zoneOf(this.self()))?.length ?? 1;
	}

	/** Members that are suspected or dead and may still run requests on their own. */
	get unreachableIds(): ReadonlySet<string> {
		this.refresh();
		return this.unreachable;
	}

	/**
	 * @param id - id of a member.
	 * @returns its zone, with the region; undefined when the member is unknown.
	 */
	zoneOf(id: string): string | undefined {
		const member = this.directory.get(id);
		return member && zoneOf(member);
	}

	/**
	 * @param id - id of a member.
	 * @returns whether it is in another region.
	 */
	isFar(id: string): boolean {
		const member = this.directory.get(id);
		return member !== undefined && member.region !== this.self().region;
	}

	/**
	 * @param zone - a zone with its region.
	 * @returns the ids of its members.
	 */
	idsIn(zone: string): readonly string[] {
		this.refresh();
		return this.idsByZone.get(zone) ?? [];
	}

	private refresh(): void {
		if (this.changeCount === this.directory.changeCount) {
			return;
		}

		this.changeCount = this.directory.changeCount;
		this.unreachable.clear();
		this.idsByZone.clear();
		this.total = 0;
		const available = new Map<string, Member[]>();
		for (const member of this.directory.all()) {
			this.addMember(member, available);
		}

		this.total = Math.max(1, this.total);
		this.selectAggregators(available);
	}

	private addMember(member: Member, available: Map<string, Member[]>): void {
		if (member.phase === MemberPhase.Left) {
			return;
		}

		this.total += 1;
		const zone = zoneOf(member);
		const ids = this.idsByZone.get(zone) ?? [];
		ids.push(member.id);
		this.idsByZone.set(zone, ids);
		const {id} = this.self();
		if (member.id === id || isAvailable(member)) {
			const members = available.get(zone) ?? [];
			members.push(member);
			available.set(zone, members);
		} else {
			this.unreachable.add(member.id);
		}
	}

	private selectAggregators(available: ReadonlyMap<string, readonly Member[]>): void {
		const self = this.self();
		const own = zoneOf(self);
		this.aggregators = [self.id];
		this.others = [];
		for (const [zone, members] of available) {
			const ids = members.map(({id}) => id);
			const ranking = rendezvous(`quota ${zone}`, ids, candidates);
			if (zone === own) {
				this.aggregators = ranking;
			}

			if (ranking[0] !== self.id) {
				this.others.push({id: ranking[0]!, isFar: members[0]!.region !== self.region});
			}
		}
	}
}
