import type {PlacementQuery} from '../index.js';

/**
 * @param change - fields that differ from the default.
 * @returns a query for the service `s` with an objective of 400 ms.
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
