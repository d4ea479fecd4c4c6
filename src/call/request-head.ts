/** Header names and values in turn, as they came over the wire. */
export type HeaderList = string[];

/** Where a request comes from and how urgent it is. */
export interface RequestOrigin {
	/** Identifies the request in logs and at the backend server. */
	readonly requestId: string;
	/** Service beside whose backend server the request entered; empty where there is none. */
	readonly caller: string;
	/** Name of the route that took the request; empty for requests that name their service. */
	readonly route: string;
	/** Rank among the requests of a service; 0 is the most urgent. */
	readonly priority: number;
}

/** A caller's request without its body. */
export interface RequestHead {
	readonly service: string;
	readonly customer: string;
	readonly method: string;
	readonly path: string;
	/** End-to-end headers; hop-by-hop ones are left out. */
	readonly headers: HeaderList;
	/** Whether the declaration allows this request to run more than once. */
	readonly isIdempotent: boolean;
	/** The caller's idempotency key, if it sent one. */
	readonly key: string | undefined;
	readonly origin: RequestOrigin;
	/** Hash that is the same for equal requests. */
	readonly fingerprint: string;
}
