import {LRUCache} from 'lru-cache';
import type {RoutePolicy} from '../declaration/index.js';

/** Routes whose credits are kept; those that were used longest ago are forgotten first. */
const maxSplits = 10_000;

type Split = {readonly weights: string; readonly credits: number[]};

/**
 * Splits the requests of a route among its targets in proportion to their weights, exactly and
 * evenly over time: each target earns its weight with every request and the richest one pays the sum.
 * Source: smooth weighted round-robin, as in several well-known load balancers.
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
