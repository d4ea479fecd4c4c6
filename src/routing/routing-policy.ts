import type {LoadReport} from '../call/index.js';
import type {Millis} from '../clock/index.js';
import type {Member} from '../membership/index.js';

/** What the choice of one executor depends on. */
export interface RoutingQuery {
	/** Members that could run the call; never empty. */
	readonly candidates: readonly Member[];
	/** How long the caller still waits, in ms. */
	readonly timeLeft: Millis;
}

/** A way to choose executors; the product's own and the baselines it is measured against. */
export interface RoutingPolicy {
	/**
	 * @param query - what the choice depends on.
	 * @returns one of the candidates.
	 */
	choose(query: RoutingQuery): Member;
	/** An attempt was sent to an executor. */
	recordSent(id: string): void;
	/**
	 * An attempt has ended.
	 * @param id - its executor.
	 * @param sentAt - when it was sent, in ms.
	 * @param load - what the executor told of its load, if it did.
	 */
	recordEnded(id: string, sentAt: Millis, load: LoadReport | undefined): void;
}
