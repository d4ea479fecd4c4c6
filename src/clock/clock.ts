import type {Millis} from './millis.js';

/** Cancels a registration or a timer. */
export type Undo = () => void;

/** Source of time and timers. It is injected, so that tests can control time. */
export interface Clock {
	/** @returns monotonic time in ms; only differences are meaningful. */
	now(): Millis;
	/** @returns time of day in ms since the Unix epoch. */
	wallNow(): Millis;
	/**
	 * Runs a function once.
	 * @param delay - time until the run, in ms.
	 * @param run - function to run.
	 * @returns a function that cancels the timer.
	 */
	after(delay: Millis, run: () => void): Undo;
	/**
	 * Runs a function periodically.
	 * @param period - time between two runs, in ms.
	 * @param run - function to run.
	 * @returns a function that stops the timer.
	 */
	repeat(period: Millis, run: () => void): Undo;
}
