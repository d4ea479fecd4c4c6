import type {Deadline, RequestHead} from '../call/index.js';
import type {CallPolicy, DeclarationIndex, ServicePolicy} from '../declaration/index.js';
import type {AttemptResult, Body, Cancellation} from '../exchange/index.js';

/** A caller's request with what is declared for it. One call sees one revision throughout. */
export interface Call {
	readonly head: RequestHead;
	readonly policy: CallPolicy;
	readonly service: ServicePolicy;
	readonly index: DeclarationIndex;
	readonly deadline: Deadline;
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
}
