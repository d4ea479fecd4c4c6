import {isRegionAllowed} from '../call/index.js';
import type {ZoneFilter} from '../evacuation/index.js';
import {Liveness, MemberPhase, type Member} from '../membership/index.js';
import type {PlacementQuery} from './placement.js';

/** Part of a placement query that selects members. */
export type ExclusionQuery = Pick<PlacementQuery, 'excluded' | 'allowedRegions'>;

/** Rules by which a member gets no attempt of a call. The values are shown to operators. */
export enum Exclusion {
	NotServing = 'not-serving',
	NotAlive = 'not-alive',
	AlreadyTried = 'already-tried',
	RegionNotAllowed = 'region-not-allowed',
	ZoneEvacuated = 'zone-evacuated',
}

type ExclusionRule = {
	readonly exclusion: Exclusion;
	excludes(member: Member, query: ExclusionQuery, zones: ZoneFilter | undefined): boolean;
};

/** All rules, in the order in which they are checked; a new rule is added here. */
const rules: readonly ExclusionRule[] = [
	{
		exclusion: Exclusion.NotServing,
		excludes: ({phase}) => phase !== MemberPhase.Serving,
	},
	{
		exclusion: Exclusion.NotAlive,
		excludes: ({liveness}) => liveness !== Liveness.Alive,
	},
	{
		exclusion: Exclusion.AlreadyTried,
		excludes: ({id}, {excluded}) => excluded.has(id),
	},
	{
		exclusion: Exclusion.RegionNotAllowed,
		excludes: ({region}, {allowedRegions}) => !isRegionAllowed(region, allowedRegions),
	},
	{
		exclusion: Exclusion.ZoneEvacuated,
		excludes: (member, _query, zones) => zones?.isEvacuated(member) ?? false,
	},
];

/**
 * @param member - a member with a backend server of the service that is called.
 * @param query - the call.
 * @param zones - evacuated availability zones; undefined for none.
 * @returns the first rule by which the member gets no attempt of the call; undefined if it may get one.
 */
export function findExclusion(
	member: Member,
	query: ExclusionQuery,
	zones?: ZoneFilter,
): Exclusion | undefined {
	for (const rule of rules) {
		if (rule.excludes(member, query, zones)) {
			return rule.exclusion;
		}
	}

	return undefined;
}
