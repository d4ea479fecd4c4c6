import {second, type Millis} from '../clock/index.js';

/** Share of busy slots above which some backend servers slow down. */
const saturatedShare = 0.8;
const sampleWeight = 0.05;
/** Samples needed in each of the two states before they are compared. */
const minSamples = 12;
/**
 * Slowdown of calls under saturation above which the limit is reduced. At 1.25 (1 / 0.8) the backend
 * server has the same throughput with the reduced limit, and a lower latency. The threshold is lower:
 * between the two, the reduced limit costs up to 8 % of the throughput for the lower latency.
 */
const minSlowdownToLimit = 1.15;

/** Time for which the reduced limit applies before all slots are tried again. */
const limitPeriod: Millis = 10 * second;

// One running call never saturates a backend server, however few slots it has.
function reducedLimit(slots: number): number {
	return Math.max(1, Math.floor(slots * saturatedShare));
}

type RunTimeRatio = {mean: number; samples: number};

function add(average: RunTimeRatio, ratio: number): void {
	average.samples += 1;
	const weight = Math.max(sampleWeight, 1 / average.samples);
	average.mean += (ratio - average.mean) * weight;
}

/**
 * Detects whether a backend server slows down when most of its slots are busy, and then reduces its
 * concurrency limit. Starts with the reduced limit, as a backend server that has just started often
 * faces a backlog.
 */
export class Saturation {
	private saturated: RunTimeRatio = {mean: 1, samples: 0};
	private readonly unsaturated: RunTimeRatio = {mean: 1, samples: 0};
	private limitedSince: Millis | undefined;

	/** Run time under saturation relative to the run time below it; 1 until both are known. */
	get factor(): number {
		const isKnown = this.saturated.samples >= minSamples && this.unsaturated.samples >= minSamples;
		return isKnown ? this.saturated.mean / Math.max(0.1, this.unsaturated.mean) : 1;
	}

	/**
	 * @param running - number of running calls.
	 * @param slots - slots of the backend server.
	 * @returns whether the backend server is saturated.
	 */
	isSaturated(running: number, slots: number): boolean {
		return running > reducedLimit(slots);
	}

	/**
	 * Records a completed call that started at the usual speed.
	 * @param wasSaturated - whether the backend server was saturated when the call started.
	 * @param ran - run time of the call, in ms.
	 * @param work - mean run time of such calls, in ms.
	 */
	recordRun(wasSaturated: boolean, ran: Millis, work: Millis): void {
		add(wasSaturated ? this.saturated : this.unsaturated, ran / Math.max(1, work));
	}

	/**
	 * @param slots - slots of the backend server.
	 * @param now - monotonic time in ms.
	 * @returns the concurrency limit to apply.
	 */
	limit(slots: number, now: Millis): number {
		if (this.unsaturated.samples < minSamples) {
			return reducedLimit(slots);
		}

		if (this.factor <= minSlowdownToLimit) {
			this.limitedSince = undefined;
			return slots;
		}

		this.limitedSince ??= now;
		if (now - this.limitedSince > limitPeriod) {
			this.limitedSince = undefined;
			this.saturated = {mean: 1, samples: 0};
			return slots;
		}

		return reducedLimit(slots);
	}
}
