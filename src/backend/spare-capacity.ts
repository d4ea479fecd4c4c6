/** Weight of one start; covers about the last 20 starts. */
const startWeight = 0.05;
/** Lower bound of the share, so that waiting times stay finite. */
const minShare = 0.02;

/**
 * Share of the starts that the calls which can meet their objective leave to late ones. Late calls are
 * served only when no other call is waiting, so that under overload they would wait until their deadline
 * in vain.
 */
export class SpareCapacity {
	private mean = 1;

	/** Share of recent starts, from just above 0 to 1, after which no call in time was waiting. */
	get share(): number {
		return Math.max(minShare, this.mean);
	}

	/**
	 * Records the start of a call.
	 * @param isSpare - whether the call was late, or left no call waiting that can meet its objective.
	 */
	recordStart(isSpare: boolean): void {
		this.mean += ((isSpare ? 1 : 0) - this.mean) * startWeight;
	}
}
