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
}
