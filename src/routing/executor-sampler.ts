import {
	Distance,
	distanceBetween,
	isRoutable,
	type Directory,
	type Member,
} from '../membership/index.js';
import type {Random} from '../random/index.js';

/** Most members of a service that one choice looks at, by distance. */
const mostDrawn: Readonly<Record<Distance, number>> = {
	[Distance.SameZone]: 8,
	[Distance.SameRegion]: 4,
	[Distance.OtherRegion]: 2,
};
/** Members that told their load last; what is known of them is fresh. */
const mostFresh = 4;
/** Up to so many members of a service are all looked at. */
const smallService = 40;

type Rings = {
	readonly revision: number;
	readonly size: number;
	readonly byDistance: ReadonlyArray<readonly Member[]>;
};

/**
 * Draws the members among which a call is placed. Of a small service these are all; of a large one a
 * few of each distance, drawn at random so that all get work, and those that told their load
 * last. Answers a deployment with a hundred executors of a service, where looking at each costs more
 * processor time than the rest of the call and most of what is known of them is old.
 */
export class ExecutorSampler {
	private readonly rings = new Map<string, Rings>();
	private readonly fresh = new Map<string, string[]>();

	constructor(
		private readonly directory: Directory,
		private readonly self: () => Member,
		private readonly random: Random,
	) {}

	/**
	 * @param service - name of a service.
	 * @param excluded - members that must not be among them.
	 * @returns members that may be given work.
	 */
	sample(service: string, excluded: ReadonlySet<string>): Iterable<Member> {
		const {size, byDistance} = this.ringsOf(service);
		const mayServe = (member: Member) => isRoutable(member) && !excluded.has(member.id);
		const drawn = new Set<Member>();
		const isSmall = size <= smallService;
		for (const distance of [Distance.SameZone, Distance.SameRegion, Distance.OtherRegion]) {
			const most = isSmall ? smallService : mostDrawn[distance];
			this.drawFrom(byDistance[distance]!, most, mayServe, drawn);
		}

		if (isSmall) {
			return drawn;
		}

		for (const id of this.fresh.get(service) ?? []) {
			const member = this.directory.get(id);
			if (member?.service === service && mayServe(member)) {
				drawn.add(member);
			}
		}

		return drawn;
	}

	/**
	 * A member has told its load.
	 * @param id - the member.
	 */
	recordReport(id: string): void {
		const service = this.directory.get(id)?.service;
		if (service !== undefined) {
			const others = (this.fresh.get(service) ?? []).filter((other) => other !== id);
			this.fresh.set(service, [id, ...others.slice(0, mostFresh - 1)]);
		}
	}

	private ringsOf(service: string): Rings {
		const known = this.rings.get(service);
		const {changeCount: revision} = this.directory;
		if (known?.revision === revision) {
			return known;
		}

		const byDistance: Member[][] = [];
		for (const distance of [Distance.SameZone, Distance.SameRegion, Distance.OtherRegion]) {
			byDistance[distance] = [];
		}

		let size = 0;
		for (const member of this.directory.ofService(service)) {
			byDistance[distanceBetween(this.self(), member)]!.push(member);
			size += 1;
		}

		const rings = {revision, size, byDistance};
		this.rings.set(service, rings);
		return rings;
	}

	// Those that cannot serve are passed over, so that a ring full of them does not hide the rest.
	private drawFrom(
		members: readonly Member[],
		most: number,
		mayServe: (member: Member) => boolean,
		drawn: Set<Member>,
	): void {
		const start = members.length > 0 ? this.random.below(members.length) : 0;
		let taken = 0;
		for (let i = 0; i < members.length && taken < most; i++) {
			const member = members[(start + i) % members.length]!;
			if (mayServe(member)) {
				drawn.add(member);
				taken += 1;
			}
		}
	}
}
