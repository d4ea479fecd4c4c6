import type {RoutePolicy} from '../declaration/index.js';

type Split = {readonly weights: string; readonly credits: number[]};

/**
 * Splits the requests of a route among its targets in proportion to their weights, exactly and
 * evenly over time: each target earns its weight with every request and the richest one pays the sum.
 * Source: smooth weighted round-robin, as in several well-known load balancers.
 */
export class WeightedSplit {
	private readonly splits = new Map<string, Split>();

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

	/**
	 * Forgets routes that are gone.
	 * @param routes - the routes that there are.
	 */
	retain(routes: readonly RoutePolicy[]): void {
		const names = new Set(routes.map((route) => route.name));
		for (const name of this.splits.keys()) {
			if (!names.has(name)) {
				this.splits.delete(name);
			}
		}
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
