import {type Cancellation, type AttemptResult, AttemptEnd} from '../exchange/index.js';
import {withResolvers} from '../util/index.js';

const serverErrorStatus = 500;

/** An attempt that has been sent to an executor. */
export interface SentAttempt {
	readonly cancellation: Cancellation;
	readonly result: Promise<AttemptResult>;
}

/** Results of a call without a successful answer, in ascending precedence. */
const precedence = [AttemptEnd.Refused, AttemptEnd.Unknown, AttemptEnd.Answered];

function higherPrecedence(a: AttemptResult | undefined, b: AttemptResult): AttemptResult {
	return a && precedence.indexOf(a.end) > precedence.indexOf(b.end) ? a : b;
}

/**
 * Runs attempts of one idempotent call in parallel. The first successful answer wins and the other
 * attempts are canceled. Without a successful answer, an error response of a backend server takes
 * precedence over an attempt that may have run, and that over a refusal, since a refusal would report
 * that no attempt has run.
 */
export class HedgeRace {
	/** Resolves with the result of the winning attempt. */
	readonly result: Promise<AttemptResult>;
	private readonly open = new Set<SentAttempt>();
	private readonly resolve: (result: AttemptResult) => void;
	private isSettled = false;
	private fallback: AttemptResult | undefined;

	constructor(first: SentAttempt) {
		const {promise, resolve} = withResolvers<AttemptResult>();
		this.result = promise;
		this.resolve = resolve;
		this.add(first);
	}

	/** Whether attempts can still be added. */
	get isOpen(): boolean {
		return !this.isSettled;
	}

	/**
	 * @param attempt - a further attempt of the call.
	 */
	add(attempt: SentAttempt): void {
		this.open.add(attempt);
		void attempt.result.then((result) => {
			this.finish(attempt, result);
		});
	}

	private finish(attempt: SentAttempt, result: AttemptResult): void {
		this.open.delete(attempt);
		if (this.isSettled) {
			discardAnswer(result);
			return;
		}

		const isSuccess = result.end === AttemptEnd.Answered && result.status < serverErrorStatus;
		const chosen = isSuccess ? result : higherPrecedence(this.fallback, result);
		for (const rejected of [this.fallback, result]) {
			if (rejected !== chosen) {
				discardAnswer(rejected);
			}
		}

		this.fallback = chosen;
		if (!isSuccess && this.open.size > 0) {
			return;
		}

		this.isSettled = true;
		this.resolve(chosen);
		for (const other of this.open) {
			other.cancellation.cancel();
		}
	}
}

/**
 * Ends an answer that is not needed. A body that nobody reads would keep its slot until the deadline.
 * @param result - result of an attempt.
 */
export function discardAnswer(result: AttemptResult | undefined): void {
	if (result?.end === AttemptEnd.Answered) {
		result.body.stream?.destroy();
	}
}
