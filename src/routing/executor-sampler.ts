import {Distance, distanceBetween, type Directory, type Member} from '../membership/index.js';
import type {ZoneFilter} from '../evacuation/index.js';
import type {Random} from '../random/index.js';
import {findExclusion} from './exclusions.js';
import type {PlacementQuery} from './placement.js';

/** Maximum number of members of a large service that one choice evaluates, by distance. */
const maxSampled: Readonly<Record<Distance, number>> = {
	[Distance.SameZone]: 8,
	[Distance.SameRegion]: 4,
	[Distance.OtherRegion]: 2,
};
/** Number of members with the latest load reports that are also evaluated, as their state is best known. */
const maxRecentReporters = 4;
/** Default of {@link SamplerOptions.maxSmallServiceSize}. */
const defaultMaxSmallServiceSize = 40;

/** Part of a placement query that selects members. */
type SampleQuery = Pick<PlacementQuery, 'service' | 'excluded' | 'allowedRegions'>;

type ServiceMembers = {
	readonly revision: number;
	readonly size: number;
	readonly byDistance: ReadonlyArray<readonly Member[]>;
};

/** Settings of an {@link ExecutorSampler}. */
export interface SamplerOptions {
	/** Services with up to this number of members are evaluated in full. */
	readonly maxSmallServiceSize?: number | undefined;
	/** Evacuated availability zones; undefined for none. */
	readonly zones?: ZoneFilter | undefined;
}

/**
 * Samples the members that are evaluated for a call. In a small service these are all routable members.
 * In a large service they are a few of each distance, chosen at random so that every member receives
 * calls, plus the members that reported their load last. With a hundred executors of a service,
 * evaluating each would cost more CPU time than the rest of the call, and most of their load reports
 * are out of date.
 */
export class ExecutorSampler {
	private readonly serviceMembers = new Map<string, ServiceMembers>();
	private readonly recentReporters = new Map<string, string[]>();

	constructor(
		private readonly directory: Directory,
		private readonly self: () => Member,
		private readonly random: Random,
		private readonly options: SamplerOptions = {},
	) {}

	/**
	 * @param query - service of a call, and the members and regions that are left out.
	 * @param isIncluded - restricts the sample; undefined for no restriction.
	 * @returns the sampled routable members; none of an evacuated zone.
	 */
	sample(query: SampleQuery, isIncluded?: (member: Member) => boolean): ReadonlySet<Member> {
		const {service} = query;
		const {zones} = this.options;
		const canServe = (member: Member) =>
			findExclusion(member, query, zones) === undefined && (isIncluded?.(member) ?? true);
		if (!zones?.hasReturning) {
			return this.sampleServing(service, canServe);
		}

		const isPreferred = (member: Member) => canServe(member) && !zones.isReturning(member);
		const preferred = this.sampleServing(service, isPreferred);
		return preferred.size > 0 ? preferred : this.sampleServing(service, canServe);
	}

	/**
	 * Records that a member has reported its load.
	 * @param id - the member.
	 */
	recordReport(id: string): void {
		const service = this.directory.get(id)?.service;
		if (service !== undefined) {
			const others = (this.recentReporters.get(service) ?? []).filter((other) => other !== id);
			this.recentReporters.set(service, [id, ...others.slice(0, maxRecentReporters - 1)]);
		}
	}

	private sampleServing(service: string, canServe: (member: Member) => boolean): Set<Member> {
		const {size, byDistance} = this.membersOf(service);
		const {maxSmallServiceSize = defaultMaxSmallServiceSize} = this.options;
		const sampled = new Set<Member>();
		const isSmall = size <= maxSmallServiceSize;
		for (const distance of [Distance.SameZone, Distance.SameRegion, Distance.OtherRegion]) {
			const limit = isSmall ? maxSmallServiceSize : maxSampled[distance];
			this.sampleFrom(byDistance[distance]!, limit, canServe, sampled);
		}

		if (isSmall) {
			return sampled;
		}

		for (const id of this.recentReporters.get(service) ?? []) {
			const member = this.directory.get(id);
			if (member?.service === service && canServe(member)) {
				sampled.add(member);
			}
		}

		return sampled;
	}

	private membersOf(service: string): ServiceMembers {
		const known = this.serviceMembers.get(service);
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

		const serviceMembers = {revision, size, byDistance};
		this.serviceMembers.set(service, serviceMembers);
		return serviceMembers;
	}

	// Members that cannot serve are skipped without counting, so that many of them do not hide the others.
	private sampleFrom(
		members: readonly Member[],
		limit: number,
		canServe: (member: Member) => boolean,
		sampled: Set<Member>,
	): void {
		const start = members.length > 0 ? this.random.below(members.length) : 0;
		let count = 0;
		for (let i = 0; i < members.length && count < limit; i++) {
			const member = members[(start + i) % members.length]!;
			if (canServe(member)) {
				sampled.add(member);
				count += 1;
			}
		}
	}
}
