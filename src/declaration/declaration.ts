import type {Millis} from '../clock/index.js';

/** What holds for one service as a whole. */
export interface ServicePolicy {
	readonly service: string;
	readonly kind: string;
	/** Calls that may wait at each backend server. */
	readonly queue: number;
	/** Time until a started backend server gets all its slots, in ms. */
	readonly warmUp: Millis;
	/** Time that probes may take at a backend server, in ms for each second. */
	readonly probeBudget: number;
	/** Whether calls may leave the region when their deadline demands it. */
	readonly isOtherRegionAllowed: boolean;
	/** Path of the health endpoint, where the declaration names it. */
	readonly healthPath?: string;
	/** Connections that a backend server takes at the most, where the declaration names them. */
	readonly connections?: number;
}

/** What holds for the calls of one customer to one service. */
export interface CallPolicy {
	readonly service: string;
	readonly customer: string;
	/** How long callers wait that don't say so, in ms. */
	readonly deadline: Millis;
	/** Longest deadline that a caller may ask for, in ms. */
	readonly maxDeadline: Millis;
	/** Methods of requests that may run more than once. */
	readonly idempotentMethods: readonly string[];
	/** Path prefixes of requests that may run more than once, whatever their method. */
	readonly idempotentPaths: readonly string[];
	/** Attempts of one call at the most. */
	readonly maxAttempts: number;
	/** Retries as a share of calls. */
	readonly retryShare: number;
	/** Hedges as a share of calls. */
	readonly hedgeShare: number;
	/** Weight when customers compete for slots. */
	readonly share: number;
	/** How long idempotency keys are remembered, in ms. */
	readonly keyRetention: Millis;
}

/** One of the services among which a route splits its requests. */
export interface RouteTarget {
	readonly service: string;
	/** Share of the requests, relative to the weights of the other targets. */
	readonly weight: number;
}

/** What holds for requests to one host below one path. */
export interface RoutePolicy {
	readonly name: string;
	readonly host: string;
	/** Start of the paths; begins and ends with a slash. */
	readonly prefix: string;
	readonly isIdempotent: boolean;
	/** How long a caller is kept waiting at the most, in ms. */
	readonly timeout: Millis;
	/** How long an answer is in time, in ms. */
	readonly objective: Millis;
	/** Backend servers to which one request may be sent. */
	readonly maxAttempts: number;
	/** Rank among the requests of a service; 0 is the most urgent. */
	readonly priority: number;
	readonly targets: readonly RouteTarget[];
}

/** What a caller may send, and how long it may stay idle. */
export interface CallerLimits {
	readonly maxHeaderBytes: number;
	readonly maxBodyBytes: number;
	readonly headerTimeout: Millis;
	readonly idleTimeout: Millis;
}

/** Bytes that may travel between two regions. */
export interface LinkBudget {
	readonly regions: readonly [string, string];
	/** For measuring and control, in each direction. */
	readonly controlBytesPerSecond: number;
	/** For calls and their answers, in each direction. */
	readonly callBytesPerSecond: number;
}

/** Everything that operators declare, checked and rendered. */
export interface Declaration {
	readonly deployment: string;
	readonly services: readonly ServicePolicy[];
	readonly calls: readonly CallPolicy[];
	readonly links: readonly LinkBudget[];
	/** Routes by host and path; none where callers name the service. */
	readonly routes?: readonly RoutePolicy[];
	readonly callerLimits?: CallerLimits;
}
