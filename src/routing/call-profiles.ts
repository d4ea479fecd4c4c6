import type {Millis} from '../clock/index.js';

/** Mean cost of the calls of one kind. */
export interface CallProfile {
	/** Time at an executor at its usual speed, in ms: includes waiting there, excludes the network round trip. */
	readonly work: Millis;
	readonly answerBytes: number;
}

type Entry = {work: Millis; answerBytes: number; samples: number};

/** Weight of one sample in the moving mean; it covers about the last 20 samples. */
const sampleWeight = 0.05;
/** Assumed work before the first sample, relative to the objective: objectives are set to a few times the usual run time. */
const initialWorkShare = 0.3;
const defaultAnswerBytes = 2000;
const maxKinds = 20_000;
/** Slowdown up to which a run counts as one at the usual speed. */
const maxUsualSlowdown = 1.3;
/**
 * Slowdown up to which a run time can be scaled to the usual speed: that of a backend server that has just
 * started. In a slow period, the speed changes during the run.
 */
const maxScalableSlowdown = 4;

/**
 * @param slowdown - duration of work relative to its usual duration.
 * @returns whether the run is a valid sample for the profile of its kind.
 */
export function isUsualSpeed(slowdown: number): boolean {
	return slowdown <= maxUsualSlowdown;
}

/**
 * @param slowdown - duration of work relative to its usual duration.
 * @returns whether the run time, divided by the slowdown, is a valid sample while no better one is known.
 */
export function isScalableSpeed(slowdown: number): boolean {
	return slowdown <= maxScalableSlowdown;
}

/** Moving means of the cost of calls by kind. */
export class CallProfiles {
	private readonly entries = new Map<string, Entry>();
	private readonly longestObjectives = new Map<string, Millis>();

	/**
	 * @param kind - a kind of call.
	 * @param objective - time left to the latency objective of such a call, in ms; the longest one determines the
	 * estimate before the first sample.
	 * @returns the expected cost of such a call.
	 */
	of(kind: string, objective: Millis): CallProfile {
		const longest = this.longestObjective(kind, objective);
		const entry = this.entries.get(kind);
		return entry ?? {work: longest * initialWorkShare, answerBytes: defaultAnswerBytes};
	}

	/**
	 * @param kind - a kind of call.
	 * @param objective - time left to the latency objective of such a call, in ms.
	 * @returns the longest such time seen, in ms, which is about the objective itself.
	 */
	longestObjective(kind: string, objective: Millis): Millis {
		const known = this.longestObjectives.get(kind);
		const longest = Math.max(objective, known ?? 0);
		if (longest !== known && (known !== undefined || this.longestObjectives.size < maxKinds)) {
			this.longestObjectives.set(kind, longest);
		}

		return longest;
	}

	/**
	 * Adds a sample. Kinds beyond the maximum number are not recorded.
	 * @param kind - a kind of call.
	 * @param work - time since a call was sent minus the network round trip, at the usual speed, in ms; includes
	 * waiting at the executor.
	 * @param answerBytes - size of its answer in bytes.
	 */
	add(kind: string, work: Millis, answerBytes: number): void {
		const entry = this.entries.get(kind);
		if (!entry) {
			if (this.entries.size < maxKinds) {
				this.entries.set(kind, {work, answerBytes, samples: 1});
			}

			return;
		}

		entry.samples += 1;
		const weight = Math.max(sampleWeight, 1 / entry.samples);
		entry.work += (work - entry.work) * weight;
		entry.answerBytes += (answerBytes - entry.answerBytes) * weight;
	}
}
