import type {Millis} from '../clock/index.js';

/** Weight of one start; covers about the last 20 starts. */
const startWeight = 0.05;
/** Lower bound of the share, so that waiting times stay finite. */
const minShare = 0.02;
/** Service times without a miss after which late calls start again. */
const missMemory = 3;

/**
 * Capacity that is left to late calls. A late call that takes a slot can make the next one late, and
 * that one the next, so that a backend server under overload would answer late calls only. Late calls
 * therefore start only while no call misses its objective for want of a slot.
 */
export class LateCapacity {
	private mean = 1;
	private missedAt = Number.NEGATIVE_INFINITY;

	/** Share of recent starts, from just above 0 to 1, that could have been given to late calls. */
	get share(): number {
		return Math.max(minShare, this.mean);
	}

	/**
	 * Records that a call that could have been in time has to wait too long for a slot.
	 * @param now - monotonic time in ms.
	 */
	recordMiss(now: Millis): void {
		this.missedAt = now;
	}

	/**
	 * @param now - monotonic time in ms.
	 * @param serviceTime - current service time of a call, in ms.
	 * @returns whether a late call may take a free slot.
	 */
	isOpen(now: Millis, serviceTime: Millis): boolean {
		return now - this.missedAt > missMemory * serviceTime;
	}

	/**
	 * Records the start of a call.
	 * @param isSpare - whether a late call could have taken the slot.
	 */
	recordStart(isSpare: boolean): void {
		this.mean += ((isSpare ? 1 : 0) - this.mean) * startWeight;
	}
}
