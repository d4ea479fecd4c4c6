import type {Millis} from '../clock/index.js';
import {
	Distance,
	distanceBetween,
	isRoutable,
	type Directory,
	type Member,
} from '../membership/index.js';

/** Candidates for one call, by how far they are. */
export interface Candidates {
	readonly near: readonly Member[];
	/** Members of other regions, which are reached over paid links. */
	readonly far: readonly Member[];
}

/**
 * @param directory - all known members.
 * @param self - the member that chooses.
 * @param service - the service that is called.
 * @param excluded - members that have been tried already.
 * @returns the members that can be given the call.
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

/** Share of the time left that an answer may be expected to need. */
const safeShare = 0.8;

/**
 * @param expected - time that the best candidate of the region is expected to need, in ms.
 * @param timeLeft - how long the caller still waits, in ms.
 * @returns whether the deadline demands a backend server of another region.
 */
export function isOtherRegionNeeded(expected: Millis, timeLeft: Millis): boolean {
	return expected > timeLeft * safeShare;
}
