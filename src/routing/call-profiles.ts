import type {Millis} from '../clock/index.js';

/** What calls of one kind take on the mean. */
export interface CallProfile {
	/** Time at the backend server at its usual speed, in ms. */
	readonly work: Millis;
	readonly answerBytes: number;
}

type Entry = {work: Millis; answerBytes: number; samples: number};

/** Weight of one sample; about the last 20 count. */
const sampleWeight = 0.05;
/** Before the first sample: objectives are set at a few times the usual time. */
const objectiveShare = 0.3;
const defaultAnswerBytes = 2000;
const maxKinds = 20_000;
/** Slowdown up to which a run time counts as one at the usual speed. */
const usualSpeed = 1.3;

/**
 * @param slowdown - how many times longer than usual work took.
 * @returns whether the run is a sample of what such calls take.
 */
export function isUsualSpeed(slowdown: number): boolean {
	return slowdown <= usualSpeed;
}

/** Learns what calls of each kind take. */
export class CallProfiles {
	private readonly entries = new Map<string, Entry>();

	/**
	 * @param kind - a kind of call.
	 * @param objective - how long an answer of this kind is in time, in ms.
	 * @returns what such a call takes.
	 */
	of(kind: string, objective: Millis): CallProfile {
		const entry = this.entries.get(kind);
		return entry ?? {work: objective * objectiveShare, answerBytes: defaultAnswerBytes};
	}

	/**
	 * @param kind - a kind of call.
	 * @param work - time of a call at the usual speed, in ms.
	 * @param answerBytes - bytes of its answer.
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
