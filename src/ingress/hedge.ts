import {type Cancellation, type AttemptResult, AttemptEnd} from '../exchange/index.js';
import {withResolvers} from '../util/index.js';

const serverErrorStatus = 500;

/** An attempt that is out. */
export interface SentAttempt {
	readonly cancellation: Cancellation;
	readonly result: Promise<AttemptResult>;
}

/** What tells more of a call that got no good answer comes later. */
const tellingOrder = [AttemptEnd.Refused, AttemptEnd.Unknown, AttemptEnd.Answered];

function moreTelling(a: AttemptResult | undefined, b: AttemptResult): AttemptResult {
	return a && tellingOrder.indexOf(a.end) > tellingOrder.indexOf(b.end) ? a : b;
}

/**
 * Runs attempts of one idempotent call side by side: whichever answers first wins and the others are
 * canceled. Without a good answer, a failure of the backend server counts before an attempt that may
 * have run, and that before a refusal, which would tell that nothing has run.
 */
export class HedgeRace {
	/** Resolves with the end of the winner. */
	readonly result: Promise<AttemptResult>;
	private readonly open = new Set<SentAttempt>();
	private readonly resolve: (result: AttemptResult) => void;
	private isSettled = false;
	private bad: AttemptResult | undefined;

	constructor(first: SentAttempt) {
		const {promise, resolve} = withResolvers<AttemptResult>();
		this.result = promise;
		this.resolve = resolve;
		this.add(first);
	}

	/** Whether an attempt could still join. */
	get isOpen(): boolean {
		return !this.isSettled;
	}

	/**
	 * @param attempt - an attempt that joins the race.
	 */
	add(attempt: SentAttempt): void {
		this.open.add(attempt);
		void attempt.result.then((result) => {
			this.finish(attempt, result);
		});
	}

	private finish(attempt: SentAttempt, result: AttemptResult): void {
		this.open.delete(attempt);
		const isGood = result.end === AttemptEnd.Answered && result.status < serverErrorStatus;
		this.bad = isGood ? this.bad : moreTelling(this.bad, result);
		const isWinner = isGood || this.open.size === 0;
		if (this.isSettled || !isWinner) {
			return;
		}

		this.isSettled = true;
		this.resolve(isGood ? result : (this.bad ?? result));
		for (const loser of this.open) {
			loser.cancellation.cancel();
		}
	}
}
