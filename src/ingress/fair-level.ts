/** What one of several rivals asks for. */
export interface Demand {
	readonly demand: number;
	readonly weight: number;
}

/**
 * @param demands - what the rivals ask for.
 * @param capacity - what there is to divide.
 * @returns the weighted max-min level: a rival gets its demand or its weight times the level, whichever is less.
 * Infinite if all demands fit.
 */
export function fairLevel(demands: readonly Demand[], capacity: number): number {
	let left = capacity;
	let weights = 0;
	for (const {weight} of demands) {
		weights += weight;
	}

	const sorted = demands.toSorted((a, b) => a.demand / a.weight - b.demand / b.weight);
	for (const {demand, weight} of sorted) {
		const level = left / weights;
		if (demand > weight * level) {
			return level;
		}

		left -= demand;
		weights -= weight;
	}

	return Number.POSITIVE_INFINITY;
}
