import {isPresent, type Directory, type HeldRevision, type Member} from '../membership/index.js';

type Holding = {incarnation: number; revision: number};

/** Held revisions reported to a reader by the members of its zone. */
export class ZoneHoldings {
	private readonly holdings = new Map<string, Holding>();

	/**
	 * @param held - report of a member.
	 */
	record(held: HeldRevision): void {
		const {id, incarnation} = held.sender;
		this.holdings.set(id, {incarnation, revision: held.revision});
	}

	/**
	 * @param directory - all known members.
	 * @param self - the reader.
	 * @param revision - the staged revision.
	 * @returns present members of the zone that have not reported the revision as held.
	 */
	missing(directory: Directory, self: Member, revision: number): Member[] {
		const missing: Member[] = [];
		for (const member of directory.all()) {
			const isInZone = member.zone === self.zone && member.region === self.region;
			if (isInZone && isPresent(member) && !this.holds(member, revision)) {
				missing.push(member);
			}
		}

		return missing;
	}

	/**
	 * @param id - id of a member that is no longer present.
	 */
	remove(id: string): void {
		this.holdings.delete(id);
	}

	private holds(member: Member, revision: number): boolean {
		const holding = this.holdings.get(member.id);
		return holding?.incarnation === member.incarnation && holding.revision >= revision;
	}
}
