import type {RefusalReason, LoadReport} from '../call/index.js';
import type {Millis} from '../clock/index.js';
import type {Member} from '../membership/index.js';

/** Input of the choice of an executor for one call. */
export interface PlacementQuery {
	readonly service: string;
	/** Kind of the call; calls of one kind take about the same time and have answers of about the same size. */
	readonly kind: string;
	/** Priority; 0 is the most urgent. */
	readonly priority: number;
	readonly isIdempotent: boolean;
	/** Time until the deadline of the call, in ms. */
	readonly timeLeft: Millis;
	/** Latency objective of such calls, in ms. */
	readonly objective: Millis;
	/** Time until an answer is late, in ms. */
	readonly objectiveLeft: Millis;
	/** Size of the body of the request; 0 if it is not known. */
	readonly requestBytes: number;
	/** Members that have been tried already. */
	readonly excluded: ReadonlySet<string>;
	/** Regions that the call may be sent to; undefined for any. */
	readonly allowedRegions?: readonly string[] | undefined;
}

/**
 * @param service - service of a call.
 * @param route - route of the call.
 * @returns the kind of the call.
 */
export function callKind(service: string, route: string): string {
	return `${service} ${route}`;
}

/** Result of an attempt, as used for later placements. */
export interface AttemptOutcome {
	readonly sentAt: Millis;
	/** Load that the executor reported, if any. */
	readonly load: LoadReport | undefined;
	/** Size of a complete answer in bytes; undefined without one. */
	readonly answerBytes: number | undefined;
	/** Whether the attempt was lost in transit or the backend server failed. */
	readonly isFailure: boolean;
}

/**
 * Chooses the executor of each attempt and decides when a hedge is worth its cost. The ingress uses this
 * interface; a `RoutingPolicy` only chooses among given candidates.
 */
export interface Placement {
	/**
	 * @param query - the call.
	 * @returns the executor; undefined if none is worth trying.
	 */
	choose(query: PlacementQuery): Member | undefined;
	/**
	 * @param query - the call.
	 * @returns the reason why no executor could be chosen.
	 */
	noExecutorReason(query: PlacementQuery): RefusalReason;
	/**
	 * @param query - the call.
	 * @param executor - executor of its first attempt.
	 * @returns time after which a hedge is worth its cost, in ms; undefined for never.
	 */
	hedgeDelay(query: PlacementQuery, executor: Member): Millis | undefined;
	/**
	 * @param query - a call with an attempt in flight.
	 * @param executor - executor of the attempt.
	 * @param elapsed - time since the attempt was sent, in ms.
	 * @returns an executor whose expected loss is enough below that of the first attempt; undefined if no
	 * hedge is worth its cost.
	 */
	hedgeExecutor(query: PlacementQuery, executor: Member, elapsed: Millis): Member | undefined;
	/**
	 * @param query - a call that cannot be served now.
	 * @returns delay after which the caller should try again, in ms; undefined if it is unknown.
	 */
	retryAfterHint(query: PlacementQuery): Millis | undefined;
	/**
	 * @param query - a call for which there is no executor.
	 * @returns maximum time to wait for an executor, in ms.
	 */
	maxWaitForExecutor(query: PlacementQuery): Millis;
	/** Records that an attempt is sent to an executor. */
	recordSent(query: PlacementQuery, executor: Member): void;
	/** Records the end of an attempt. */
	recordEnded(query: PlacementQuery, executor: Member, outcome: AttemptOutcome): void;
	/**
	 * @param query - a call.
	 * @param executor - executor of an attempt.
	 * @returns expected time for the transfer of the body to the executor, in ms; 0 if it crosses no link.
	 */
	transferTime?(query: PlacementQuery, executor: Member): Millis;
	/**
	 * Avoids an executor for some time while another is available.
	 * @param id - the executor.
	 * @param duration - how long to avoid it, in ms.
	 */
	avoid(id: string, duration: Millis): void;
	/** Removes the state of an executor that is gone. */
	forget(id: string): void;
}
