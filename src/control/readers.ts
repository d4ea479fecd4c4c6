import type {Clock, Millis} from '../clock/index.js';
import {
	Distance,
	distanceBetween,
	isPresent,
	Liveness,
	type Gossip,
	type Member,
} from '../membership/index.js';
import {rendezvous} from '../util/index.js';
import type {ReaderSlot} from './poll-schedule.js';
import {zoneName} from './store-keys.js';

/**
 * Number of readers that a deployment aims at, with one or two in each zone. A change is sent whole to each of them, so
 * that more of them delay it where regions are joined by a narrow link. With fewer, a store that rejects a third of the
 * nodes could reject them all.
 */
const aimedReaders = 8;
const maxReadersPerZone = 2;
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
		if (isAvailable(member) && distanceBetween(account, member) === Distance.SameZone) {
			ids.push(member.id);
		}
	}

	const perZone = readersPerZone(countByZone(gossip).size);
	return rendezvous(zoneName(account.region, account.zone), ids, perZone);
}

/**
 * @param gossip - the membership.
 * @param clock - clock of the node.
 * @returns whether the node must read the store itself: as a reader of its zone, or because it is isolated.
 */
export function mustReadStore(gossip: Gossip, clock: Pick<Clock, 'now'>): boolean {
	return isIsolated(gossip, clock) || selectReaders(gossip).includes(gossip.localMember.id);
}

/**
 * Numbers the readers of all zones without selecting those of other zones: the zones by name, then the readers of a
 * zone by rank.
 * @param gossip - the membership.
 * @param clock - clock of the node.
 * @returns the place of this node among them; an isolated node counts as the only reader.
 */
export function findReaderSlot(gossip: Gossip, clock: Pick<Clock, 'now'>): ReaderSlot {
	if (isIsolated(gossip, clock)) {
		return {index: 0, count: 1};
	}

	const {localMember: account} = gossip;
	const sizes = countByZone(gossip);
	const perZone = readersPerZone(sizes.size);
	const ownZone = zoneName(account.region, account.zone);
	let before = 0;
	let count = 0;
	for (const [zone, size] of sizes) {
		const readers = Math.min(perZone, size);
		before += zone < ownZone ? readers : 0;
		count += readers;
	}

	const rank = Math.max(0, selectReaders(gossip).indexOf(account.id));
	return {index: before + rank, count: Math.max(1, count)};
}

function readersPerZone(zones: number): number {
	return Math.min(maxReadersPerZone, Math.max(1, Math.floor(aimedReaders / Math.max(1, zones))));
}

/** @returns number of available members of each zone. */
function countByZone({directory}: Gossip): ReadonlyMap<string, number> {
	const sizes = new Map<string, number>();
	for (const member of directory.all()) {
		if (isAvailable(member)) {
			const zone = zoneName(member.region, member.zone);
			sizes.set(zone, (sizes.get(zone) ?? 0) + 1);
		}
	}

	return sizes;
}

function isIsolated(gossip: Gossip, clock: Pick<Clock, 'now'>): boolean {
	return clock.now() - gossip.lastReceivedAt > isolationTimeout;
}

function isAvailable(member: Member): boolean {
	return isPresent(member) && member.liveness === Liveness.Alive;
}
