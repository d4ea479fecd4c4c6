import type {Millis} from '../clock/index.js';

/** What the time of a call at an executor depends on. */
export interface ExpectedTimeInput {
	/** Time that the call takes at the usual speed, in ms. */
	readonly work: Millis;
	/** How many times longer than usual work takes there now. */
	readonly slowdown: number;
	/** Calls that run or wait there. */
	readonly load: number;
	readonly slots: number;
	/** Time that request and answer are on the way, in ms. */
	readonly roundTrip: Millis;
}

/** What is left of a slow spell on the mean. Source: spells of about half a second on shared hosts. */
const spellLeft: Millis = 300;
/** Share of busy slots from which on calls slow each other down. Source: the users' sheets. */
const crowdedShare = 0.8;
/** How much longer calls take on a crowded backend server. Source: between 1 and 1.7 on the sheets. */
const crowdedSlowdown = 1.2;

/**
 * @param parts - what the time depends on.
 * @returns time until the answer is here, in ms; the executor holds a call for the end of a slow
 * spell where that is faster.
 */
export function expectedTime(parts: ExpectedTimeInput): Millis {
	const {work, slowdown, load, slots, roundTrip} = parts;
	const isCrowded = (load + 1) / slots > crowdedShare;
	const run = Math.min(work * slowdown, spellLeft + work) * (isCrowded ? crowdedSlowdown : 1);
	const ahead = Math.max(0, load + 1 - slots);
	return roundTrip + run + (ahead / slots) * run;
}

/** What an answer loses by coming late. */
export interface LatenessInput {
	readonly expected: Millis;
	readonly objectiveLeft: Millis;
	readonly timeLeft: Millis;
}

/**
 * Part of an answer's value that is lost when it is late. The sheets give a tenth of the worth to late
 * answers and count besides who is served at all.
 */
const lateLoss = 0.75;
/** Spread of run times, relative to their mean, and the least spread in ms. */
const relativeSpread = 0.2;
const leastSpread: Millis = 5;

function chanceOfMissing(expected: Millis, limit: Millis): number {
	const spread = relativeSpread * expected + leastSpread;
	return 1 / (1 + Math.exp((limit - expected) / spread));
}

/**
 * @param parts - expected time and limits.
 * @returns the part of the answer's value that is expected to be lost, from 0 to 1.
 */
export function expectedLoss(parts: LatenessInput): number {
	const {expected, objectiveLeft, timeLeft} = parts;
	const late = chanceOfMissing(expected, objectiveLeft);
	const missed = chanceOfMissing(expected, timeLeft);
	return late * lateLoss + missed * (1 - lateLoss);
}
