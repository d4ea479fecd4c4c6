import {type Cancellation, type AttemptResult, AttemptEnd} from '../exchange/index.js';
import {withResolvers} from '../util/index.js';

const serverErrorStatus = 500;

/** An attempt that is out. */
export interface SentAttempt {
	readonly cancellation: Cancellation;
	readonly result: Promise<AttemptResult>;
}

/**
 * Runs attempts of one idempotent call side by side: whichever answers first wins and the others are
 * canceled. A refusal or failure counts only when it is the last.
 */
export class HedgeRace {
	/** Resolves with the end of the winner. */
	readonly result: Promise<AttemptResult>;
	private readonly open = new Set<SentAttempt>();
	private readonly resolve: (result: AttemptResult) => void;
	private isSettled = false;

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
		const isWinner = isGood || this.open.size === 0;
		if (this.isSettled || !isWinner) {
			return;
		}

		this.isSettled = true;
		this.resolve(result);
		for (const loser of this.open) {
			loser.cancellation.cancel();
		}
	}
}
