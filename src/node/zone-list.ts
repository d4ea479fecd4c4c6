import {second, type Millis} from '../clock/index.js';
import {isZoneOf, type Evacuation, type StorePosition} from '../evacuation/index.js';
import {isPresent, isRoutable, type Member} from '../membership/index.js';

/** An availability zone as a node knows it, for operators. */
export interface ZoneEntry {
	/** Name of the zone as operators write it in an evacuation. */
	readonly zone: string;
	/** Region of the zone; empty if no member of the zone is known. */
	readonly region: string;
	/** Members that have neither left nor been declared dead. */
	readonly members: number;
	/** Members whose backend server takes calls. */
	readonly serving: number;
	readonly isEvacuated: boolean;
	/** Time since this node learned of the evacuation, in ms. */
	readonly age?: Millis;
	/** `store`, or the id of the peer that this node learned of the evacuation from. */
	readonly source?: string;
}

/** The availability zones that a node knows. */
export interface ZoneList {
	readonly zones: readonly ZoneEntry[];
	/** Position of the store at which the evacuations were read; undefined before the first reading. */
	readonly position: StorePosition | undefined;
}

/**
 * @param members - all known members.
 * @param evacuations - evacuations in force.
 * @param now - monotonic time in ms.
 * @returns the availability zones of the members by region and name, then evacuated ones without a member.
 */
export function listZones(
	members: Iterable<Member>,
	evacuations: readonly Evacuation[],
	now: Millis,
): ZoneEntry[] {
	const byPlace = new Map<string, Member[]>();
	for (const member of members) {
		if (isPresent(member)) {
			const key = `${member.region}/${member.zone}`;
			byPlace.set(key, [...(byPlace.get(key) ?? []), member]);
		}
	}

	const known = [...byPlace.entries()].toSorted(([a], [b]) => (a < b ? -1 : 1));
	const entries = known.map(([, found]) => {
		const {region, zone} = found[0]!;
		const evacuation = evacuations.find((item) => isZoneOf(item.zone, {region, zone}));
		const serving = found.filter((member) => isRoutable(member)).length;
		return {zone, region, members: found.length, serving, ...describe(evacuation, now)};
	});
	const unknown = evacuations
		.filter(({zone}) => !known.some(([, [member]]) => isZoneOf(zone, member!)))
		.map((evacuation) => {
			const {zone} = evacuation;
			return {zone, region: '', members: 0, serving: 0, ...describe(evacuation, now)};
		});
	return [...entries, ...unknown];
}

/**
 * @param list - the availability zones that a node knows.
 * @returns a line for each zone, and one with the position of the store.
 */
export function formatZones({zones, position}: ZoneList): string[] {
	const lines = zones.map(({zone, region, members, serving, isEvacuated, age = 0, source}) => {
		const place = region === '' ? zone : `${region}/${zone}`;
		const state = isEvacuated
			? `evacuated for ${Math.round(age / second)} s, from ${source}`
			: 'in use';
		const size = members === 0 ? 'no known node' : `${serving} of ${members} nodes serve`;
		return `${place}: ${state}; ${size}`;
	});
	const {era = 'none', version} = position ?? {};
	return version === undefined
		? [...lines, 'evacuations were not read yet']
		: [...lines, `evacuations as of version ${version}, era ${era} of the store`];
}

function describe(
	evacuation: Evacuation | undefined,
	now: Millis,
): Pick<ZoneEntry, 'isEvacuated' | 'age' | 'source'> {
	return evacuation
		? {isEvacuated: true, age: Math.round(now - evacuation.since), source: evacuation.source}
		: {isEvacuated: false};
}
