import {second, type Millis, type Undo} from '../clock/index.js';
import type {Random} from '../random/index.js';
import {CountOutbox} from './count-outbox.js';
import {OwnPart} from './own-part.js';
import type {QuotaParts} from './quota-aggregator.js';
import {overdraftOf, type CustomerLimit} from './quota-limit.js';
import {QuotaMessageType, type QuotaShare, type QuotaShares} from './quota-message.js';
import {RateMeter} from './rate-meter.js';

/** Collaborators of {@link QuotaGate}. */
export interface QuotaGateParts extends QuotaParts {
	readonly random: Random;
}

/** What a decision was based on. The values are part of the metrics. */
export enum QuotaBasis {
	/** The share that an aggregator has told. */
	Shares = 'shares',
	/** The node's own part of the limit, as no aggregator answers. */
	OwnPart = 'own-part',
}

/** Whether a request may run. */
export interface QuotaVerdict {
	readonly isAdmitted: boolean;
	readonly basis: QuotaBasis;
	/** Time until a refused request is expected to be admitted, in ms; 0 for an admitted one. */
	readonly wait: Millis;
}

/** Quota of a customer as a node knows it. */
export interface GateFigure {
	/** Admitted requests per second at this node. */
	readonly ownUse: number;
	/** Requests per second over all nodes; undefined unless the customer is over its limit. */
	readonly demand: number | undefined;
	/** Share of the requests that this node admits. */
	readonly share: number;
	readonly basis: QuotaBasis;
	/** Age of the last news from an aggregator, in ms; infinite without any. */
	readonly age: Millis;
}

/** Time from the first request that was not reported to the report. */
const reportPeriod: Millis = 200;
/** Members of a zone from which on nodes report less often, so that the load of an aggregator stays bounded. */
const fullRateMembers = 128;
/** A customer that used this share of its burst at one node since the last report is reported at once. */
const urgentShare = 1 / 8;
const minUrgentCount = 4;
const minReportGap: Millis = 50;
/** News older than this is not used. */
const maxNewsAge: Millis = second;
/** Time without an answer to a report after which the share of a limited customer is not used either. */
const maxShareSilence: Millis = 500;
/**
 * How long a request waits for the answer of the aggregator when the news is too old. Longer than the pauses of nodes
 * with a quarter of a core, and below an eighth of the usual latency objectives.
 */
const askTimeout: Millis = 80;
const askAgainDelay: Millis = 25;
/** A report without an answer is sent again after this time, and to the next candidate after some attempts. */
const answerTimeout: Millis = 100;
const maxAttempts = 4;
/** Requests that an aggregator may expect before a final, empty report tells that there are none. */
const expectedRequests = 3;
const minFinalDelay: Millis = 200;
/** Rate of requests per second below which silence tells an aggregator nothing. */
const minActivity = 1;
/** Time after which a node that reports to another candidate tries the preferred one again. */
const returnDelay: Millis = 5 * second;
/** Another aggregator that answered within this time has shares that a new one does not know. */
const takeoverTime: Millis = 5 * second;
/** Counts that were not acknowledged for so long are outside of every window. */
const maxCountAge: Millis = 10 * second;
const idleTime: Millis = 10 * second;
/** Callers that return sooner meet the same share. */
const minWait: Millis = 100;
const useDecay: Millis = 2 * second;

type CustomerState = {
	/** Share that is left over from earlier requests; a request runs when it reaches 1. */
	credit: number;
	/** Part of the limit that the node uses; undefined while an aggregator answers. */
	part: OwnPart | undefined;
	readonly use: RateMeter;
	usedAt: Millis;
};

type Waiter = () => void;

