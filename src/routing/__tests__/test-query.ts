import type {PlacementQuery} from '../index.js';

/**
 * @param change - what the test wants to be otherwise.
 * @returns a lookup of the service `s` that is in time for 400 ms.
 */
export function createQuery(change: Partial<PlacementQuery> = {}): PlacementQuery {
	return {
		service: 's',
		kind: 'k',
		priority: 2,
		isIdempotent: true,
		timeLeft: 800,
		objective: 400,
		objectiveLeft: 400,
		requestBytes: 0,
		excluded: new Set(),
		...change,
	};
}
