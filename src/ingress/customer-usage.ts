import {RefusalReason, type Outcome} from '../call/index.js';
import {second, type Clock, type Millis} from '../clock/index.js';
import type {CallPolicy} from '../declaration/index.js';
import type {Metrics} from '../telemetry/index.js';
import {RefusedRequestError, type CallParameters} from './caller-protocol.js';
import {fairLevel} from './fair-level.js';

/** What one customer uses at one ingress. */
export interface CustomerUse {
	readonly customer: string;
	/** Weight of the customer when several compete. */
	readonly weight: number;
	/** Calls that have not ended. */
	readonly inFlight: number;
	/** Calls per second, averaged over about the last 10 s. */
	readonly rate: number;
	/** Calls since the start of the node. */
	readonly received: number;
	/** Refused calls since the start of the node, by reason. */
	readonly refused: Readonly<Record<string, number>>;
	/** Time since the last call, in ms. */
	readonly age: Millis;
}

type Usage = {
	weight: number;
	level: number;
	inFlight: number;
	rate: number;
	received: number;
	refused: Map<RefusalReason, number>;
	lastAt: Millis;
};

/** Time constant of the reported rate. */
const rateTime: Millis = 10 * second;
/** Customers that are remembered; the one whose last call is the longest ago is forgotten first. */
const maxCustomers = 2048;
/** Customers that have a metric of their own. */
const maxLabels = 100;
/** Label of all customers beyond {@link maxLabels}. */
const otherLabel = 'other';

/**
 * Counts what each customer uses at this ingress, and divides the calls in flight between customers when they become
 * too many: by priority, and within a priority by weighted max-min shares.
 */
export class CustomerUsage {
	private readonly usages = new Map<string, Usage>();
	private readonly entered = new Map<unknown, string>();
	private readonly labels = new Set<string>();

	constructor(
		private readonly clock: Pick<Clock, 'now'>,
		private readonly metrics: Pick<Metrics, 'customerCalls' | 'customerRefusals'>,
		/** Calls in flight from which on a customer that has more than its share gets no further ones. */
		private readonly maxShared: number,
	) {}

	/**
	 * Records a call. Calls without a customer are neither recorded nor refused.
	 * @param call - identifies the call until it is recorded as ended.
	 * @param parameters - its policy and origin.
	 * @param inFlight - calls in flight at the ingress, this one included.
	 * @throws {@link RefusedRequestError} when there are too many calls and its customer has more than its share of them.
	 */
	enter(
		call: unknown,
		{policy, origin}: Pick<CallParameters, 'policy' | 'origin'>,
		inFlight: number,
	): void {
		const {customer} = policy;
		if (customer === '') {
			return;
		}

		const usage = this.usageOf(policy, Math.floor(origin.priority));
		if (inFlight > this.maxShared && usage.inFlight + 1 > this.shareOf(usage)) {
			this.countRefused(customer, RefusalReason.TooManyCalls);
			throw new RefusedRequestError(RefusalReason.TooManyCalls);
		}

		usage.inFlight += 1;
		this.entered.set(call, customer);
	}

	/**
	 * @param call - a call that is refused to its caller.
	 * @param reason - why.
	 */
	recordRefused(call: unknown, reason: RefusalReason): void {
		const customer = this.entered.get(call);
		if (customer !== undefined) {
			this.countRefused(customer, reason);
		}
	}

	/**
	 * @param call - a call that has ended.
	 * @param outcome - its outcome.
	 */
	leave(call: unknown, outcome: Outcome): void {
		const customer = this.entered.get(call);
		if (customer === undefined) {
			return;
		}

		this.entered.delete(call);
		this.metrics.customerCalls.inc({customer: this.labelOf(customer), outcome});
		const usage = this.usages.get(customer);
		if (usage) {
			usage.inFlight -= 1;
		}
	}

	/** @returns the customers whose calls this ingress remembers. */
	report(): CustomerUse[] {
		const now = this.clock.now();
		return [...this.usages].map(([customer, usage]) => ({
			customer,
			weight: usage.weight,
			inFlight: usage.inFlight,
			rate: usage.rate * Math.exp((usage.lastAt - now) / rateTime),
			received: usage.received,
			refused: Object.fromEntries(usage.refused),
			age: now - usage.lastAt,
		}));
	}

	// Calls in flight that the customer may have while there are too many: what more urgent customers leave is divided
	// between those of its priority.
	private shareOf(own: Usage): number {
		let left = this.maxShared;
		const rivals: Usage[] = [];
		for (const usage of this.usages.values()) {
			if (usage.level < own.level) {
				left -= usage.inFlight;
			} else if (usage.level === own.level) {
				rivals.push(usage);
			}
		}

		const demands = rivals.map((usage) => ({
			demand: usage.inFlight + (usage === own ? 1 : 0),
			weight: usage.weight,
		}));
		return own.weight * fairLevel(demands, Math.max(0, left));
	}

	private usageOf({customer, share}: CallPolicy, level: number): Usage {
		const now = this.clock.now();
		const usage = this.usages.get(customer) ?? this.add(customer, now);
		const decay = Math.exp((usage.lastAt - now) / rateTime);
		usage.rate = usage.rate * decay + second / rateTime;
		usage.received += 1;
		usage.lastAt = now;
		usage.weight = share;
		usage.level = level;
		return usage;
	}

	private add(customer: string, now: Millis): Usage {
		if (this.usages.size >= maxCustomers) {
			this.removeOldest();
		}

		const refused = new Map<RefusalReason, number>();
		const usage = {weight: 1, level: 0, inFlight: 0, rate: 0, received: 0, refused, lastAt: now};
		this.usages.set(customer, usage);
		return usage;
	}

	private removeOldest(): void {
		let oldest: string | undefined;
		let oldestAt = Number.POSITIVE_INFINITY;
		for (const [customer, {inFlight, lastAt}] of this.usages) {
			if (inFlight === 0 && lastAt < oldestAt) {
				oldest = customer;
				oldestAt = lastAt;
			}
		}

		if (oldest !== undefined) {
			this.usages.delete(oldest);
		}
	}

	private countRefused(customer: string, reason: RefusalReason): void {
		this.metrics.customerRefusals.inc({customer: this.labelOf(customer), reason});
		const refused = this.usages.get(customer)?.refused;
		refused?.set(reason, (refused.get(reason) ?? 0) + 1);
	}

	private labelOf(customer: string): string {
		if (!this.labels.has(customer) && this.labels.size < maxLabels) {
			this.labels.add(customer);
		}

		return this.labels.has(customer) ? customer : otherLabel;
	}
}
