import {LRUCache} from 'lru-cache';
import {commonRegions, isRegionAllowed, RefusalReason, type RequestHead} from '../call/index.js';
import {minute, type Clock, type Millis} from '../clock/index.js';
import type {DeclarationIndex, RevisionTracker} from '../declaration/index.js';
import type {Place, ZoneFilter} from '../evacuation/index.js';

/** Collaborators of {@link PlaceCheck}. */
export interface PlaceCheckDependencies {
	/** Place of the local node. */
	readonly place: Place;
	readonly zones: Pick<ZoneFilter, 'isEvacuated'>;
	readonly revisions: Pick<RevisionTracker, 'inForce'>;
	readonly clock: Pick<Clock, 'now'>;
}

/**
 * How long a restricted request binds its nested calls from its start on. Longer than any call runs, as a backend
 * server may go on with a request whose attempt was canceled.
 */
const parentRetention: Millis = minute;
/** Maximum number of restricted requests that are remembered. */
const maxParents = 4000;

type Parent = {readonly allowedRegions: readonly string[]; readonly until: Millis};

type RegionRules = {
	readonly index: DeclarationIndex | undefined;
	readonly byRoute: ReadonlyMap<string, readonly string[]>;
};

/**
 * Decides at the executor whether a request may run at this node. The ingress that sent it may have an older
 * configuration, may not know of an evacuation, or may be wrong about the region of this node.
 */
export class PlaceCheck {
	private rules: RegionRules = {index: undefined, byRoute: new Map()};
	/** Restricted requests that were started here, by id. */
	private readonly parents = new LRUCache<string, Parent>({max: maxParents});

	constructor(private readonly deps: PlaceCheckDependencies) {}

	/**
	 * @param head - a request that has arrived or is about to be sent to the backend server.
	 * @returns why it may not run here; undefined if it may.
	 */
	check(head: RequestHead): RefusalReason | undefined {
		const {place, zones, clock} = this.deps;
		const allowedRegions = this.regionsOf(head);
		if (!isRegionAllowed(place.region, allowedRegions)) {
			return RefusalReason.RegionNotAllowed;
		}

		if (allowedRegions) {
			const until = clock.now() + parentRetention;
			this.parents.set(head.origin.requestId, {allowedRegions, until});
		}

		return zones.isEvacuated(place) ? RefusalReason.ZoneEvacuated : undefined;
	}

	/**
	 * @param requestId - id of a request; that of a nested call extends the id of the request it belongs to.
	 * @returns the regions that the request which it belongs to may be sent to; undefined for any.
	 */
	regionsOfParent(requestId: string): readonly string[] | undefined {
		for (let end = requestId.length - 1; end > 0 && this.parents.size > 0; end--) {
			const parent = this.parents.get(requestId.slice(0, end));
			if (parent && parent.until > this.deps.clock.now()) {
				return parent.allowedRegions;
			}
		}

		return undefined;
	}

	// The regions that the ingress, the route and the customer allow, the latter two by the configuration in
	// force here.
	private regionsOf({
		allowedRegions,
		origin,
		customer,
	}: RequestHead): readonly string[] | undefined {
		const {inForce} = this.deps.revisions;
		if (!inForce) {
			return allowedRegions;
		}

		const ofRoute = this.rulesOf(inForce).byRoute.get(origin.route);
		const ofCustomer = inForce.customer(customer)?.allowedRegions;
		return commonRegions(allowedRegions, commonRegions(ofRoute, ofCustomer));
	}

	private rulesOf(index: DeclarationIndex): RegionRules {
		if (this.rules.index !== index) {
			const byRoute = new Map<string, readonly string[]>();
			for (const {name, allowedRegions} of index.declaration.routes ?? []) {
				if (allowedRegions) {
					byRoute.set(name, allowedRegions);
				}
			}

			this.rules = {index, byRoute};
		}

		return this.rules;
	}
}
