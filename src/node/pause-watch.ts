import type {Clock, Millis} from '../clock/index.js';

const watchPeriod: Millis = 400;
const normalLateness: Millis = 100;

/**
 * Tells for how long this process may have left its sockets unread. After a pause, what lies in them
 * is as old as the pause, while the time left that it carries is counted from its arrival. Each loop
 * turn in which somebody asks counts as a sign of life, so that a busy node knows it to a few ms and
 * an idle one is seldom woken up.
 */
export class PauseDetector {
	private lastTurn: Millis;
	private isTurnNoted = false;

	constructor(private readonly clock: Clock) {
		this.lastTurn = clock.now();
		clock.repeat(watchPeriod, () => {
			this.lastTurn = clock.now();
		});
	}

	/** @returns how old a message that is read now may be, in ms. */
	staleness(): Millis {
		this.noteTurn();
		const silence = this.clock.now() - this.lastTurn;
		return silence > watchPeriod + normalLateness ? silence : 0;
	}

	// All that lay in the sockets is read before the turn ends.
	private noteTurn(): void {
		if (!this.isTurnNoted) {
			this.isTurnNoted = true;
			setImmediate(() => {
				this.isTurnNoted = false;
				this.lastTurn = this.clock.now();
			});
		}
	}
}
