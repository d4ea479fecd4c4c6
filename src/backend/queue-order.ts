import type {Deadline} from '../call/index.js';
import type {Millis} from '../clock/index.js';

/** What the place of a call in a queue depends on. */
export interface Urgency {
	/** Rank; 0 is the most urgent. */
	readonly priority: number;
	/** When the answer is late, though its caller still waits. */
	readonly objective: Deadline;
	readonly deadline: Deadline;
}

/**
 * Orders calls that wait for a slot: first those that can still be in time, by rank and then by
 * objective; then those that are late already, by rank and deadline. Answers the load of a burst, in
 * which serving the oldest first makes every call late.
 * @param a - one call.
 * @param b - another call.
 * @param now - monotonic time in ms.
 * @param runTime - how long a call runs, in ms.
 * @returns below 0 when `a` goes first.
 */
export function compareUrgency(a: Urgency, b: Urgency, now: Millis, runTime: Millis): number {
	const isLateA = a.objective.timeLeft(now) < runTime;
	const isLateB = b.objective.timeLeft(now) < runTime;
	if (isLateA !== isLateB) {
		return isLateA ? 1 : -1;
	}

	const byTime = isLateA ? a.deadline.at - b.deadline.at : a.objective.at - b.objective.at;
	return a.priority - b.priority || byTime;
}
