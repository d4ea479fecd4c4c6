/** Header names and values in turn, as they came over the wire. */
export type HeaderList = string[];

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
	/** Hash that is the same for equal requests. */
	readonly fingerprint: string;
}