/** Decides at a node which requests of customers with a limit may run, and reports them. */
export class QuotaGate {
	private readonly states = new Map<string, CustomerState>();
	private readonly outbox = new CountOutbox();
	private readonly waiters: Waiter[] = [];
	private shares = new Map<string, QuotaShare>();
	private reach = 1;
	private newsAt: Millis = Number.NEGATIVE_INFINITY;
	private answeredBy = '';
	private isCutOff = false;
	/** Candidate that is reported to, by its place in the ranking. */
	private candidate = 0;
	private preferred = '';
	private switchedAt: Millis = Number.NEGATIVE_INFINITY;
	private attempts = 0;
	private readonly activity = new RateMeter(second);
	private reportedAt: Millis = Number.NEGATIVE_INFINITY;
	private pendingSince: Millis | undefined;
	/** Whether the last report told that there are no more requests. */
	private isFinal = false;
	private undoReport: Undo | undefined;

	constructor(private readonly parts: QuotaGateParts) {}

	/** Number of customers for which this node keeps state. */
	get customers(): number {
		return this.states.size;
	}

	/** Names of the customers for which this node keeps state. */
	get names(): Iterable<string> {
		return this.states.keys();
	}

	/** Age of the last news from an aggregator, in ms; infinite without any. */
	get newsAge(): Millis {
		return this.parts.clock.now() - this.newsAt;
	}

	/**
	 * Decides on a request and counts it.
	 * @param customer - name of the customer.
	 * @returns whether it may run; at once unless an aggregator has to be asked; undefined if the customer has no limit.
	 */
	admit(customer: string): QuotaVerdict | Promise<QuotaVerdict> | undefined {
		const limit = this.parts.limitOf(customer);
		if (!limit) {
			return undefined;
		}

		const now = this.parts.clock.now();
		this.activity.add(1, now);
		// Without an aggregator, one count keeps the reports going; all of them would look like a sudden demand later.
		if (!this.isCutOff || !(this.outbox.hasWaiting || this.outbox.inFlight)) {
			this.count(customer, 0, 1);
		}

		if (this.isCutOff || this.isNewsFresh(now)) {
			return this.decide(customer, limit);
		}

		return this.ask(customer, limit);
	}

	/**
	 * Returns the token of a request that has certainly not run.
	 * @param customer - name of the customer.
	 */
	giveBack(customer: string): void {
		if (!this.parts.limitOf(customer)) {
			return;
		}

		const state = this.states.get(customer);
		if (this.isCutOff) {
			state?.part?.giveBack();
			return;
		}

		const now = this.parts.clock.now();
		state?.use.add(-1, now);
		this.count(customer, -1, 0);
	}

	/**
	 * @param message - answer of an aggregator to a report.
	 */
	handleShares(message: QuotaShares): void {
		const {clock, observer} = this.parts;
		const now = clock.now();
		if (message.sequence === 0 && message.sender.id !== this.answeredBy) {
			return;
		}

		if (this.outbox.acknowledge(message.sequence)) {
			this.pendingSince = undefined;
			this.attempts = 0;
			this.scheduleNextReport(now);
		}

		if (this.isCutOff) {
			observer.newsRegained(message.sender.id);
		}

		const hasShares = now - this.newsAt <= maxNewsAge;
		this.answeredBy = message.sender.id;
		this.newsAt = now;
		this.isCutOff = false;
		this.reach = message.reach;
		const earlier = message.isLearning && hasShares ? this.shares : undefined;
		this.shares = mergeShares(message.shares, earlier);

		for (const resume of this.waiters.splice(0)) {
			resume();
		}
	}

	/**
	 * @param customer - name of a customer.
	 * @returns its figures; undefined if it has no limit.
	 */
	figureOf(customer: string): GateFigure | undefined {
		const limit = this.parts.limitOf(customer);
		if (!limit) {
			return undefined;
		}

		const {clock, members} = this.parts;
		const now = clock.now();
		const own = (limit.burst + overdraftOf(limit, this.parts.settings)) / members.size;
		return {
			ownUse: Math.max(0, this.states.get(customer)?.use.rate(now) ?? 0),
			demand: this.shares.get(customer)?.demand,
			share: this.isCutOff ? Math.min(1, own) : this.shareOf(customer, limit),
			basis: this.isCutOff ? QuotaBasis.OwnPart : QuotaBasis.Shares,
			age: now - this.newsAt,
		};
	}

