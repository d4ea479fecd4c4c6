import type {Deadline, RequestHead} from '../call/index.js';
import type {Millis} from '../clock/index.js';
import type {CallPolicy, DeclarationIndex, ServicePolicy} from '../declaration/index.js';
import type {AttemptResult} from './attempt.js';
import type {Body} from './body.js';
import type {Cancellation} from './cancellation.js';

/** A caller's request with what is declared for it. One call sees one revision throughout. */
export interface Call {
	readonly head: RequestHead;
	readonly policy: CallPolicy;
	readonly service: ServicePolicy;
	readonly index: DeclarationIndex;
	readonly deadline: Deadline;
	/** When the answer is late, though its caller still waits. */
	readonly objective: Deadline;
	/** How long an answer is in time, in ms. */
	readonly objectiveDuration: Millis;
	readonly body: Body;
	readonly cancellation: Cancellation;
}

/** How a call ended. */
export interface CallEnd {
	readonly result: AttemptResult;
	/** Attempts that were sent. */
	readonly attempts: number;
	/** The executor of the last attempt. */
	readonly executor: string | undefined;
	/** When there will be room for a call that was refused, in ms from now; undefined where unknown. */
	readonly retryAfter?: Millis | undefined;
}
