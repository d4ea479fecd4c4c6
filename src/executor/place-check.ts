import {commonRegions, isRegionAllowed, RefusalReason, type RequestHead} from '../call/index.js';
import type {DeclarationIndex, RevisionTracker} from '../declaration/index.js';
import type {Place, ZoneFilter} from '../evacuation/index.js';

/** Collaborators of {@link PlaceCheck}. */
export interface PlaceCheckDependencies {
	/** Place of the local node. */
	readonly place: Place;
	readonly zones: Pick<ZoneFilter, 'isEvacuated'>;
	readonly revisions: Pick<RevisionTracker, 'inForce'>;
}

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

	constructor(private readonly deps: PlaceCheckDependencies) {}

	/**
	 * @param head - a request that has arrived or is about to be sent to the backend server.
	 * @returns why it may not run here; undefined if it may.
	 */
	check(head: RequestHead): RefusalReason | undefined {
		const {place, zones} = this.deps;
		if (!isRegionAllowed(place.region, this.regionsOf(head))) {
			return RefusalReason.RegionNotAllowed;
		}

		return zones.isEvacuated(place) ? RefusalReason.ZoneEvacuated : undefined;
	}

	/**
	 * @param head - a request.
	 * @returns the regions that it, its route and its customer allow, the latter two by the configuration in
	 * force here; undefined for any.
	 */
	regionsOf({allowedRegions, origin, customer}: RequestHead): readonly string[] | undefined {
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
