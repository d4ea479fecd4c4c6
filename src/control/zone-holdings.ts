import {isPresent, type Directory, type HeldRevision, type Member} from '../membership/index.js';

type Holding = {incarnation: number; revision: number};

/** What a reader knows of the revisions that the members of its zone hold. */
export class ZoneHoldings {
	private readonly holdings = new Map<string, Holding>();

	/**
	 * @param held - what a member says.
	 */
	note(held: HeldRevision): void {
		const {id, incarnation} = held.sender;
		this.holdings.set(id, {incarnation, revision: held.revision});
	}

	/**
	 * @param directory - all known members.
	 * @param self - the reader.
	 * @param revision - the staged revision.
	 * @returns live members of the zone that are not known to hold the revision.
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
	 * @param id - a member that is gone.
	 */
	forget(id: string): void {
		this.holdings.delete(id);
	}

	private holds(member: Member, revision: number): boolean {
		const holding = this.holdings.get(member.id);
		return holding?.incarnation === member.incarnation && holding.revision >= revision;
	}
}
