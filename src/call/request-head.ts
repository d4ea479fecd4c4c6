/** Alternating header names and values, as received. */
export type HeaderList = string[];

/** Origin and priority of a request. */
export interface RequestOrigin {
	/** Identifies the request in logs and at the backend server. */
	readonly requestId: string;
	/** Service of the backend server at the node that received the request; empty if there is none. */
	readonly caller: string;
	/** Name of the route that matched the request; empty for requests that name their service. */
	readonly route: string;
	/** Priority among the requests of a service; 0 is the most urgent. */
	readonly priority: number;
	/**
	 * Whether the backend server at the node that received the request made it while it ran another one. Told only where
	 * customers compete for slots.
	 */
	readonly isNested?: boolean | undefined;
}

/** A caller's request without its body. */
export interface RequestHead {
	readonly service: string;
	readonly customer: string;
	readonly method: string;
	readonly path: string;
	/** End-to-end headers; hop-by-hop headers are removed. */
	readonly headers: HeaderList;
	/** Whether the declaration allows this request to run more than once. */
	readonly isIdempotent: boolean;
	/** The caller's idempotency key, if it sent one. */
	readonly key: string | undefined;
	readonly origin: RequestOrigin;
	/** Hash of the request; equal requests have equal hashes. */
	readonly fingerprint: string;
	/** Regions that the request may be sent to; undefined for any. */
	readonly allowedRegions?: readonly string[] | undefined;
}

/**
 * @param region - region of a node; an empty one stands for an unknown region.
 * @param allowedRegions - regions that a request may be sent to; undefined for any.
 * @returns whether the request may be sent to the node.
 */
export function isRegionAllowed(
	region: string,
	allowedRegions: readonly string[] | undefined,
): boolean {
	return allowedRegions === undefined || (region !== '' && allowedRegions.includes(region));
}

/**
 * @param first - regions that one rule allows; undefined for any.
 * @param second - regions that another rule allows; undefined for any.
 * @returns the regions that both allow; undefined for any.
 */
export function commonRegions(
	first: readonly string[] | undefined,
	second: readonly string[] | undefined,
): readonly string[] | undefined {
	return first && second ? first.filter((region) => second.includes(region)) : (first ?? second);
}
