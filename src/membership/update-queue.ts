import type {BriefUpdate, Rumor} from './gossip-message.js';
import type {Member} from './member.js';

/** An update that waits to be piggybacked. */
export interface QueuedUpdate {
	/** A newer update with the same topic replaces this one. */
	readonly topic: string;
	/** Estimated size on the wire, in bytes. */
	readonly size: number;
	/** Number of times that it is sent; the queue's default when undefined. */
	readonly copies?: number;
	readonly brief?: BriefUpdate;
	readonly full?: Member;
	readonly rumor?: Rumor;
}

type Entry = {update: QueuedUpdate; sent: number};

/**
 * Updates that wait to be piggybacked. Each is sent a fixed number of times, so that its cost does not
 * grow with the deployment; digests repair what a member has missed.
 */
export class UpdateQueue {
	private readonly entries = new Map<string, Entry>();
	private maxCopies: number;

	constructor(
		/** Default number of times that an update is sent. */
		private readonly copies: number,
		/** Maximum number of updates; the oldest is dropped first, as digests repair the loss. */
		private readonly capacity: number,
	) {
		this.maxCopies = copies;
	}

	get size(): number {
		return this.entries.size;
	}

	/**
	 * Adds an update, replacing an older one with the same topic.
	 * @param update - the update.
	 */
	push(update: QueuedUpdate): void {
		this.maxCopies = Math.max(this.maxCopies, update.copies ?? 0);
		this.entries.delete(update.topic);
		this.entries.set(update.topic, {update, sent: 0});
		if (this.entries.size > this.capacity) {
			this.entries.delete(this.entries.keys().next().value!);
		}
	}

	/**
	 * Takes updates for one message, the least often sent first.
	 * @param maxBytes - maximum total size, in bytes.
	 * @returns the updates.
	 */
	take(maxBytes: number): QueuedUpdate[] {
		const taken: QueuedUpdate[] = [];
		if (this.entries.size === 0) {
			return taken;
		}

		let bytesLeft = maxBytes;
		for (let round = 0; round < this.maxCopies && bytesLeft > 0; round++) {
			bytesLeft = this.takeRound(round, bytesLeft, taken);
		}

		return taken;
	}

	private takeRound(round: number, maxBytes: number, taken: QueuedUpdate[]): number {
		let bytesLeft = maxBytes;
		for (const [topic, entry] of this.entries) {
			if (entry.sent !== round || entry.update.size > bytesLeft || taken.includes(entry.update)) {
				continue;
			}

			taken.push(entry.update);
			bytesLeft -= entry.update.size;
			entry.sent += 1;
			if (entry.sent >= (entry.update.copies ?? this.copies)) {
				this.entries.delete(topic);
			}
		}

		return bytesLeft;
	}
}
