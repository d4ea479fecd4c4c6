import {second, type Millis} from '../clock/index.js';
import {Outcome} from './outcome.js';

/** Why a call was not answered. The values are part of the protocol and of the metrics. */
export enum RefusalReason {
	BadRequest = 'bad-request',
	NoService = 'no-service',
	NoRoute = 'no-route',
	BodyTooLarge = 'body-too-large',
	BodyTooSlow = 'body-too-slow',
	UnknownCustomer = 'unknown-customer',
	UnknownKey = 'unknown-key',
	QuotaExceeded = 'quota-exceeded',
	RegionNotAllowed = 'region-not-allowed',
	ZoneEvacuated = 'zone-evacuated',
	ZoneShort = 'zone-short',
	NotReady = 'not-ready',
	NoBackend = 'no-backend',
	Busy = 'busy',
	BackendSlow = 'backend-slow',
	RateLimited = 'rate-limited',
	BackendCold = 'backend-cold',
	QueueFull = 'queue-full',
	CustomerShare = 'customer-share',
	DeadlineTooShort = 'deadline-too-short',
	DeadlinePassed = 'deadline-passed',
	Draining = 'draining',
	Held = 'held',
	Fenced = 'fenced',
	BackendUnreachable = 'backend-unreachable',
	BackendRefused = 'backend-refused',
	BackendReplaced = 'backend-replaced',
	RetryBudget = 'retry-budget',
	LinkBudget = 'link-budget',
	LinkUnreachable = 'link-unreachable',
	LinkSilent = 'link-silent',
	TooManyCalls = 'too-many-calls',
	StoreUnavailable = 'store-unavailable',
	KeyMemoryFull = 'key-memory-full',
	KeyNotChecked = 'key-not-checked',
	KeyReused = 'key-reused',
	KeyHomeUnreachable = 'key-home-unreachable',
	Canceled = 'canceled',
	AnswerTimeout = 'answer-timeout',
	BackendLost = 'backend-lost',
	BackendFailed = 'backend-failed',
	ExecutorLost = 'executor-lost',
	KeyHomeGone = 'key-home-gone',
	KeyOutcomeUnknown = 'key-outcome-unknown',
	KeyForgotten = 'key-forgotten',
	AnswerNotKept = 'answer-not-kept',
}

/** Response to the caller for one refusal reason. */
export interface Refusal {
	readonly outcome: Outcome;
	/** HTTP status. */
	readonly status: number;
	/** Value for `Retry-After`, in ms; undefined if sending the call again does not help. */
	readonly retryAfter: Millis | undefined;
	/** Whether the call may be retried at another executor at once. */
	readonly canRetryElsewhere: boolean;
}

const unavailable = 503;
const gatewayTimeout = 504;

function notRun(status: number, retryAfter?: Millis, canRetryElsewhere = false): Refusal {
	return {outcome: Outcome.NotRun, status, retryAfter, canRetryElsewhere};
}

function unknown(): Refusal {
	return {
		outcome: Outcome.Unknown,
		status: gatewayTimeout,
		retryAfter: undefined,
		canRetryElsewhere: false,
	};
}

/** This copy of the call did not run, but whether an earlier copy ran could not be checked. */
function notChecked(status: number): Refusal {
	const retryAfter = 5 * second;
	return {outcome: Outcome.Unknown, status, retryAfter, canRetryElsewhere: false};
}

/** Response for each refusal reason. */
export const refusals: Readonly<Record<RefusalReason, Refusal>> = {
	[RefusalReason.BadRequest]: notRun(400),
	[RefusalReason.NoService]: notRun(404),
	[RefusalReason.NoRoute]: notRun(404),
	[RefusalReason.BodyTooLarge]: notRun(413),
	[RefusalReason.BodyTooSlow]: notRun(408, second),
	[RefusalReason.UnknownCustomer]: notRun(404),
	[RefusalReason.UnknownKey]: notRun(401),
	[RefusalReason.QuotaExceeded]: notRun(429, second),
	[RefusalReason.RegionNotAllowed]: notRun(unavailable, second, true),
	[RefusalReason.ZoneEvacuated]: notRun(unavailable, second, true),
	[RefusalReason.ZoneShort]: notRun(unavailable, second, true),
	[RefusalReason.NotReady]: notRun(unavailable, second),
	[RefusalReason.NoBackend]: notRun(unavailable, second),
	[RefusalReason.Busy]: notRun(unavailable, second, true),
	[RefusalReason.BackendSlow]: notRun(unavailable, second, true),
	[RefusalReason.RateLimited]: notRun(unavailable, second, true),
	[RefusalReason.BackendCold]: notRun(unavailable, second, true),
	[RefusalReason.QueueFull]: notRun(unavailable, second, true),
	[RefusalReason.CustomerShare]: notRun(429, second, true),
	[RefusalReason.DeadlineTooShort]: notRun(unavailable, second, true),
	[RefusalReason.DeadlinePassed]: notRun(unavailable, second),
	[RefusalReason.Draining]: notRun(unavailable, second, true),
	[RefusalReason.Held]: notRun(unavailable, 60 * second),
	[RefusalReason.Fenced]: notRun(unavailable, second, true),
	[RefusalReason.BackendUnreachable]: notRun(unavailable, second, true),
	[RefusalReason.BackendRefused]: notRun(unavailable, second, true),
	[RefusalReason.BackendReplaced]: notRun(unavailable, second, true),
	[RefusalReason.RetryBudget]: notRun(unavailable, second),
	[RefusalReason.LinkBudget]: notRun(unavailable, second),
	[RefusalReason.LinkUnreachable]: notRun(unavailable, second, true),
	[RefusalReason.LinkSilent]: notRun(unavailable, second, true),
	[RefusalReason.TooManyCalls]: notRun(429, second),
	[RefusalReason.StoreUnavailable]: notChecked(unavailable),
	[RefusalReason.KeyMemoryFull]: notChecked(429),
	[RefusalReason.KeyNotChecked]: notChecked(unavailable),
	[RefusalReason.KeyReused]: notRun(422),
	[RefusalReason.KeyHomeUnreachable]: unknown(),
	[RefusalReason.Canceled]: unknown(),
	[RefusalReason.AnswerTimeout]: unknown(),
	[RefusalReason.BackendLost]: unknown(),
	[RefusalReason.BackendFailed]: unknown(),
	[RefusalReason.ExecutorLost]: unknown(),
	[RefusalReason.KeyHomeGone]: unknown(),
	[RefusalReason.KeyOutcomeUnknown]: unknown(),
	[RefusalReason.KeyForgotten]: unknown(),
	[RefusalReason.AnswerNotKept]: {
		outcome: Outcome.Answered,
		status: 409,
		retryAfter: undefined,
		canRetryElsewhere: false,
	},
};
