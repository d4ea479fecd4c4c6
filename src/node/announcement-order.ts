import type {Millis} from '../clock/index.js';

/** How far a number may be ahead of what the time since an earlier one explains. */
const slack = 3;

/** A sequence number and the time of its arrival. */
interface Arrival {
	readonly sequence: number;
	readonly at: Millis;
}

/**
 * Tells which announcements of one start of a backend server are late. They cross a network and may be lost, repeated or
 * overtaken, and a number may come from another writer, so that a single one never makes all later ones late.
 */
export class AnnouncementOrder {
	/** Highest number that earlier ones explain. */
	private latest: Arrival;
	/** Last late number; undefined if a later one than the highest has come since. */
	private late: Arrival | undefined;

	/**
	 * @param sequence - number of the first announcement.
	 * @param at - its time, in ms.
	 * @param minPeriod - shortest time between two announcements of a backend server on average, in ms.
	 */
	constructor(
		sequence: number,
		at: Millis,
		private readonly minPeriod: Millis,
	) {
		this.latest = {sequence, at};
	}

	/**
	 * @param sequence - number of the next announcement that has arrived.
	 * @param at - its time, in ms.
	 * @returns whether it is later than those before, or follows a late one in order.
	 */
	accept(sequence: number, at: Millis): boolean {
		const next = {sequence, at};
		if (sequence === this.latest.sequence) {
			return false;
		}

		if (sequence > this.latest.sequence) {
			if (this.isExplained(this.latest, next)) {
				this.latest = next;
				this.late = undefined;
			}

			return true;
		}

		const isInOrder =
			this.late !== undefined && sequence > this.late.sequence && this.isExplained(this.late, next);
		if (isInOrder) {
			this.latest = next;
		}

		this.late = isInOrder ? undefined : next;
		return isInOrder;
	}

	private isExplained(from: Arrival, to: Arrival): boolean {
		const sent = (to.at - from.at) / this.minPeriod;
		return to.sequence - from.sequence <= slack + sent;
	}
}
