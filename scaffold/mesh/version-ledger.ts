/** Versions of the configuration that a soak has written, and which of them bind a request. */
export class VersionLedger {
	private acked: Array<{readonly version: number; readonly at: number}> = [];
	private sent = 0;

	/** The newest version that was sent to the store, acknowledged or not. */
	get newestSent(): number {
		return this.sent;
	}

	/** The newest acknowledged version; 0 for none. */
	get newestAcked(): number {
		return this.acked.at(-1)?.version ?? 0;
	}

	/** Records that a version is being written. */
	recordSent(version: number): void {
		this.sent = version;
	}

	/** Records that the store has acknowledged a version just now. */
	recordAcked(version: number): void {
		this.acked.push({version, at: performance.now()});
	}

	/** Records that the store was restored: none of the versions so far needs to be in force. */
	forget(): void {
		this.acked = [];
	}

	/**
	 * @param at - time as of `performance.now()`, in ms.
	 * @returns the newest version that was acknowledged by then; 0 for none.
	 */
	ackedBefore(at: number): number {
		return this.acked.findLast((item) => item.at <= at)?.version ?? 0;
	}
}
