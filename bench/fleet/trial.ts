import type {Mechanism} from '../../src/experiment/index.js';
import type {WindowOutcome} from './simulated-fleet.js';

/** One simulation of an ablation. */
export interface Trial {
	readonly deployment: string;
	readonly episode: string;
	/** Mechanism that is switched off; undefined for none. */
	readonly disabled: Mechanism | undefined;
	readonly seed: number;
}

export interface TrialOutcome {
	/** Share of the worth of all calls that was earned. */
	readonly worth: number;
	/** The same in the worst window. */
	readonly worstWorth: number;
	/** Share of the calls that were answered in time. */
	readonly inTime: number;
	/** Attempts per call of an outside caller, with those of nested calls. */
	readonly attemptsPerCall: number;
}

/**
 * @param windows - outcomes of the calls by the window in which they began.
 * @param attempts - number of attempts of all calls.
 * @returns the outcome of the simulation.
 */
export function sumWindows(windows: readonly WindowOutcome[], attempts: number): TrialOutcome {
	let asked = 0;
	let inTime = 0;
	let worthAsked = 0;
	let worthEarned = 0;
	let worstWorth = 1;
	for (const window of windows) {
		asked += window.asked;
		inTime += window.inTime;
		worthAsked += window.worthAsked;
		worthEarned += window.worthEarned;
		worstWorth = Math.min(worstWorth, window.worthEarned / Math.max(1, window.worthAsked));
	}

	return {
		worth: worthEarned / worthAsked,
		worstWorth,
		inTime: inTime / asked,
		attemptsPerCall: attempts / asked,
	};
}
