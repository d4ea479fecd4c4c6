import type {Undo} from '../clock/index.js';
import {hash32, hash48} from '../util/index.js';
import {compareMemberRecords, isPresent, isUnconfirmed, type Member} from './member.js';

/** Buckets over which digests are taken. */
export const bucketCount = 256;

/** Hears of each change of a member. */
export type MemberListener = (member: Member, previous: Member | undefined) => void;

/**
 * @param member - whose hash is wanted.
 * @returns a hash of address and incarnation, by which brief updates name a member.
 */
export function memberHash(member: Pick<Member, 'id' | 'incarnation'>): number {
	return hash48(`${member.id}#${member.incarnation}`);
}

function accountChecksum(member: Member): number {
	const {id, incarnation, version, liveness, phase} = member;
	return hash32(`${id}#${incarnation}.${version}.${liveness}.${phase}`);
}

function zoneKey({region, zone}: Pick<Member, 'region' | 'zone'>): string {
	return `${region} ${zone}`;
}

/** All members that a node knows, and the one rule by which accounts replace each other. */
export class Directory {
	private readonly members = new Map<string, Member>();
	private readonly hashes = new Map<number, string>();
	private readonly services = new Map<string, Map<string, Member>>();
	private readonly checksums = new Uint32Array(bucketCount);
	private readonly listeners = new Set<MemberListener>();
	private readonly regionSizes = new Map<string, number>();
	private readonly zoneSizes = new Map<string, number>();
	private changes = 0;

	/** Grows with each change of a member. */
	get changeCount(): number {
		return this.changes;
	}

	get size(): number {
		return this.members.size;
	}

	/**
	 * @param id - address of a member.
	 * @returns what is known of it.
	 */
	get(id: string): Member | undefined {
		return this.members.get(id);
	}

	/**
	 * @param hash - hash of a member's id and incarnation.
	 * @returns what is known of it.
	 */
	byHash(hash: number): Member | undefined {
		const id = this.hashes.get(hash);
		return id === undefined ? undefined : this.members.get(id);
	}

	/** @returns every member, tombstones included. */
	all(): IterableIterator<Member> {
		return this.members.values();
	}

	/**
	 * @param service - name of a service.
	 * @returns the members whose backend server belongs to it.
	 */
	ofService(service: string): Iterable<Member> {
		return this.services.get(service)?.values() ?? [];
	}

	/** @returns a checksum for each bucket; equal sets have equal checksums. */
	digest(): Uint32Array {
		return this.checksums;
	}

	/**
	 * @param id - address of a member.
	 * @returns the bucket in which its account is counted.
	 */
	bucketOf(id: string): number {
		return hash32(id) % bucketCount;
	}

	/**
	 * Takes an account when it overrides the known one.
	 * @param account - what somebody says of a member.
	 * @returns whether something changed.
	 */
	merge(account: Member): boolean {
		const known = this.members.get(account.id);
		if (known && compareMemberRecords(account, known) <= 0) {
			return false;
		}

		this.replace(known, account);
		for (const listener of this.listeners) {
			listener(account, known);
		}

		return true;
	}

	/**
	 * Forgets a member that is gone.
	 * @param id - its address.
	 */
	remove(id: string): void {
		const known = this.members.get(id);
		if (known) {
			this.replace(known, undefined);
		}
	}

	/**
	 * @param listener - called after each change.
	 * @returns a function that ends the registration.
	 */
	registerListener(listener: MemberListener): Undo {
		this.listeners.add(listener);
		return () => {
			this.listeners.delete(listener);
		};
	}

	/** @returns how many members still run as far as is known. */
	countPresent(): number {
		let count = 0;
		for (const member of this.members.values()) {
			count += isPresent(member) ? 1 : 0;
		}

		return count;
	}

	/**
	 * @param region - name of a region.
	 * @returns how many members of it still run as far as is known.
	 */
	countInRegion(region: string): number {
		return this.regionSizes.get(region) ?? 0;
	}

	/**
	 * @param region - name of a region.
	 * @returns whether members of another region were ever known; they may be cut off for now.
	 */
	hasSeenOtherRegion(region: string): boolean {
		return this.regionSizes.size > (this.regionSizes.has(region) ? 1 : 0);
	}

	/**
	 * @param place - a region and a zone of it.
	 * @returns how many members of the zone still run as far as is known.
	 */
	countInZone(place: Pick<Member, 'region' | 'zone'>): number {
		return this.zoneSizes.get(zoneKey(place)) ?? 0;
	}

	private countPlaces(member: Member, change: number): void {
		if (isPresent(member)) {
			const {region} = member;
			const zone = zoneKey(member);
			this.regionSizes.set(region, this.countInRegion(region) + change);
			this.zoneSizes.set(zone, this.countInZone(member) + change);
		}
	}

	private replace(known: Member | undefined, account: Member | undefined): void {
		this.changes += 1;
		if (known) {
			this.toggleChecksum(known);
			this.countPlaces(known, -1);
			this.hashes.delete(memberHash(known));
			this.services.get(known.service)?.delete(known.id);
			this.members.delete(known.id);
		}

		if (account) {
			this.toggleChecksum(account);
			this.countPlaces(account, 1);
			this.hashes.set(memberHash(account), account.id);
			this.members.set(account.id, account);
			this.indexService(account);
		}
	}

	private indexService(account: Member): void {
		const index = this.services.get(account.service) ?? new Map<string, Member>();
		index.set(account.id, account);
		this.services.set(account.service, index);
	}

	// Exclusive or: adding and removing an account are the same step, in any order. What is only
	// presumed is no news for others.
	private toggleChecksum(member: Member): void {
		if (isUnconfirmed(member)) {
			return;
		}

		const bucket = this.bucketOf(member.id);
		// eslint-disable-next-line no-bitwise
		this.checksums[bucket] = (this.checksums[bucket]! ^ accountChecksum(member)) >>> 0;
	}
}
