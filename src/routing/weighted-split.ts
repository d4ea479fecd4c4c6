import {LRUCache} from 'lru-cache';
import type {RoutePolicy} from '../declaration/index.js';

/** Maximum number of routes whose credits are kept; the least recently used are evicted. */
const maxSplits = 10_000;

type Split = {readonly weights: string; readonly credits: number[]};

/**
 * Splits the requests of a route among its targets in proportion to their weights by smooth weighted
 * round robin, which is exact and evenly distributed over time: each request adds the weight of every
 * target to its credit, and subtracts the sum of the weights from the target with the highest credit.
 */
export class WeightedSplit {
	private readonly splits = new LRUCache<string, Split>({max: maxSplits});

	/**
	 * @param route - the route of a request.
	 * @returns name of the service that gets the request.
	 */
	choose(route: RoutePolicy): string {
		const {targets} = route;
		if (targets.length === 1) {
			return targets[0]!.service;
		}

		const {credits} = this.split(route);
		let total = 0;
		let best = 0;
		for (const [i, {weight}] of targets.entries()) {
			total += weight;
			credits[i]! += weight;
			best = credits[i]! > credits[best]! ? i : best;
		}

		credits[best]! -= total;
		return targets[best]!.service;
	}

	private split(route: RoutePolicy): Split {
		const weights = route.targets.map(({service, weight}) => `${service}=${weight}`).join(' ');
		const known = this.splits.get(route.name);
		if (known?.weights === weights) {
			return known;
		}

		const split = {weights, credits: route.targets.map(() => 0)};
		this.splits.set(route.name, split);
		return split;
	}
}
