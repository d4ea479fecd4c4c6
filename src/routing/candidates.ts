import {isRegionAllowed} from '../call/index.js';
import type {Millis} from '../clock/index.js';
import type {ZoneFilter} from '../evacuation/index.js';
import {
	Distance,
	distanceBetween,
	isRoutable,
	type Directory,
	type Member,
} from '../membership/index.js';
import type {PlacementQuery} from './placement.js';

/** Candidates for one call, by distance. */
export interface Candidates {
	readonly near: readonly Member[];
	/** Members of other regions, which are reached over links that cost money. */
	readonly far: readonly Member[];
}

/** Part of a placement query that selects candidates. */
export type CandidateQuery = Pick<PlacementQuery, 'service' | 'excluded' | 'allowedRegions'>;

/**
 * @param directory - all known members.
 * @param self - the local member.
 * @param query - the service that is called, and the members and regions that are left out.
 * @param zones - evacuated availability zones; undefined for none.
 * @returns the members that the call can be sent to.
 */
export function findCandidates(
	directory: Directory,
	self: Member,
	{service, excluded, allowedRegions}: CandidateQuery,
	zones?: ZoneFilter,
): Candidates {
	const near: Member[] = [];
	const far: Member[] = [];
	for (const member of directory.ofService(service)) {
		const isAllowed =
			isRegionAllowed(member.region, allowedRegions) && !(zones?.isEvacuated(member) ?? false);
		if (!isRoutable(member) || excluded.has(member.id) || !isAllowed) {
			continue;
		}

		const isFar = distanceBetween(self, member) === Distance.OtherRegion;
		(isFar ? far : near).push(member);
	}

	return {near, far};
}

/** Maximum expected time of an answer, as a share of the time left. */
const maxTimeLeftShare = 0.8;

/**
 * @param expected - expected time of the best candidate in the local region, in ms.
 * @param timeLeft - time until the deadline of the call, in ms.
 * @returns whether meeting the deadline requires a backend server in another region.
 */
export function isOtherRegionNeeded(expected: Millis, timeLeft: Millis): boolean {
	return expected > timeLeft * maxTimeLeftShare;
}