	private isNewsFresh(now: Millis): boolean {
		return now - this.newsAt <= maxNewsAge;
	}

	private isShareOutdated(customer: string, now: Millis): boolean {
		const silence = this.pendingSince === undefined ? 0 : now - this.pendingSince;
		return silence > maxShareSilence && this.shares.has(customer);
	}

	private state(customer: string, now: Millis): CustomerState {
		let state = this.states.get(customer);
		if (!state) {
			const {random} = this.parts;
			// Begins at a random credit, as with few requests at each node all of them are first ones.
			const credit = random.next();
			const use = new RateMeter(useDecay);
			state = {credit, part: undefined, use, usedAt: now};
			this.states.set(customer, state);
		}

		return state;
	}

	private count(customer: string, admitted: number, requested: number): void {
		const isFirst = !this.outbox.hasWaiting;
		this.outbox.add(customer, admitted, requested);
		if (isFirst && !this.outbox.inFlight) {
			this.scheduleReport(this.period);
		}
	}

	private decide(customer: string, limit: CustomerLimit): QuotaVerdict {
		const now = this.parts.clock.now();
		const state = this.state(customer, now);
		state.usedAt = now;
		if (this.isCutOff || this.isShareOutdated(customer, now)) {
			state.part ??= new OwnPart(this.parts.settings, !this.shares.has(customer));
			return this.decideAlone(state, state.part, limit);
		}

		state.part = undefined;
		state.credit += this.shareOf(customer, limit);
		if (state.credit < 1) {
			const wait = Math.max(minWait, this.shares.get(customer)?.wait ?? 0);
			return {isAdmitted: false, basis: QuotaBasis.Shares, wait};
		}

		state.credit -= 1;
		state.use.add(1, now);
		this.count(customer, 1, 0);
		this.reportIfUrgent(customer, limit, now);
		return {isAdmitted: true, basis: QuotaBasis.Shares, wait: 0};
	}

	// These requests are not reported as admitted: the aggregators have set the node's part aside.
	private decideAlone(state: CustomerState, part: OwnPart, limit: CustomerLimit): QuotaVerdict {
		const {clock, members, random} = this.parts;
		const now = clock.now();
		const basis = QuotaBasis.OwnPart;
		if (part.admit(limit, members.size, random.next(), now)) {
			state.use.add(1, now);
			return {isAdmitted: true, basis, wait: 0};
		}

		return {isAdmitted: false, basis, wait: part.wait(limit, members.size, now)};
	}

	// A customer that is not listed has a full bucket. If most nodes are out of reach, the part of a bucket that is left
	// may be less than a token.
	private shareOf(customer: string, limit: CustomerLimit): number {
		const listed = this.shares.get(customer);
		const full = (limit.burst + overdraftOf(limit, this.parts.settings)) * this.reach;
		return listed?.share ?? Math.min(1, full);
	}

	private async ask(customer: string, limit: CustomerLimit): Promise<QuotaVerdict> {
		if (this.waiters.length === 0) {
			this.startAsking();
			if (this.isNewsFresh(this.parts.clock.now())) {
				return this.decide(customer, limit);
			}
		}

		return new Promise((resolve) => {
			this.waiters.push(() => {
				resolve(this.decide(customer, limit));
			});
		});
	}

	private startAsking(): void {
		const {clock} = this.parts;
		this.report();
		if (this.isNewsFresh(clock.now())) {
			return;
		}

		const askedAt = clock.now();
		const isOpen = () => this.newsAt < askedAt && !this.isCutOff;
		clock.after(askAgainDelay, () => {
			if (isOpen()) {
				this.report();
			}
		});
		clock.after(askTimeout, () => {
			if (isOpen()) {
				this.giveUpAsking();
			}
		});
	}

