import {second, type Millis} from '../clock/index.js';
import {CountInbox} from './count-inbox.js';
import {CountOutbox} from './count-outbox.js';
import type {QuotaBatch, QuotaCount, QuotaSum} from './quota-message.js';

/** Time without counts after which a final, empty sum ends the exchange. */
const closeDelay: Millis = 150;
/**
 * Silence of a peer that has not ended its exchange, after which its zone counts as unreachable. Sums follow each other
 * after 400 ms at most, while regions that are cut off from each other exceed the limit until they notice.
 */
const silenceTime: Millis = 450;
/** Age of the silence from which failure detection tells more. */
const expiryTime: Millis = 5 * second;

/** Sums exchanged with the aggregator of another zone. */
export class PeerExchange {
	readonly outbox: CountOutbox;
	private readonly inbox = new CountInbox();
	private isSending = false;
	private isFinal = false;
	private isReceiving = false;
	private countedAt: Millis;
	private sentAt: Millis;
	private receivedAt: Millis = Number.NEGATIVE_INFINITY;

	constructor(now: Millis) {
		// An exchange sends less than one batch per ms, so that the numbers of a later exchange are higher.
		this.outbox = new CountOutbox(Math.floor(now));
		this.countedAt = now;
		this.sentAt = now;
	}

	/** Whether the final sum is on its way. */
	get isLast(): boolean {
		return this.isFinal;
	}

	/**
	 * @param count - requests counted in the own zone.
	 * @param now - monotonic time in ms.
	 */
	add(count: QuotaCount, now: Millis): void {
		this.outbox.add(count.customer, count.admitted, count.requested);
		this.countedAt = now;
	}

	/**
	 * @param now - monotonic time in ms.
	 * @param period - least time between two new batches, in ms.
	 * @returns the batch to send now; undefined if there is nothing to tell.
	 */
	batchToSend(now: Millis, period: Millis): QuotaBatch | undefined {
		const {outbox} = this;
		if (outbox.inFlight) {
			if (now - this.sentAt <= silenceTime) {
				return outbox.inFlight;
			}

			// The peer has set the part of this zone aside meanwhile, so that these counts would be charged twice.
			outbox.clear();
			this.isSending = !this.isFinal;
		}

		const mayClose = this.isSending && now - this.countedAt > closeDelay;
		if ((!outbox.hasWaiting && !mayClose) || now - this.sentAt < period) {
			return undefined;
		}

		this.isFinal = !outbox.hasWaiting;
		this.isSending = !this.isFinal;
		this.sentAt = now;
		return outbox.next();
	}

	/** Whether something is to be sent now or later. */
	get isBusy(): boolean {
		return this.isSending || this.outbox.inFlight !== undefined || this.outbox.hasWaiting;
	}

	/**
	 * @param sum - a sum from the peer.
	 * @param now - monotonic time in ms.
	 * @returns the counts that were not received before.
	 */
	receive(sum: QuotaSum, now: Millis): readonly QuotaCount[] {
		const counts = this.inbox.accept(sum.sender, sum.batch);
		// An older sum that arrives late says nothing of whether more will follow.
		if (counts) {
			this.receivedAt = now;
			this.isReceiving = !sum.isLast;
		}

		return counts ?? [];
	}

	/**
	 * @param now - monotonic time in ms.
	 * @returns whether a sum from the peer arrived lately.
	 */
	isHeard(now: Millis): boolean {
		return now - this.receivedAt <= silenceTime;
	}

	/**
	 * @param now - monotonic time in ms.
	 * @returns whether the peer has become silent in the middle of the exchange.
	 */
	isLost(now: Millis): boolean {
		return this.isReceiving && !this.isHeard(now) && !this.isExpired(now);
	}

	/**
	 * @param now - monotonic time in ms.
	 * @returns whether nothing has been received for so long that failure detection knows more.
	 */
	isExpired(now: Millis): boolean {
		return now - this.receivedAt > expiryTime;
	}
}
