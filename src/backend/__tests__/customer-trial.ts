import {EventClock} from '../../../bench/event-clock.js';
import {Deadline, type RefusalReason} from '../../call/index.js';
import {second, type Millis} from '../../clock/index.js';
import {createRandom, type Random} from '../../random/index.js';
import type {Admission, AdmissionRequest} from '../index.js';

/** A customer of a trial. */
export interface TrialCustomer {
	readonly name: string;
	/** Calls per second to all executors together. */
	readonly rate: number;
	/** Weight among the customers. */
	readonly share: number;
	readonly priority?: number;
	/** Whether its calls are made by backend servers while they run other calls. */
	readonly isNested?: boolean;
	readonly work?: Millis;
	readonly objective?: Millis;
	readonly timeout?: Millis;
	/** Time at which its calls begin, in ms. */
	readonly from?: Millis;
}

/** Settings of a trial. */
export interface TrialOptions {
	readonly executors: number;
	readonly customers: readonly TrialCustomer[];
	readonly seed: number;
	/** Calls that arrive before this time are not counted. */
	readonly warmUp?: Millis;
	readonly duration?: Millis;
	/** Whether calls are told apart by customer; otherwise all are of one. */
	readonly isShared?: boolean;
	/**
	 * @param clock - clock of the trial.
	 * @returns the admission of one executor.
	 */
	createAdmission(clock: EventClock): Admission;
}

/** What the calls of one customer got. */
export interface TrialOutcome {
	sent: number;
	inTime: number;
	served: number;
	refused: number;
	/** Refused after an eighth of the objective or more. */
	refusedLate: number;
	readonly reasons: Map<RefusalReason, number>;
}

type TrialExecutor = {admission: Admission; index: number};
type TrialCall = {customer: TrialCustomer; startedAt: Millis; attempts: number};

const defaults = {work: 200, objective: 835, timeout: 3100} as const;
/** Slots and queue of each executor, as at the deployment with 87 customers. */
export const trialLimits = {slots: 9, queue: 40} as const;
const sweepPeriod: Millis = 20;
const lateRefusalShare = 1 / 8;
/** Executors of which the one with fewer calls is chosen, as by an ingress with recent load reports. */
const choices = 2;
const maxAttempts = 2;

/** Plays calls of customers at several executors with few slots, without a network. */
class CustomerTrial {
	readonly outcomes = new Map<string, TrialOutcome>();
	private readonly clock = new EventClock();
	private readonly random: Random;
	private readonly executors: TrialExecutor[] = [];

	constructor(private readonly options: TrialOptions) {
		this.random = createRandom(options.seed);
		for (let index = 0; index < options.executors; index++) {
			const admission = options.createAdmission(this.clock);
			this.executors.push({admission, index});
			this.clock.repeat(sweepPeriod, () => {
				if (admission.queued > 0) {
					admission.dispatch();
				}
			});
		}
	}

	run(): Map<string, TrialOutcome> {
		const {customers, duration = 30 * second} = this.options;
		for (const customer of customers) {
			this.outcomes.set(customer.name, {
				sent: 0,
				inTime: 0,
				served: 0,
				refused: 0,
				refusedLate: 0,
				reasons: new Map(),
			});
			const arrive = () => {
				this.submit({customer, startedAt: this.clock.now(), attempts: 0});
				this.clock.after(this.drawInterval(customer), arrive);
			};

			this.clock.after((customer.from ?? 0) + this.drawInterval(customer), arrive);
		}

		this.clock.runUntil(duration);
		return this.outcomes;
	}

	private drawInterval({rate}: TrialCustomer): Millis {
		return (-Math.log(1 - this.random.next()) * second) / rate;
	}

	private chooseExecutor(tried: TrialExecutor | undefined): TrialExecutor {
		let best: TrialExecutor | undefined;
		for (let i = 0; i < choices; i++) {
			const executor = this.executors[Math.floor(this.random.next() * this.executors.length)]!;
			const isBetter = !best || callCount(executor) < callCount(best);
			if (isBetter && (executor !== tried || this.executors.length === 1)) {
				best = executor;
			}
		}

		return best ?? this.executors[0]!;
	}

	private submit(call: TrialCall, tried?: TrialExecutor): void {
		const {clock} = this;
		const {isShared = true} = this.options;
		const {customer, startedAt} = call;
		const {
			work = defaults.work,
			objective = defaults.objective,
			timeout = defaults.timeout,
		} = customer;
		const executor = this.chooseExecutor(tried);
		const {admission} = executor;
		call.attempts += 1;
		const request: AdmissionRequest = {
			customer: isShared && !customer.isNested ? customer.name : '',
			isNested: isShared && customer.isNested,
			share: isShared ? customer.share : 1,
			priority: customer.priority ?? 0,
			deadline: new Deadline(startedAt + timeout),
			objective: new Deadline(startedAt + objective),
			work,
			canRetryElsewhere: call.attempts === 1,
			start: () => {
				clock.after(work * (0.7 + 0.6 * this.random.next()), () => {
					admission.release(request, false);
					this.recordServed(call, clock.now() - startedAt <= objective);
				});
			},
			refuse: (reason) => {
				if (call.attempts < maxAttempts) {
					clock.after(1, () => {
						this.submit(call, executor);
					});
				} else {
					this.recordRefused(call, reason, objective);
				}
			},
		};
		admission.submit(request);
	}

	private countedOutcome({customer, startedAt}: TrialCall): TrialOutcome | undefined {
		const {warmUp = 0} = this.options;
		const outcome = startedAt >= warmUp ? this.outcomes.get(customer.name) : undefined;
		if (outcome) {
			outcome.sent += 1;
		}

		return outcome;
	}

	private recordServed(call: TrialCall, isInTime: boolean): void {
		const outcome = this.countedOutcome(call);
		if (outcome) {
			outcome.served += 1;
			outcome.inTime += isInTime ? 1 : 0;
		}
	}

	private recordRefused(call: TrialCall, reason: RefusalReason, objective: Millis): void {
		const outcome = this.countedOutcome(call);
		if (outcome) {
			const isLate = this.clock.now() - call.startedAt >= objective * lateRefusalShare;
			outcome.refused += 1;
			outcome.refusedLate += isLate ? 1 : 0;
			outcome.reasons.set(reason, (outcome.reasons.get(reason) ?? 0) + 1);
		}
	}
}

function callCount({admission}: TrialExecutor): number {
	return admission.inFlight + admission.queued;
}

/**
 * @param options - customers, executors and rules of the trial.
 * @returns what each customer got, by its name.
 */
export function runCustomerTrial(options: TrialOptions): Map<string, TrialOutcome> {
	return new CustomerTrial(options).run();
}

/**
 * @param outcomes - outcomes of customers.
 * @returns their sum.
 */
export function sumOutcomes(outcomes: Iterable<TrialOutcome>): TrialOutcome {
	const sum: TrialOutcome = {
		sent: 0,
		inTime: 0,
		served: 0,
		refused: 0,
		refusedLate: 0,
		reasons: new Map(),
	};
	for (const outcome of outcomes) {
		sum.sent += outcome.sent;
		sum.inTime += outcome.inTime;
		sum.served += outcome.served;
		sum.refused += outcome.refused;
		sum.refusedLate += outcome.refusedLate;
		for (const [reason, count] of outcome.reasons) {
			sum.reasons.set(reason, (sum.reasons.get(reason) ?? 0) + count);
		}
	}

	return sum;
}
