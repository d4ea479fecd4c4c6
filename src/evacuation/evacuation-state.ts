/** Point in the history of the store. Points of different eras are ordered by era. */
export interface StorePosition {
	/** Rises each time that the store is restored; undefined if the store does not report it. */
	readonly era: number | undefined;
	readonly version: number;
}

/** The evacuated availability zones at one position of the store. */
export interface EvacuationState {
	readonly position: StorePosition;
	/** Names as operators write them: of an availability zone, or of a region and a zone joined by a slash. */
	readonly zones: readonly string[];
}

/** Era of a position whose store reports none; below each era that a store reports. */
const unknownEra = -1;

/**
 * @param a - a position.
 * @param b - another position.
 * @returns above 0 when `a` is later, below 0 when `b` is later, 0 when they are equal.
 */
export function comparePositions(a: StorePosition, b: StorePosition): number {
	return (a.era ?? unknownEra) - (b.era ?? unknownEra) || a.version - b.version;
}
