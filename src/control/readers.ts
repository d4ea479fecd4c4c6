import type {Clock, Millis} from '../clock/index.js';
import {Distance, distanceBetween, isPresent, Liveness, type Gossip} from '../membership/index.js';
import {rendezvous} from '../util/index.js';
import {zoneName} from './store-keys.js';

const readersPerZone = 2;
/** A node receives gossip about five times a second; after this time without any it counts as isolated. */
const isolationTimeout: Millis = 1200;

/**
 * Selects the nodes that read the platform's store on behalf of their zone, by rendezvous hashing over the
 * local membership view. When views differ, the zone has more readers for a while, which is harmless.
 * @param gossip - the membership.
 * @returns ids of the readers of the node's own zone.
 */
export function selectReaders(gossip: Gossip): string[] {
	const {directory, localMember: account} = gossip;
	const ids: string[] = [];
	for (const member of directory.all()) {
		const isAvailable = isPresent(member) && member.liveness === Liveness.Alive;
		if (isAvailable && distanceBetween(account, member) === Distance.SameZone) {
			ids.push(member.id);
		}
	}

	return rendezvous(zoneName(account.region, account.zone), ids, readersPerZone);
}

/**
 * @param gossip - the membership.
 * @param clock - clock of the node.
 * @returns whether the node must read the store itself: as a reader of its zone, or because it is isolated.
 */
export function mustReadStore(gossip: Gossip, clock: Pick<Clock, 'now'>): boolean {
	const isIsolated = clock.now() - gossip.lastReceivedAt > isolationTimeout;
	return isIsolated || selectReaders(gossip).includes(gossip.localMember.id);
}
