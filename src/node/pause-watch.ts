import type {Clock, Millis} from '../clock/index.js';

const watchPeriod: Millis = 100;
const normalLateness: Millis = 100;

/**
 * Tells for how long this process may have left its sockets unread. After a pause, what lies in them
 * is as old as the pause, while the time left that it carries is counted from its arrival.
 */
export class PauseWatch {
	private lastTurn: Millis;

	constructor(private readonly clock: Clock) {
		this.lastTurn = clock.now();
		clock.repeat(watchPeriod, () => {
			this.lastTurn = clock.now();
		});
	}

	/** @returns how old a message that is read now may be, in ms. */
	staleness(): Millis {
		const silence = this.clock.now() - this.lastTurn - watchPeriod;
		return silence > normalLateness ? silence : 0;
	}
}
