/** Times at which this process did not run, so that it saw events late. */

type Gap = {readonly from: number; readonly to: number};

const period = 20;
/** Gaps of the timer up to this length are usual, in ms. */
const usualGap = 50;

export class LoopLag {
	private readonly gaps: Gap[] = [];
	private latest = performance.now();
	private readonly timer = setInterval(() => {
		const now = performance.now();
		if (now - this.latest > usualGap) {
			this.gaps.push({from: this.latest, to: now});
		}

		this.latest = now;
	}, period);

	/** Longest time for which this process did not run, in ms. */
	get longest(): number {
		return Math.max(0, ...this.gaps.map(({from, to}) => to - from));
	}

	/**
	 * @param at - when something was seen.
	 * @returns since when it may have been there.
	 */
	earliest(at: number): number {
		// The timer may run right after the event that ended the gap.
		const gap = this.gaps.find(({from, to}) => from <= at && at <= to + period);
		return gap?.from ?? at;
	}

	stop(): void {
		clearInterval(this.timer);
	}
}
