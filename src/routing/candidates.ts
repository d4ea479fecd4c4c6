import type {Millis} from '../clock/index.js';
import {
	Distance,
	distanceBetween,
	isRoutable,
	type Directory,
	type Member,
} from '../membership/index.js';

/** Candidates for one call, by distance. */
export interface Candidates {
	readonly near: readonly Member[];
	/** Members of other regions, which are reached over links that cost money. */
	readonly far: readonly Member[];
}

/**
 * @param directory - all known members.
 * @param self - the local member.
 * @param service - the service that is called.
 * @param excluded - members that have been tried already.
 * @returns the members that the call can be sent to.
 */
export function findCandidates(
	directory: Directory,
	self: Member,
	service: string,
	excluded: ReadonlySet<string>,
): Candidates {
	const near: Member[] = [];
	const far: Member[] = [];
	for (const member of directory.ofService(service)) {
		if (!isRoutable(member) || excluded.has(member.id)) {
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
