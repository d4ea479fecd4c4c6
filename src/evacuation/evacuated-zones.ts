import {second, type Clock, type Millis, type Undo} from '../clock/index.js';
import {hash32} from '../util/index.js';
import {comparePositions, type EvacuationState, type StorePosition} from './evacuation-state.js';

/** Region and availability zone of a node. */
export interface Place {
	readonly region: string;
	readonly zone: string;
}

/** Tells the placement which members get no calls because of an evacuation. */
export interface ZoneFilter {
	/** Whether the evacuation of a zone ended so recently that only some nodes use the zone again. */
	readonly hasReturning: boolean;
	/**
	 * @param place - place of a member.
	 * @returns whether its availability zone is evacuated.
	 */
	isEvacuated(place: Place): boolean;
	/**
	 * @param member - id and place of a member.
	 * @returns whether the evacuation of its zone has ended, but this node does not use the member again yet
	 * while others can serve.
	 */
	isReturning(member: Place & {readonly id: string}): boolean;
}

/** One evacuation that is in force. */
export interface Evacuation {
	readonly zone: string;
	/** Monotonic time in ms at which this node learned of it. */
	readonly since: Millis;
	/** `store`, or the id of the peer that this node learned of it from. */
	readonly source: string;
}

/** An evacuation that has begun or ended. */
export interface EvacuationChange {
	readonly zone: string;
	readonly isEvacuated: boolean;
	readonly source: string;
	readonly position: StorePosition;
}

/** Source of a state that this node has read from the store. */
export const storeSource = 'store';

/**
 * Time over which nodes return to a zone after its evacuation. Longer than the 3 s for which a backend server
 * is cold, so that the first of them warm it up.
 */
const returnDuration: Millis = 5 * second;
/**
 * How long a node still tells peers that no zone is evacuated, after the end of the last evacuation or after a
 * message with an older state. Gossip reaches each connected member within a few seconds.
 */
const advertiseDuration: Millis = 30 * second;
const hashRange = 2 ** 32;

/**
 * The evacuated availability zones that a node knows. States are ordered by the position of the store at which
 * they were read, so that neither a peer with an old state nor a delayed message reverts a newer one.
 */
export class EvacuatedZones implements ZoneFilter {
	private position: StorePosition | undefined;
	private evacuations = new Map<string, Evacuation>();
	/** Times at which evacuations ended, by zone; kept while nodes return to the zone. */
	private readonly endings = new Map<string, Millis>();
	private advertisedUntil = Number.NEGATIVE_INFINITY;
	private readonly listeners = new Set<(change: EvacuationChange) => void>();

	constructor(
		private readonly clock: Pick<Clock, 'now'>,
		/** Id of the local member. */
		private readonly self: string,
	) {}

	/** The evacuations in force. */
	get current(): readonly Evacuation[] {
		return [...this.evacuations.values()];
	}

	/** Position of the store at which the state was read; undefined before the first state. */
	get readAt(): StorePosition | undefined {
		return this.position;
	}

	/** State for gossip messages; undefined while peers need not be told that no zone is evacuated. */
	get advertised(): EvacuationState | undefined {
		const {position, evacuations} = this;
		const isNeeded = evacuations.size > 0 || this.clock.now() < this.advertisedUntil;
		return position && isNeeded ? {position, zones: [...evacuations.keys()]} : undefined;
	}

	get hasReturning(): boolean {
		return this.endings.size > 0;
	}

	/**
	 * Merges a state from the store or a peer; an older one than the known one has no effect.
	 * @param state - the state.
	 * @param source - `store`, or the id of the peer.
	 */
	merge(state: EvacuationState, source: string): void {
		const order = this.position ? comparePositions(state.position, this.position) : 1;
		const isSame =
			state.zones.length === this.evacuations.size &&
			state.zones.every((zone) => this.evacuations.has(zone));
		if (order > 0) {
			this.position = state.position;
			if (!isSame) {
				this.replace(state, source);
			}
		} else if (order < 0 && !isSame) {
			this.advertise();
		}
	}

	isEvacuated(place: Place): boolean {
		return findByPlace(this.evacuations, place) !== undefined;
	}

	// Each pair of nodes has its own point in the time of the return, so that the load of each member rises
	// evenly.
	isReturning(member: Place & {readonly id: string}): boolean {
		const endedAt = findByPlace(this.endings, member);
		if (endedAt === undefined) {
			return false;
		}

		const elapsed = this.clock.now() - endedAt;
		if (elapsed >= returnDuration) {
			this.expireEndings();
			return false;
		}

		return elapsed < (returnDuration * hash32(`${this.self}\n${member.id}`)) / hashRange;
	}

	/**
	 * @param listener - called for each zone whose evacuation begins or ends.
	 * @returns a function that ends the registration.
	 */
	registerListener(listener: (change: EvacuationChange) => void): Undo {
		this.listeners.add(listener);
		return () => {
			this.listeners.delete(listener);
		};
	}

	private replace({position, zones}: EvacuationState, source: string): void {
		const since = this.clock.now();
		const previous = this.evacuations;
		this.evacuations = new Map(
			zones.map((zone) => [zone, previous.get(zone) ?? {zone, since, source}]),
		);
		const ended = [...previous.keys()].filter((zone) => !this.evacuations.has(zone));
		for (const zone of ended) {
			this.endings.set(zone, since);
		}

		for (const zone of zones) {
			this.endings.delete(zone);
		}

		this.advertise();
		const begun = zones.filter((zone) => !previous.has(zone));
		for (const zone of [...begun, ...ended]) {
			const isEvacuated = this.evacuations.has(zone);
			for (const listener of this.listeners) {
				listener({zone, isEvacuated, source, position});
			}
		}
	}

	private advertise(): void {
		this.advertisedUntil = this.clock.now() + advertiseDuration;
	}

	private expireEndings(): void {
		for (const [zone, endedAt] of this.endings) {
			if (this.clock.now() - endedAt >= returnDuration) {
				this.endings.delete(zone);
			}
		}
	}
}

/**
 * @param name - name of an availability zone, or of a region and a zone joined by a slash.
 * @param place - place of a node.
 * @returns whether the name stands for the zone of the node.
 */
export function isZoneOf(name: string, {region, zone}: Place): boolean {
	return name === zone || name === `${region}/${zone}`;
}

function findByPlace<T>(byZone: ReadonlyMap<string, T>, {region, zone}: Place): T | undefined {
	return byZone.size === 0 ? undefined : (byZone.get(zone) ?? byZone.get(`${region}/${zone}`));
}
