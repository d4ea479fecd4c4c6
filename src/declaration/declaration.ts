import type {Millis} from '../clock/index.js';

/** Settings of one service, shared by all customers. */
export interface ServicePolicy {
	readonly service: string;
	readonly kind: string;
	/** Maximum number of calls queued at each backend server. */
	readonly queue: number;
	/** Time after its start until a backend server is given all its slots, in ms. */
	readonly warmUp: Millis;
	/** Time that probes may take at a backend server, in ms per second. */
	readonly probeBudget: number;
	/** Whether calls may be sent to another region when needed to meet their deadline. */
	readonly isOtherRegionAllowed: boolean;
	/** Path of the health endpoint, if declared. */
	readonly healthPath?: string;
	/** Maximum number of connections to a backend server, if declared. */
	readonly connections?: number;
	/** Requests per second that a cold backend server tolerates; undefined if it tolerates any number. */
	readonly coldRate?: number;
	/** Time after its start for which a backend server is cold, in ms. */
	readonly coldDuration?: Millis;
}

/** Settings for the calls of one customer to one service. */
export interface CallPolicy {
	readonly service: string;
	readonly customer: string;
	/** Deadline of calls whose caller sets none, in ms. */
	readonly deadline: Millis;
	/** Longest deadline that a caller may request, in ms. */
	readonly maxDeadline: Millis;
	/** Methods of requests that may be executed more than once. */
	readonly idempotentMethods: readonly string[];
	/** Path prefixes of requests that may be executed more than once, with any method. */
	readonly idempotentPaths: readonly string[];
	/** Maximum number of attempts per call. */
	readonly maxAttempts: number;
	/** Retry budget as a fraction of calls. */
	readonly retryShare: number;
	/** Hedge budget as a fraction of calls. */
	readonly hedgeShare: number;
	/** Weight of the customer when customers compete for slots. */
	readonly share: number;
	/** Retention time of idempotency keys, in ms. */
	readonly keyRetention: Millis;
}

/** One of the services among which a route splits its requests. */
export interface RouteTarget {
	readonly service: string;
	/** Share of the requests, relative to the weights of the other targets. */
	readonly weight: number;
}

/** Settings for requests to one host and path prefix. */
export interface RoutePolicy {
	readonly name: string;
	readonly host: string;
	/** Path prefix; begins and ends with a slash. */
	readonly prefix: string;
	readonly isIdempotent: boolean;
	/** Time-out of a request as seen by the caller, in ms. */
	readonly timeout: Millis;
	/** Latency objective, in ms. */
	readonly objective: Millis;
	/** Maximum number of backend servers to which one request is sent. */
	readonly maxAttempts: number;
	/** Priority among the requests of a service; 0 is the highest. */
	readonly priority: number;
	readonly targets: readonly RouteTarget[];
	/** Regions that requests and their bodies may be sent to; undefined for any region. */
	readonly allowedRegions?: readonly string[];
	/** Whether requests have large bodies, which are forwarded while they arrive. */
	readonly isUpload?: boolean;
	/** Whether requests need no key of a customer. */
	readonly isAnonymous?: boolean;
}

/** Settings of a customer that identifies itself by a key. */
export interface CustomerPolicy {
	readonly customer: string;
	/** SHA-256 digests of the customer's keys, in hexadecimal digits. */
	readonly keyDigests: readonly string[];
	/** Priority that goes before the priority of the route; 0 is the highest. Undefined for the route's alone. */
	readonly priority?: number;
	/** Requests per second that all nodes together run for the customer; 0 for no limit. */
	readonly rate: number;
	/** Requests that the customer may send at once in addition to the rate. */
	readonly burst: number;
	/** Regions that requests and their bodies may be sent to; undefined for any region. */
	readonly allowedRegions?: readonly string[];
}

/** Size limits and time-outs for the connections of callers. */
export interface CallerLimits {
	readonly maxHeaderBytes: number;
	readonly maxBodyBytes: number;
	readonly headerTimeout: Millis;
	readonly idleTimeout: Millis;
}

/** Bandwidth budget of the link between two regions. */
export interface LinkBudget {
	readonly regions: readonly [string, string];
	/** Budget for probes and control traffic, in each direction. */
	readonly controlBytesPerSecond: number;
	/** Budget for calls and their answers, in each direction. */
	readonly callBytesPerSecond: number;
}

/** Complete configuration as declared by operators, validated and rendered. */
export interface Declaration {
	readonly deployment: string;
	readonly services: readonly ServicePolicy[];
	readonly calls: readonly CallPolicy[];
	readonly links: readonly LinkBudget[];
	/** Routes by host and path; absent when callers name the service. */
	readonly routes?: readonly RoutePolicy[];
	readonly callerLimits?: CallerLimits;
	/** Customers that identify themselves by a key; absent when requests carry no keys. */
	readonly customers?: readonly CustomerPolicy[];
}
