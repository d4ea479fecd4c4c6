import {isRegionAllowed, RefusalReason} from '../call/index.js';
import type {ZoneFilter} from '../evacuation/index.js';
import {isRoutable, Liveness, MemberPhase, type Member} from '../membership/index.js';

/**
 * @param reason - why a call has no executor.
 * @returns whether backend servers take calls only where this one may not be sent. Waiting does not help.
 */
export function isPlaceRefusal(reason: RefusalReason): boolean {
	return reason === RefusalReason.RegionNotAllowed || reason === RefusalReason.ZoneEvacuated;
}

// The node runs, and its backend server restarts or has not announced itself yet.
function isStarting({phase, liveness}: Member): boolean {
	return phase === MemberPhase.Joining && liveness === Liveness.Alive;
}

/**
 * @param members - members of the service that is called.
 * @param allowedRegions - regions that the call may be sent to; undefined for any.
 * @param zones - evacuated availability zones; undefined for none.
 * @returns why no executor can be chosen for the call.
 */
export function reasonWithoutExecutor(
	members: Iterable<Member>,
	allowedRegions: readonly string[] | undefined,
	zones: ZoneFilter | undefined,
): RefusalReason {
	let reason =
		allowedRegions?.length === 0 ? RefusalReason.RegionNotAllowed : RefusalReason.NoBackend;
	let hasStarting = false;
	for (const member of members) {
		const isAllowed = isRegionAllowed(member.region, allowedRegions);
		const isEvacuated = zones?.isEvacuated(member) ?? false;
		if (!isRoutable(member)) {
			hasStarting ||= isAllowed && !isEvacuated && isStarting(member);
			continue;
		}

		if (isAllowed && !isEvacuated) {
			return RefusalReason.Busy;
		}

		if (isAllowed) {
			reason = RefusalReason.ZoneEvacuated;
		} else if (reason === RefusalReason.NoBackend) {
			reason = RefusalReason.RegionNotAllowed;
		}
	}

	// A backend server outside of the evacuated zones may be back within a second.
	const isWaitUseful = reason === RefusalReason.ZoneEvacuated && hasStarting;
	return isWaitUseful ? RefusalReason.NoBackend : reason;
}
