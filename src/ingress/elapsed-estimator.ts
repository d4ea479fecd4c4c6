import type {Millis} from '../clock/index.js';

type TimeLimits = {
	/** Longest time that a caller had left, in ms; decays slowly. */
	longest: Millis;
	/** Mean time that callers had left when they had not waited yet, in ms. */
	usual: Millis;
	/** Moving share of the requests whose callers had waited already. */
	returningShare: number;
};

/** Callers that have less than this share of the longest time left have waited already. */
const returningLimitShare = 0.75;
const sampleWeight = 0.02;
/** Decay of the longest time per request, so that one odd caller does not set it for good. */
const longestDecay = 0.0005;
/** With more requests than this below the limit, callers differ in the time that they set. */
const maxReturningShare = 0.6;

/**
 * Estimates how long a caller has been waiting for an answer. A caller that returns after a refusal sends
 * a new request that tells only the time left, which is shorter than that of a first request. Its answer
 * is in time only if the objective is counted from the first request.
 */
export class ElapsedEstimator {
	private readonly routes = new Map<string, TimeLimits>();

	/**
	 * @param route - name of the route; the callers of a route set similar time limits.
	 * @param timeLeft - time that the caller has left, in ms.
	 * @returns time since the caller sent its first request, in ms; 0 if this is the first.
	 */
	add(route: string, timeLeft: Millis): Millis {
		const limits = this.routes.get(route);
		if (!limits) {
			this.routes.set(route, {longest: timeLeft, usual: timeLeft, returningShare: 0});
			return 0;
		}

		limits.longest = Math.max(timeLeft, limits.longest * (1 - longestDecay));
		const isReturning = timeLeft < limits.longest * returningLimitShare;
		limits.returningShare += ((isReturning ? 1 : 0) - limits.returningShare) * sampleWeight;
		if (!isReturning) {
			limits.usual += (timeLeft - limits.usual) * sampleWeight;
			return 0;
		}

		return limits.returningShare > maxReturningShare ? 0 : Math.max(0, limits.usual - timeLeft);
	}
}
