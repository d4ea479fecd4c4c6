import type {Deadline} from '../call/index.js';
import type {Millis} from '../clock/index.js';

/** Run time relative to the mean that a start must leave; about two of three runs are shorter. */
const runTimeMargin = 1.1;

/** Properties of a call that determine its position in the queue. */
export interface Urgency {
	/** Priority; 0 is the most urgent. */
	readonly priority: number;
	/** Time after which the answer is late, although the caller still waits for it. */
	readonly objective: Deadline;
	readonly deadline: Deadline;
	/** Expected run time of the call, in ms. */
	readonly work: Millis;
	/** Time for which the call only receives its body after its start, in ms; 0 without the field. */
	readonly transferTime?: Millis | undefined;
}

/**
 * @param limit - objective or deadline of a call.
 * @param call - the call.
 * @returns the latest start that meets the limit with most run times, as monotonic time in ms.
 */
export function latestStart(
	limit: Deadline,
	{work, transferTime = 0}: Pick<Urgency, 'work' | 'transferTime'>,
): Millis {
	return limit.at - work * runTimeMargin - transferTime;
}

/**
 * @param call - a call that has not started.
 * @param now - monotonic time in ms.
 * @returns whether the call still meets its objective if it starts now.
 */
export function canMeetObjective(call: Urgency, now: Millis): boolean {
	return latestStart(call.objective, call) >= now;
}

/**
 * Orders queued calls. Calls that can still meet their objective come first, by priority and then by
 * the latest start that meets it. Calls that can no longer meet it follow, by priority and then by the
 * latest start that meets their deadline. In a burst, first-in-first-out order would make every call
 * late. Ordering by the latest start keeps short nested calls from queueing behind long ones.
 * Under overload, the call with the most time left goes first: otherwise each call would start just
 * before it becomes late, and a run that is longer than usual would make it late.
 * @param a - one call.
 * @param b - another call.
 * @param now - monotonic time in ms.
 * @param isOverloaded - whether some of the calls must miss their objective.
 * @returns a negative number if `a` goes first.
 */
export function compareUrgency(a: Urgency, b: Urgency, now: Millis, isOverloaded = false): number {
	const isInTimeA = canMeetObjective(a, now);
	const isInTimeB = canMeetObjective(b, now);
	if (isInTimeA !== isInTimeB) {
		return isInTimeA ? -1 : 1;
	}

	const limitA = isInTimeA ? a.objective : a.deadline;
	const limitB = isInTimeA ? b.objective : b.deadline;
	const order = isInTimeA && isOverloaded ? -1 : 1;
	return a.priority - b.priority || order * (latestStart(limitA, a) - latestStart(limitB, b));
}

/**
 * @param calls - queued calls.
 * @param now - monotonic time in ms.
 * @param startInterval - mean time between two starts, in ms.
 * @returns whether some of the calls that can meet their objective miss it if the most urgent one always
 * starts first.
 */
export function mustMissObjectives(
	calls: readonly Urgency[],
	now: Millis,
	startInterval: Millis,
): boolean {
	const starts: Millis[] = [];
	for (const call of calls) {
		if (canMeetObjective(call, now)) {
			starts.push(latestStart(call.objective, call));
		}
	}

	starts.sort((a, b) => a - b);
	return starts.some((latest, index) => now + index * startInterval > latest);
}
