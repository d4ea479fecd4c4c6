import type {Clock, Millis} from '../clock/index.js';
import {Distance, distanceBetween, isPresent, Liveness, type Gossip} from '../membership/index.js';
import {rendezvous} from '../util/index.js';
import {zoneName} from './store-keys.js';

const readersPerZone = 2;
/** A node hears of others about five times a second; one that hears nothing for so long is cut off. */
const isolationTime: Millis = 1200;

/**
 * The nodes of a zone that follow the platform's store for the others. Each node derives them from the
 * membership as it knows it; two readers too many do no harm.
 * @param gossip - the membership.
 * @returns ids of the readers of the node's own zone.
 */
export function selectReaders(gossip: Gossip): string[] {
	const {directory, localMember: account} = gossip;
	const ids: string[] = [];
	for (const member of directory.all()) {
		const isThere = isPresent(member) && member.liveness === Liveness.Alive;
		if (isThere && distanceBetween(account, member) === Distance.SameZone) {
			ids.push(member.id);
		}
	}

	return rendezvous(zoneName(account.region, account.zone), ids, readersPerZone);
}

/**
 * @param gossip - the membership.
 * @param clock - the time.
 * @returns whether the node itself must follow the store: as a reader, or as it hears of nobody.
 */
export function mustReadStore(gossip: Gossip, clock: Pick<Clock, 'now'>): boolean {
	const isIsolated = clock.now() - gossip.lastReceivedAt > isolationTime;
	return isIsolated || selectReaders(gossip).includes(gossip.localMember.id);
}