	private giveUpAsking(): void {
		this.isCutOff = true;
		this.parts.observer.newsLost(this.aggregator(this.parts.clock.now()));
		for (const resume of this.waiters.splice(0)) {
			resume();
		}
	}

	private get period(): Millis {
		return reportPeriod * Math.max(1, this.parts.members.ownZoneSize / fullRateMembers);
	}

	private scheduleReport(delay: Millis): void {
		this.undoReport?.();
		this.undoReport = this.parts.clock.after(delay, () => {
			this.undoReport = undefined;
			this.report();
		});
	}

	// An active node that gets no more requests tells so with an empty report, or its silence would look like a cut.
	private scheduleNextReport(now: Millis): void {
		this.undoReport?.();
		this.undoReport = undefined;
		const rate = this.activity.rate(now);
		if (this.outbox.hasWaiting) {
			this.scheduleReport(Math.max(0, this.reportedAt + this.period - now));
		} else if (rate > minActivity && !this.isFinal) {
			this.scheduleReport(Math.max(minFinalDelay, (expectedRequests / rate) * second));
		}
	}

	private reportIfUrgent(customer: string, limit: CustomerLimit, now: Millis): void {
		const bucket = (limit.burst + overdraftOf(limit, this.parts.settings)) * this.reach;
		const least = Math.max(minUrgentCount, bucket * urgentShare);
		const isUrgent = this.outbox.waitingOf(customer) >= least;
		if (isUrgent && !this.outbox.inFlight && now - this.reportedAt >= minReportGap) {
			this.report();
		}
	}

	private report(): void {
		const {clock, self} = this.parts;
		const now = clock.now();
		this.forgetIdle(now);
		this.pendingSince ??= now;
		if (now - this.pendingSince > maxCountAge) {
			this.outbox.clear();
			this.pendingSince = undefined;
			return;
		}

		const to = this.aggregator(now);
		const batch = this.outbox.next();
		const isTakeover =
			this.answeredBy !== '' && this.answeredBy !== to && now - this.newsAt < takeoverTime;
		this.isFinal = batch.counts.length === 0;
		this.attempts += 1;
		this.reportedAt = now;
		// Set before the message is sent, as the own node's answer arrives at once.
		this.scheduleReport(this.attempts < maxAttempts ? answerTimeout : this.period);
		this.parts.send(to, {type: QuotaMessageType.Report, sender: self, batch, isTakeover});
	}

	private aggregator(now: Millis): string {
		const {members, observer} = this.parts;
		const {ranking} = members;
		const previous = ranking[this.candidate] ?? this.preferred;
		if (ranking[0] !== this.preferred || now - this.switchedAt > returnDelay) {
			this.preferred = ranking[0]!;
			this.candidate = 0;
			this.attempts = 0;
			this.switchedAt = Number.POSITIVE_INFINITY;
		}

		if (this.attempts >= maxAttempts) {
			this.candidate = (this.candidate + 1) % ranking.length;
			this.attempts = 0;
			this.switchedAt = now;
		}

		const selected = ranking[this.candidate] ?? this.preferred;
		if (previous !== '' && selected !== previous) {
			observer.aggregatorChanged(previous, selected);
		}

		return selected;
	}

	private forgetIdle(now: Millis): void {
		for (const [customer, {usedAt}] of this.states) {
			if (now - usedAt > idleTime) {
				this.states.delete(customer);
			}
		}
	}
}

// An aggregator that is new knows less of the demand than the one before it, so the lower share counts.
function mergeShares(
	shares: readonly QuotaShare[],
	earlier: ReadonlyMap<string, QuotaShare> | undefined,
): Map<string, QuotaShare> {
	const merged = new Map(earlier);
	for (const share of shares) {
		const known = merged.get(share.customer);
		if (!known || share.share < known.share) {
			merged.set(share.customer, share);
		}
	}

	return merged;
}
