import {second, type Millis} from '../clock/index.js';
import {DebtBucket} from './debt-bucket.js';
import {overdraftOf, type CustomerLimit, type QuotaSettings} from './quota-limit.js';

/**
 * Part of a customer's limit that a node uses without news from an aggregator. If the part never holds a whole token,
 * what it holds is spent at once and admits a request with that probability. All nodes together then keep to the limit
 * on average, however often they are asked.
 */
export class OwnPart {
	private bucket: DebtBucket | undefined;

	constructor(
		private readonly settings: QuotaSettings,
		/** Whether the customer was below its limit when the last news arrived. */
		private readonly isFull: boolean,
	) {}

	/**
	 * @param limit - limit of the customer over all nodes.
	 * @param nodes - number of nodes among which it is divided.
	 * @param draw - a random number from 0 to 1.
	 * @param now - monotonic time in ms.
	 * @returns whether a request may run.
	 */
	admit(limit: CustomerLimit, nodes: number, draw: number, now: Millis): boolean {
		const bucket = this.advance(limit, nodes, now);
		const {level} = bucket;
		const isFraction = this.partOf(limit, nodes).burst < 1;
		if (!isFraction && level < 1) {
			return false;
		}

		bucket.charge(Math.min(1, level));
		return draw < level;
	}

	/**
	 * @param limit - limit of the customer over all nodes.
	 * @param nodes - number of nodes among which it is divided.
	 * @param now - monotonic time in ms.
	 * @returns the time until a whole token is there, in ms; at most the window of the count.
	 */
	wait(limit: CustomerLimit, nodes: number, now: Millis): Millis {
		const {level} = this.advance(limit, nodes, now);
		const wait = (Math.max(0, 1 - level) * second * nodes) / limit.rate;
		return Math.min(this.settings.window, wait);
	}

	/** Returns a token. */
	giveBack(): void {
		this.bucket?.charge(-1);
	}

	private partOf(limit: CustomerLimit, nodes: number): CustomerLimit {
		const burst = limit.burst + overdraftOf(limit, this.settings);
		return {rate: limit.rate / nodes, burst: burst / nodes};
	}

	private advance(limit: CustomerLimit, nodes: number, now: Millis): DebtBucket {
		const part = this.partOf(limit, nodes);
		this.bucket ??= new DebtBucket(this.isFull ? part.burst : 0, now);
		this.bucket.advance(now, part);
		return this.bucket;
	}
}
