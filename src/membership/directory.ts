import type {Undo} from '../clock/index.js';
import {hash32, hash48} from '../util/index.js';
import {compareMemberRecords, isPresent, isUnconfirmed, type Member} from './member.js';

/** Number of buckets in a digest. */
export const bucketCount = 256;

/** Called after a record of a member is stored; not called when a member is removed. */
export type MemberListener = (member: Member, previous: Member | undefined) => void;

/**
 * @param member - id and incarnation of a member.
 * @returns a hash of both, which identifies the member in brief updates.
 */
export function memberHash(member: Pick<Member, 'id' | 'incarnation'>): number {
	return hash48(`${member.id}#${member.incarnation}`);
}

function memberChecksum(member: Member): number {
	const {id, incarnation, version, liveness, phase} = member;
	return hash32(`${id}#${incarnation}.${version}.${liveness}.${phase}`);
}

function zoneKey({region, zone}: Pick<Member, 'region' | 'zone'>): string {
	return `${region} ${zone}`;
}

/** All members that a node knows. A record replaces another only by {@link compareMemberRecords}. */
export class Directory {
	private readonly members = new Map<string, Member>();
	private readonly hashes = new Map<number, string>();
	private readonly services = new Map<string, Map<string, Member>>();
	private readonly checksums = new Uint32Array(bucketCount);
	private readonly listeners = new Set<MemberListener>();
	private readonly regionSizes = new Map<string, number>();
	private readonly zoneSizes = new Map<string, number>();
	private changes = 0;

	/** Increases with each change of a member. */
	get changeCount(): number {
		return this.changes;
	}

	get size(): number {
		return this.members.size;
	}

	/**
	 * @param id - address of a member.
	 * @returns its record; undefined when the member is unknown.
	 */
	get(id: string): Member | undefined {
		return this.members.get(id);
	}

	/**
	 * @param hash - hash of a member's id and incarnation.
	 * @returns its record; undefined when the member is unknown.
	 */
	byHash(hash: number): Member | undefined {
		const id = this.hashes.get(hash);
		return id === undefined ? undefined : this.members.get(id);
	}

	/**
	 * @returns every member, including tombstones: records of dead or departed members, which are kept for some
	 * time so that stale records don't resurrect them.
	 */
	all(): IterableIterator<Member> {
		return this.members.values();
	}

	/**
	 * @param service - name of a service.
	 * @returns all members with a backend server of this service, including dead, left and draining ones.
	 */
	ofService(service: string): Iterable<Member> {
		return this.services.get(service)?.values() ?? [];
	}

	/** @returns a checksum for each bucket; equal sets of records have equal checksums. */
	digest(): Uint32Array {
		return this.checksums;
	}

	/**
	 * @param id - address of a member.
	 * @returns the bucket whose checksum covers its record.
	 */
	bucketOf(id: string): number {
		return hash32(id) % bucketCount;
	}

	/**
	 * Stores a record when it overrides the known one, and notifies the listeners.
	 * @param update - a record of a member.
	 * @returns whether the record was stored.
	 */
	merge(update: Member): boolean {
		const known = this.members.get(update.id);
		if (known && compareMemberRecords(update, known) <= 0) {
			return false;
		}

		this.replace(known, update);
		for (const listener of this.listeners) {
			listener(update, known);
		}

		return true;
	}

	/**
	 * Removes a member without notifying the listeners.
	 * @param id - its address.
	 */
	remove(id: string): void {
		const known = this.members.get(id);
		if (known) {
			this.replace(known, undefined);
		}
	}

	/**
	 * @param listener - called after a record is stored; not called when a member is removed.
	 * @returns a function that ends the registration.
	 */
	registerListener(listener: MemberListener): Undo {
		this.listeners.add(listener);
		return () => {
			this.listeners.delete(listener);
		};
	}

	/** @returns the number of members that have neither left nor been declared dead. */
	countPresent(): number {
		let count = 0;
		for (const member of this.members.values()) {
			count += isPresent(member) ? 1 : 0;
		}

		return count;
	}

	/**
	 * @param region - name of a region.
	 * @returns the number of its members that have neither left nor been declared dead.
	 */
	countInRegion(region: string): number {
		return this.regionSizes.get(region) ?? 0;
	}

	/**
	 * @param region - name of a region.
	 * @returns whether members of another region were ever known, even if none is reachable now.
	 */
	hasSeenOtherRegion(region: string): boolean {
		return this.regionSizes.size > (this.regionSizes.has(region) ? 1 : 0);
	}

	/**
	 * @param place - a region and a zone of it.
	 * @returns the number of the zone's members that have neither left nor been declared dead.
	 */
	countInZone(place: Pick<Member, 'region' | 'zone'>): number {
		return this.zoneSizes.get(zoneKey(place)) ?? 0;
	}

	private adjustCounts(member: Member, delta: number): void {
		if (isPresent(member)) {
			const {region} = member;
			const zone = zoneKey(member);
			this.regionSizes.set(region, this.countInRegion(region) + delta);
			this.zoneSizes.set(zone, this.countInZone(member) + delta);
		}
	}

	private replace(known: Member | undefined, next: Member | undefined): void {
		this.changes += 1;
		if (known) {
			this.toggleChecksum(known);
			this.adjustCounts(known, -1);
			this.hashes.delete(memberHash(known));
			this.services.get(known.service)?.delete(known.id);
			this.members.delete(known.id);
		}

		if (next) {
			this.toggleChecksum(next);
			this.adjustCounts(next, 1);
			this.hashes.set(memberHash(next), next.id);
			this.members.set(next.id, next);
			this.indexService(next);
		}
	}

	private indexService(member: Member): void {
		const index = this.services.get(member.service) ?? new Map<string, Member>();
		index.set(member.id, member);
		this.services.set(member.service, index);
	}

	// Exclusive or, so that adding and removing a record are the same operation, in any order.
	// Unconfirmed members are excluded: they are not gossiped to others.
	private toggleChecksum(member: Member): void {
		if (isUnconfirmed(member)) {
			return;
		}

		const bucket = this.bucketOf(member.id);
		// eslint-disable-next-line no-bitwise
		this.checksums[bucket] = (this.checksums[bucket]! ^ memberChecksum(member)) >>> 0;
	}
}
