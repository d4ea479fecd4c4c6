import type {QuotaBatch, QuotaCount} from './quota-message.js';

/** Keeps a batch within one datagram on usual networks. */
const maxCounts = 70;

type Counts = {admitted: number; requested: number};

/**
 * Counts that wait to be sent to a receiver. One batch at a time is on its way. It is sent again unchanged until the
 * receiver acknowledges its number, so that a lost or duplicated datagram does not count twice.
 */
export class CountOutbox {
	private readonly waiting = new Map<string, Counts>();
	private unacknowledged: QuotaBatch | undefined;

	constructor(
		/**
		 * Number below that of the first batch. A receiver may still know the batches of an outbox that was dropped, so
		 * the numbers of a later one have to be higher.
		 */
		private sequence = 0,
	) {}

	/** The batch that is on its way; undefined when none is. */
	get inFlight(): QuotaBatch | undefined {
		return this.unacknowledged;
	}

	/** Whether counts wait that are in no batch yet. */
	get hasWaiting(): boolean {
		return this.waiting.size > 0;
	}

	/**
	 * @param customer - name of a customer.
	 * @param admitted - requests admitted; negative when tokens are returned.
	 * @param requested - requests that arrived.
	 */
	add(customer: string, admitted: number, requested: number): void {
		const counts = this.waiting.get(customer);
		if (counts) {
			counts.admitted += admitted;
			counts.requested += requested;
		} else {
			this.waiting.set(customer, {admitted, requested});
		}
	}

	/**
	 * @param customer - name of a customer.
	 * @returns its requests admitted that are in no batch yet.
	 */
	waitingOf(customer: string): number {
		return this.waiting.get(customer)?.admitted ?? 0;
	}

	/** Starts a batch, which may be empty, unless one is on its way. */
	next(): QuotaBatch {
		if (!this.unacknowledged) {
			const counts: QuotaCount[] = [];
			for (const [customer, count] of this.waiting) {
				if (counts.length === maxCounts) {
					break;
				}

				counts.push({customer, ...count});
				this.waiting.delete(customer);
			}

			this.sequence += 1;
			this.unacknowledged = {sequence: this.sequence, counts};
		}

		return this.unacknowledged;
	}

	/**
	 * @param sequence - number of a batch that was received.
	 * @returns whether it is the batch on its way.
	 */
	acknowledge(sequence: number): boolean {
		if (this.unacknowledged?.sequence !== sequence) {
			return false;
		}

		this.unacknowledged = undefined;
		return true;
	}

	/** Forgets all counts; the number of the next batch is higher still. */
	clear(): void {
		this.waiting.clear();
		this.unacknowledged = undefined;
	}
}
