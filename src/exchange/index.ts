export {
	AttemptEnd,
	createRefused,
	createUnknown,
	type AnsweredAttempt,
	type Attempt,
	type AttemptResult,
	type AttemptRunner,
	type RefusedAttempt,
	type UnknownAttempt,
} from './attempt.js';
export {BodyLostError} from './body-lost-error.js';
export {createStreamBody, createBufferedBody, maxInlineBodyBytes, type Body} from './body.js';
export type {Call, CallEnd} from './call.js';
export {Cancellation} from './cancellation.js';
