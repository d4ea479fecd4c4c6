import type {LoadReport} from '../call/index.js';
import type {Millis} from '../clock/index.js';
import type {Member} from '../membership/index.js';

/** Input of the choice of an executor. */
export interface RoutingQuery {
	/** Members that can run the call; never empty. */
	readonly candidates: readonly Member[];
	/** Time until the deadline of the call, in ms. */
	readonly timeLeft: Millis;
}

/**
 * Chooses one of the given candidates. The ingress uses a `Placement` instead: its nearest-first
 * placement leaves the choice among its candidates to the expected-wait policy. The other policies
 * are baselines that the benchmark compares with it.
 */
export interface RoutingPolicy {
	/**
	 * @param query - the call and its candidates.
	 * @returns one of the candidates.
	 */
	choose(query: RoutingQuery): Member;
	/** Records that an attempt was sent to an executor. */
	recordSent(id: string): void;
	/**
	 * Records the end of an attempt.
	 * @param id - its executor.
	 * @param sentAt - when it was sent, in ms.
	 * @param load - load that the executor reported, if any.
	 */
	recordEnded(id: string, sentAt: Millis, load: LoadReport | undefined): void;
}
