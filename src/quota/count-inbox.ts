import type {QuotaBatch, QuotaCount, QuotaSender} from './quota-message.js';

/** Accepts each batch of a sender once. */
export class CountInbox {
	private incarnation = -1;
	private sequence = 0;

	/**
	 * @param sender - the sending node.
	 * @param batch - a batch that was received.
	 * @returns its counts; undefined for a repeated or overtaken batch and for one of an earlier process.
	 */
	accept({incarnation}: QuotaSender, batch: QuotaBatch): readonly QuotaCount[] | undefined {
		const isNewer =
			incarnation > this.incarnation ||
			(incarnation === this.incarnation && batch.sequence > this.sequence);
		if (!isNewer) {
			return undefined;
		}

		this.incarnation = incarnation;
		this.sequence = batch.sequence;
		return batch.counts;
	}
}
