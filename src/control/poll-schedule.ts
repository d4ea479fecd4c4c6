import {second, type Millis} from '../clock/index.js';
import type {FeedTimes} from '../store/index.js';

/** Place of a reader among all nodes that follow the store. */
export interface ReaderSlot {
	/** Number of the reader, from 0. */
	readonly index: number;
	/** Number of readers. */
	readonly count: number;
}

/** Longest wait of one poll. */
const maxCycle: Millis = 12 * second;
/**
 * Shares of the time to apply a change: between the ends of polls of two readers, and for an answer that is late.
 * What is left is for the next poll on a new connection and for the news to reach all nodes.
 */
const spacingShare = 0.5;
const lateShare = 0.25;
/** Shorter polls are left out: one that has just ended is not repeated for the rest of a few ms. */
const minWait: Millis = 100;

/**
 * Plans the next poll of a reader. Polls of all readers end one after the other at equal distances, so that soon after
 * all connections to the store have gone silent, one reader notices it and opens a new one; it tells the others
 * of changes by gossip. Thus the calls to the store don't grow with the number of readers, up to the longest wait.
 * A change answers all polls at once; the clock of the store, which all readers see, spreads them again.
 * @param slot - place of the reader among all readers.
 * @param applyBound - time within which a change must be in force at all nodes, in ms.
 * @param storeTime - clock of the store in ms; undefined if the store has not told it.
 * @returns the times of the poll.
 */
export function planPoll(
	{index, count}: ReaderSlot,
	applyBound: Millis,
	storeTime: Millis | undefined,
): FeedTimes {
	const cycle = Math.min(maxCycle, applyBound * spacingShare * count);
	const spacing = cycle / count;
	const end = index * spacing;
	const untilEnd = storeTime === undefined ? cycle : modulo(end - storeTime, cycle);
	const wait = Math.round(untilEnd < minWait ? untilEnd + cycle : untilEnd);
	return {wait, timeout: wait + applyBound * lateShare};
}

function modulo(value: number, divisor: number): number {
	return ((value % divisor) + divisor) % divisor;
}
