import type {Millis} from '../clock/index.js';

/** Input of the decision whether to delay the start of a call at a slow backend server. */
export interface PacingInput {
	/** Run time of the call at the usual speed, in ms. */
	readonly work: Millis;
	/** Current duration of work relative to its usual duration. */
	readonly slowdown: number;
	/** Mean remaining time of the slow period, in ms. */
	readonly slowPeriodLeft: Millis;
	/** Time until the deadline of the call, in ms. */
	readonly timeLeft: Millis;
}

/**
 * Decides whether to delay the start of a call until the slow period of its backend server is over. A
 * call keeps the speed at which it starts. Unless it is short, a call that starts in a slow period
 * ends later than one that is delayed until the period is over. On hosts with noisy neighbours,
 * starting every call at once would cost most of the capacity.
 * A call that would miss its deadline at the current speed is not started either, as its caller could
 * then only be told that the call may have run.
 * @param input - the call and the state of the backend server.
 * @returns whether to delay the call until the end of the slow period.
 */
export function shouldDelayStart({work, slowdown, slowPeriodLeft, timeLeft}: PacingInput): boolean {
	return work * (slowdown - 1) > slowPeriodLeft || work * slowdown > timeLeft;
}
