import type {Deadline} from '../call/index.js';
import type {Millis} from '../clock/index.js';

/** Duration of a long run relative to the mean, by the usual spread of run times. */
const longRunFactor = 1.2;

/** Properties of a call that determine its position in the queue. */
export interface Urgency {
	/** Priority; 0 is the most urgent. */
	readonly priority: number;
	/** Time after which the answer is late, although the caller still waits for it. */
	readonly objective: Deadline;
	readonly deadline: Deadline;
	/** Expected run time of the call, in ms. */
	readonly work: Millis;
}

/**
 * Orders queued calls. Calls that can still meet their objective come first, by priority and then by
 * the latest start that meets it. Calls that can no longer meet it follow, by priority and then by the
 * latest start that meets their deadline. In a burst, first-in-first-out order would make every call
 * late. Ordering by the latest start keeps short nested calls from queueing behind long ones.
 * @param a - one call.
 * @param b - another call.
 * @param now - monotonic time in ms.
 * @returns a negative number if `a` goes first.
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
	return limit.at - work * longRunFactor;
}
