import type {BriefUpdate, Rumor} from './gossip-message.js';
import type {Member} from './member.js';

/** One item that waits to ride on probes. */
export interface QueuedUpdate {
	readonly topic: string;
	readonly size: number;
	/** How often it is sent; as often as the queue says where undefined. */
	readonly copies?: number;
	readonly brief?: BriefUpdate;
	readonly full?: Member;
	readonly rumor?: Rumor;
}

type Slot = {update: QueuedUpdate; sent: number};

/**
 * News that waits to ride on probes. Each item is sent a fixed number of times; what some member
 * misses is repaired by digests, so that the cost of an item does not grow with the deployment.
 */
export class UpdateQueue {
	private readonly slots = new Map<string, Slot>();
	private mostCopies: number;

	constructor(
		/** How often each item is sent. */
		private readonly copies: number,
		/** Items kept at the most; the oldest goes first, as digests repair the loss. */
		private readonly capacity: number,
	) {
		this.mostCopies = copies;
	}

	get size(): number {
		return this.slots.size;
	}

	/**
	 * Adds an item in place of an older one on the same topic.
	 * @param update - the item.
	 */
	push(update: QueuedUpdate): void {
		this.mostCopies = Math.max(this.mostCopies, update.copies ?? 0);
		this.slots.delete(update.topic);
		this.slots.set(update.topic, {update, sent: 0});
		if (this.slots.size > this.capacity) {
			this.slots.delete(this.slots.keys().next().value!);
		}
	}

	/**
	 * Takes what fits on one message, the least often sent first.
	 * @param room - bytes that may be used.
	 * @returns the items.
	 */
	take(room: number): QueuedUpdate[] {
		const taken: QueuedUpdate[] = [];
		if (this.slots.size === 0) {
			return taken;
		}

		let left = room;
		for (let round = 0; round < this.mostCopies && left > 0; round++) {
			left = this.takeRound(round, left, taken);
		}

		return taken;
	}

	private takeRound(round: number, room: number, taken: QueuedUpdate[]): number {
		let left = room;
		for (const [topic, slot] of this.slots) {
			if (slot.sent !== round || slot.update.size > left || taken.includes(slot.update)) {
				continue;
			}

			taken.push(slot.update);
			left -= slot.update.size;
			slot.sent += 1;
			if (slot.sent >= (slot.update.copies ?? this.copies)) {
				this.slots.delete(topic);
			}
		}

		return left;
	}
}
