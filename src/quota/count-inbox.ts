import type {QuotaBatch, QuotaCount, QuotaSender} from './quota-message.js';

/** Accepts each batch of a sender once. */
export class CountInbox {
	private incarnation = -1;
	private sequence = 0;

	/**
	 * @param sender - the sending node.
	 * @param batch - a batch that was received.
	 * @returns the counts that were not received before; none for a repeated batch or an earlier process.
	 */
	accept({incarnation}: QuotaSender, batch: QuotaBatch): readonly QuotaCount[] {
		const isNewer =
			incarnation > this.incarnation ||
			(incarnation === this.incarnation && batch.sequence > this.sequence);
		if (!isNewer) {
			return [];
		}

		this.incarnation = incarnation;
		this.sequence = batch.sequence;
		return batch.counts;
	}
}
