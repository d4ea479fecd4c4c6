import type {Deadline, RequestHead} from '../call/index.js';
import type {Millis} from '../clock/index.js';
import type {CallPolicy, DeclarationIndex, ServicePolicy} from '../declaration/index.js';
import type {AttemptResult} from './attempt.js';
import type {Body} from './body.js';
import type {Cancellation} from './cancellation.js';

/** A caller's request with its policies. A call uses the same configuration revision throughout. */
export interface Call {
	readonly head: RequestHead;
	readonly policy: CallPolicy;
	readonly service: ServicePolicy;
	readonly index: DeclarationIndex;
	readonly deadline: Deadline;
	/** Latency objective: an answer after this time is late, even though the caller still waits. */
	readonly objective: Deadline;
	/** Time from the receipt of the request to the objective, in ms. */
	readonly objectiveDuration: Millis;
	readonly body: Body;
	readonly cancellation: Cancellation;
}

/** How a call ended. */
export interface CallEnd {
	readonly result: AttemptResult;
	/** Number of attempts that were sent. */
	readonly attempts: number;
	/** Id of the executor of the last attempt. */
	readonly executor: string | undefined;
	/**
	 * Runs the call once more, in the time and within the budgets that are left, after the body of its answer broke off
	 * before any of it was forwarded. Undefined if the answer does not stream or the call is not idempotent.
	 */
	readonly replaceAnswer?: (() => Promise<CallEnd>) | undefined;
	/** When capacity for a refused call is expected, in ms from now; undefined if unknown. */
	readonly retryAfter?: Millis | undefined;
}
