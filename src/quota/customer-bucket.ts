import {second, type Millis} from '../clock/index.js';
import {DebtBucket} from './debt-bucket.js';
import {overdraftOf, type CustomerLimit, type QuotaSettings} from './quota-limit.js';
import type {QuotaShare} from './quota-message.js';
import {RateMeter} from './rate-meter.js';

/** Follows a demand that rises within a second, with little noise at tens of requests per second. */
const demandDecay: Millis = 200;
/** Time from the arrival of a request until nodes act on the news of it, on average over nodes and zones. */
const newsDelay: Millis = 400;
/** A customer without requests for this time is forgotten once its bucket is full. */
const idleTime: Millis = 10 * second;

/** Part of a limit, for an aggregator that reaches only a part of the nodes. */
function scale({rate, burst}: CustomerLimit, reach: number): CustomerLimit {
	return {rate: rate * reach, burst: burst * reach};
}

/** Use of one customer over all nodes that report, and the share of its requests that may run. */
export class CustomerBucket {
	private readonly bucket: DebtBucket;
	private readonly demand = new RateMeter(demandDecay);
	private readonly use = new RateMeter(second);
	private usedAt: Millis;

	constructor(
		private readonly settings: QuotaSettings,
		/** Tokens at the start. */
		level: number,
		now: Millis,
	) {
		this.bucket = new DebtBucket(level, now);
		this.usedAt = now;
	}

	/** Tokens; negative while there is a debt. */
	get level(): number {
		return this.bucket.level;
	}

	/**
	 * @param now - monotonic time in ms.
	 * @returns admitted requests per second.
	 */
	useRate(now: Millis): number {
		return Math.max(0, this.use.rate(now));
	}

	/**
	 * @param now - monotonic time in ms.
	 * @param limit - limit of the customer.
	 * @returns whether the bucket holds nothing that a new one would not.
	 */
	isIdle(now: Millis, limit: CustomerLimit): boolean {
		return now - this.usedAt > idleTime && this.bucket.level >= limit.burst;
	}

	/**
	 * @param admitted - requests admitted; negative when tokens are returned.
	 * @param requested - requests that arrived.
	 * @param now - monotonic time in ms.
	 */
	add(admitted: number, requested: number, now: Millis): void {
		this.bucket.charge(admitted);
		this.demand.add(requested, now);
		this.use.add(admitted, now);
		this.usedAt = now;
	}

	/**
	 * @param customer - name of the customer.
	 * @param limit - its limit.
	 * @param reach - part of the limit that is not set aside, from 0 to 1.
	 * @param now - monotonic time in ms.
	 * @returns the share of its requests that may run.
	 */
	share(customer: string, limit: CustomerLimit, reach: number, now: Millis): QuotaShare {
		const part = scale(limit, reach);
		this.bucket.advance(now, part);
		const demand = this.demand.rate(now);
		const overdraft = overdraftOf(limit, this.settings) * reach;
		const tokens = this.bucket.level + overdraft;
		// Spends what is there over the time until the next news; in the steady state this is the rate.
		const available = Math.max(0, tokens + (part.rate * newsDelay) / second);
		const expected = (demand * newsDelay) / second;
		const share = available >= expected && available >= 1 ? 1 : available / Math.max(1, expected);
		return {customer, share: Math.min(1, share), demand, wait: this.wait(part, tokens, demand)};
	}

	// Time until the debt is paid, and until the requests beyond the rate that arrive meanwhile could run as well, so
	// that a customer that asks for more returns later.
	private wait({rate}: CustomerLimit, tokens: number, demand: number): Millis {
		const payment = (Math.max(0, 1 - tokens) / rate) * second;
		const backlog = Math.max(0, demand / rate - 1) * newsDelay;
		return Math.min(this.settings.window, payment + backlog);
	}
}
