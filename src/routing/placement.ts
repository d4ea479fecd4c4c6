import type {RefusalReason, LoadReport} from '../call/index.js';
import type {Millis} from '../clock/index.js';
import type {Member} from '../membership/index.js';

/** What the choice of an executor for one call depends on. */
export interface PlacementQuery {
	readonly service: string;
	/** What the call is one of: calls of one kind take about the same time and bytes. */
	readonly kind: string;
	/** Rank; 0 is the most urgent. */
	readonly priority: number;
	readonly isIdempotent: boolean;
	/** How long the caller still waits, in ms. */
	readonly timeLeft: Millis;
	/** How long an answer to such a call is in time, in ms. */
	readonly objective: Millis;
	/** How long an answer is still in time, in ms. */
	readonly objectiveLeft: Millis;
	readonly requestBytes: number;
	/** Members that have been tried already. */
	readonly excluded: ReadonlySet<string>;
}

/** How an attempt ended, as far as it teaches something for later calls. */
export interface AttemptOutcome {
	readonly sentAt: Millis;
	/** What the executor told of its load, if it did. */
	readonly load: LoadReport | undefined;
	/** Bytes of a whole answer; undefined without one. */
	readonly answerBytes: number | undefined;
	/** Whether the attempt was lost on the way or the backend server failed. */
	readonly isFailure: boolean;
}

/** Places calls: chooses the executor of each attempt and says when a second one is worth its cost. */
export interface Placement {
	/**
	 * @param query - what the choice depends on.
	 * @returns the executor; undefined when there is none worth trying.
	 */
	choose(query: PlacementQuery): Member | undefined;
	/**
	 * @param query - the call.
	 * @returns why there was nobody to choose.
	 */
	noExecutorReason(query: PlacementQuery): RefusalReason;
	/**
	 * @param query - the call.
	 * @param executor - where its first attempt goes.
	 * @returns time after which a second attempt is worth its cost, in ms; undefined for never.
	 */
	hedgeDelay(query: PlacementQuery, executor: Member): Millis | undefined;
	/**
	 * @param query - a call whose attempt is out.
	 * @param executor - where it is.
	 * @param elapsed - how long it has been there, in ms.
	 * @returns where a second attempt is expected to answer in time while the first is not; undefined
	 * where none is worth its cost.
	 */
	hedgeExecutor(query: PlacementQuery, executor: Member, elapsed: Millis): Member | undefined;
	/**
	 * @param query - a call that cannot be served now.
	 * @returns when there will be room, in ms from now; undefined when nothing is known of that.
	 */
	retryAfterHint(query: PlacementQuery): Millis | undefined;
	/**
	 * @param query - a call for which there is no executor.
	 * @returns how long it should wait for one to come, in ms.
	 */
	maxWaitForExecutor(query: PlacementQuery): Millis;
	/** An attempt goes to an executor. */
	recordSent(query: PlacementQuery, executor: Member): void;
	/** An attempt has ended. */
	recordEnded(query: PlacementQuery, executor: Member, news: AttemptOutcome): void;
	/**
	 * Gives an executor no work for a while where another can take it.
	 * @param id - the executor.
	 * @param span - for how long, in ms.
	 */
	avoid(id: string, span: Millis): void;
	/** Forgets an executor that is gone. */
	forget(id: string): void;
}
