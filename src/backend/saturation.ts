import {second, type Millis} from '../clock/index.js';

/** Share of busy slots from which on some backend servers slow down. Source: the users' sheets. */
const crowdedShare = 0.8;
const sampleWeight = 0.05;
/** Samples on each side before the two are compared. */
const minSamples = 12;
/**
 * How much slower crowded calls must be for the last slots to stay free: at 1.25 the backend server
 * answers as many calls without them, and each of them sooner.
 */
const worthLimiting = 1.15;

/** How long a limit holds before the last slots are tried again. */
const trialPeriod: Millis = 10 * second;

type Side = {mean: number; samples: number};

function add(side: Side, ratio: number): void {
	side.samples += 1;
	const weight = Math.max(sampleWeight, 1 / side.samples);
	side.mean += (ratio - side.mean) * weight;
}

/**
 * Learns whether a backend server slows down when it is nearly full, and limits its calls if so. It
 * begins with the limit, as a backend server that was just started meets a backlog.
 */
export class Saturation {
	private crowded: Side = {mean: 1, samples: 0};
	private readonly free: Side = {mean: 1, samples: 0};
	private limitedSince: Millis | undefined;

	/** How many times longer calls take on the crowded backend server; 1 while that is not known. */
	get factor(): number {
		const isKnown = this.crowded.samples >= minSamples && this.free.samples >= minSamples;
		return isKnown ? this.crowded.mean / Math.max(0.1, this.free.mean) : 1;
	}

	/**
	 * @param running - calls that run.
	 * @param slots - slots of the backend server.
	 * @returns whether it is crowded.
	 */
	isSaturated(running: number, slots: number): boolean {
		return running > slots * crowdedShare;
	}

	/**
	 * A call has ended that began at the usual speed.
	 * @param wasSaturated - whether the backend server was crowded when it began.
	 * @param ran - how long it ran, in ms.
	 * @param work - how long such calls run on the mean, in ms.
	 */
	recordRun(wasSaturated: boolean, ran: Millis, work: Millis): void {
		add(wasSaturated ? this.crowded : this.free, ran / Math.max(1, work));
	}

	/**
	 * @param slots - slots of the backend server.
	 * @param now - monotonic time in ms.
	 * @returns calls that should run at once.
	 */
	limit(slots: number, now: Millis): number {
		const limited = Math.max(1, Math.floor(slots * crowdedShare));
		if (this.free.samples < minSamples) {
			return limited;
		}

		if (this.factor <= worthLimiting) {
			this.limitedSince = undefined;
			return slots;
		}

		this.limitedSince ??= now;
		if (now - this.limitedSince > trialPeriod) {
			this.limitedSince = undefined;
			this.crowded = {mean: 1, samples: 0};
			return slots;
		}

		return limited;
	}
}
