import type {Millis} from './millis.js';

/** The undo function of a registration or a timer. */
export type Undo = () => void;

/** Source of time and timers. Decisions take it as a parameter, so that tests can drive it. */
export interface Clock {
	/** @returns monotonic time in ms; only differences have a meaning. */
	now(): Millis;
	/** @returns time of day in ms since the Unix epoch. */
	wallNow(): Millis;
	/**
	 * Runs a function once.
	 * @param delay - time until then, in ms.
	 * @param run - what to run.
	 * @returns a function that cancels the timer.
	 */
	after(delay: Millis, run: () => void): Undo;
	/**
	 * Runs a function again and again.
	 * @param period - time between two runs, in ms.
	 * @param run - what to run.
	 * @returns a function that stops the timer.
	 */
	repeat(period: Millis, run: () => void): Undo;
}
