import type {Millis} from '../clock/index.js';

/** Input of the expected time of a call at an executor. */
export interface ExpectedTimeInput {
	/** Run time of the call at the usual speed, in ms. */
	readonly work: Millis;
	/** Current duration of work there, relative to its usual duration. */
	readonly slowdown: number;
	/** Number of calls that are running or queued there. */
	readonly load: number;
	readonly slots: number;
	/** Network round-trip time, in ms. */
	readonly roundTrip: Millis;
	/** Time until the rate limit of the backend server lets another call start, in ms. */
	readonly rateWait: Millis;
}

/** Mean remaining time of a slow period; slow periods last about half a second on shared hosts. */
const slowPeriodLeft: Millis = 300;
/** Share of busy slots above which calls slow each other down. */
const saturatedShare = 0.8;
/** Assumed slowdown of calls at a saturated backend server; it ranges from 1 to 1.7. */
const saturatedSlowdown = 1.2;

/**
 * @param input - the call and the state of the executor.
 * @returns expected time until the answer arrives, in ms. The executor delays a call until the end of a
 * slow period where that is faster.
 */
export function expectedTime(input: ExpectedTimeInput): Millis {
	const {work, slowdown, load, slots, roundTrip, rateWait} = input;
	const isSaturated = load + 1 > Math.max(1, slots * saturatedShare);
	const run =
		Math.min(work * slowdown, slowPeriodLeft + work) * (isSaturated ? saturatedSlowdown : 1);
	const ahead = Math.max(0, load + 1 - slots);
	return roundTrip + run + Math.max((ahead / slots) * run, rateWait);
}

/** Input of the expected loss of an answer's value. */
export interface LatenessInput {
	readonly expected: Millis;
	readonly objectiveLeft: Millis;
	readonly timeLeft: Millis;
}

/**
 * Part of an answer's value that is lost when it misses its objective but not its deadline; missing the
 * deadline loses all of it. A late answer has a tenth of the value of one in time, and whether a call is
 * served at all counts in addition.
 */
const lateLoss = 0.75;
/** Spread of run times relative to their mean, and the minimum spread in ms. */
const relativeSpread = 0.2;
const minSpread: Millis = 5;

function missProbability(expected: Millis, limit: Millis): number {
	const spread = relativeSpread * expected + minSpread;
	return 1 / (1 + Math.exp((limit - expected) / spread));
}

/**
 * @param input - expected time and time limits, in ms.
 * @returns the expected loss as a part of the answer's value, from 0 to 1.
 */
export function expectedLoss(input: LatenessInput): number {
	const {expected, objectiveLeft, timeLeft} = input;
	const late = missProbability(expected, objectiveLeft);
	const missed = missProbability(expected, timeLeft);
	return late * lateLoss + missed * (1 - lateLoss);
}
