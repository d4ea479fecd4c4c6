import type {Clock, Millis} from '../clock/index.js';

const heartbeatPeriod: Millis = 400;
const maxTimerLateness: Millis = 100;

/**
 * Detects pauses of this process, during which messages age unread in the socket buffers. The remaining
 * time in such a message is counted from when it is read, so its age has to be subtracted. Each event
 * loop turn that calls `staleness` is recorded, so that a busy node knows the pause to a few ms, while
 * an idle one needs only a rare timer.
 */
export class PauseDetector {
	private lastTurnAt: Millis;
	private isTurnRecorded = false;

	constructor(private readonly clock: Clock) {
		this.lastTurnAt = clock.now();
		clock.repeat(heartbeatPeriod, () => {
			this.lastTurnAt = clock.now();
		});
	}

	/** @returns the maximum age of a message that is read now, in ms. */
	staleness(): Millis {
		this.recordTurn();
		const silence = this.clock.now() - this.lastTurnAt;
		return silence > heartbeatPeriod + maxTimerLateness ? silence : 0;
	}

	// Recorded at the end of the turn: until then, everything read comes from before it.
	private recordTurn(): void {
		if (!this.isTurnRecorded) {
			this.isTurnRecorded = true;
			setImmediate(() => {
				this.isTurnRecorded = false;
				this.lastTurnAt = this.clock.now();
			});
		}
	}
}
