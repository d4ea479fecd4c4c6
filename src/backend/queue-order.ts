import type {Deadline} from '../call/index.js';
import type {Millis} from '../clock/index.js';

/** Runs last up to about so many times their mean. Source: the spread on the users' sheets. */
const longRun = 1.2;

/** What the place of a call in a queue depends on. */
export interface Urgency {
	/** Rank; 0 is the most urgent. */
	readonly priority: number;
	/** When the answer is late, though its caller still waits. */
	readonly objective: Deadline;
	readonly deadline: Deadline;
	/** Time that the call is expected to run, in ms. */
	readonly work: Millis;
}

/**
 * Orders calls that wait for a slot: first those that can still be in time, by rank and then by the
 * latest start at which they are; then those that are late already, by rank and the latest start
 * before their deadline. Answers the load of a burst, in which serving the oldest first makes every
 * call late, and keeps short calls that others wait for from queueing behind long ones.
 * @param a - one call.
 * @param b - another call.
 * @param now - monotonic time in ms.
 * @returns below 0 when `a` goes first.
 */
export function compareUrgency(a: Urgency, b: Urgency, now: Millis): number {
	const isLateA = latestStart(a.objective, a) < now;
	const isLateB = latestStart(b.objective, b) < now;
	if (isLateA !== isLateB) {
		return isLateA ? 1 : -1;
	}

	const limitA = isLateA ? a.deadline : a.objective;
	const limitB = isLateA ? b.deadline : b.objective;
	return a.priority - b.priority || latestStart(limitA, a) - latestStart(limitB, b);
}

function latestStart(limit: Deadline, {work}: Urgency): Millis {
	return limit.at - work * longRun;
}
