import {RatioBudget, RegionBuckets, type TokenBucket} from '../budget/index.js';
import {RefusalReason, refusals, type AttemptId} from '../call/index.js';
import {second, type Clock, type Millis} from '../clock/index.js';
import {
	AttemptEnd,
	Cancellation,
	createRefused,
	type Attempt,
	type AttemptResult,
	type AttemptRunner,
} from '../exchange/index.js';
import {Distance, distanceBetween, type Gossip, type Member} from '../membership/index.js';
import {findCandidates, isOtherRegionNeeded, type ExpectedWaitPolicy} from '../routing/index.js';
import {RetryReason, type Metrics} from '../telemetry/index.js';
import type {Call, CallEnd} from './call.js';
import {HedgeTimer} from './hedge-timer.js';

/** What a call runner is made of. */
export interface CallRunnerParts {
	readonly clock: Clock;
	readonly metrics: Metrics;
	readonly gossip: Gossip;
	readonly routing: ExpectedWaitPolicy;
	/** Incarnation of this node. */
	readonly instance: string;
	/**
	 * @param id - an executor.
	 * @returns who takes attempts to it.
	 */
	runnerTo(id: string): AttemptRunner;
}

type Progress = {
	attempts: number;
	broken: number;
	bounces: number;
	executor: string | undefined;
	readonly tried: Set<string>;
};

/** Refusals that say nothing of the load, and so cost no retry budget; the tried set bounds them. */
const freeRetries: ReadonlySet<RefusalReason> = new Set([
	RefusalReason.Draining,
	RefusalReason.NoBackend,
	RefusalReason.LinkUnreachable,
]);
const maxBounces = 2;
/** A request that was in flight at two crashes is not given to a third backend server. */
const maxBroken = 2;
const bounceShare = 0.5;
const avoidTime: Millis = second;
const callOverheadBytes = 600;

/** Chooses executors for a call until it is answered or must be refused. */
export class CallRunner {
	private readonly retries = new RatioBudget();
	private readonly hedges = new RatioBudget();
	private readonly bounces = new RatioBudget();
	private readonly linkBudgets: RegionBuckets;
	private readonly hedgeTimer = new HedgeTimer();
	private sequence = 0;

	constructor(private readonly parts: CallRunnerParts) {
		this.linkBudgets = new RegionBuckets(parts.clock);
	}

	/**
	 * @param call - what to run.
	 * @returns how it ended.
	 */
	async run(call: Call): Promise<CallEnd> {
		this.retries.earn(call.policy.retryShare);
		this.hedges.earn(call.policy.hedgeShare);
		this.bounces.earn(bounceShare);
		const progress: Progress = {
			attempts: 0,
			broken: 0,
			bounces: 0,
			executor: undefined,
			tried: new Set(),
		};
		let last: AttemptResult | undefined;
		for (;;) {
			const executor = this.choose(call, progress) ?? this.chooseToWait(call, progress);
			if (!executor) {
				last ??= createRefused(this.reasonForNone(call));
				break;
			}

			// Attempts follow each other: the next one depends on how the last one ended.
			// eslint-disable-next-line no-await-in-loop
			last = await this.attempt(call, executor, progress);
			if (!this.mayTryAgain(call, last, progress)) {
				break;
			}
		}

		return {result: last, attempts: progress.attempts, executor: progress.executor};
	}

	// All were busy: the call waits at one of them, as a bounce is no refusal.
	private chooseToWait(call: Call, progress: Progress): Member | undefined {
		if (progress.bounces === 0 || progress.bounces >= maxBounces) {
			return undefined;
		}

		progress.bounces = maxBounces;
		progress.tried.clear();
		return this.choose(call, progress);
	}

	private async attempt(call: Call, executor: Member, progress: Progress): Promise<AttemptResult> {
		const isHedgeable = call.head.isIdempotent && call.body.bytes !== undefined;
		const delay = isHedgeable ? this.hedgeTimer.delayFor(call.head.service) : undefined;
		const first = this.send(call, executor, progress);
		if (delay === undefined) {
			return first.result;
		}

		return this.hedge(call, first, delay, progress);
	}

	// Whichever attempt of an idempotent call answers first wins; the other is canceled.
	private async hedge(
		call: Call,
		first: SentAttempt,
		delay: Millis,
		progress: Progress,
	): Promise<AttemptResult> {
		return new Promise((resolve) => {
			let open = 1;
			let second: SentAttempt | undefined;
			const settle = (winner: SentAttempt, result: AttemptResult) => {
				open -= 1;
				const isLast = open === 0;
				if (result.end === AttemptEnd.Answered || isLast) {
					undo();
					resolve(result);
					const loser = winner === first ? second : first;
					loser?.cancellation.cancel();
				}
			};

			const undo = this.parts.clock.after(delay, () => {
				const executor = this.chooseHedge(call, progress);
				if (executor) {
					open += 1;
					second = this.send(call, executor, progress);
					const sent = second;
					void sent.result.then((result) => {
						settle(sent, result);
					});
				}
			});
			void first.result.then((result) => {
				settle(first, result);
			});
		});
	}

	private chooseHedge(call: Call, progress: Progress): Member | undefined {
		const isOver = call.cancellation.isCanceled || call.deadline.isPast(this.parts.clock.now());
		if (isOver || progress.attempts >= call.policy.maxAttempts) {
			return undefined;
		}

		const executor = this.choose(call, progress);
		if (!executor || !this.hedges.trySpend()) {
			return undefined;
		}

		this.parts.metrics.retries.inc({reason: RetryReason.Hedge});
		return executor;
	}

	private send(call: Call, executor: Member, progress: Progress): SentAttempt {
		const {routing, metrics, clock} = this.parts;
		const cancellation = new Cancellation();
		const undo = call.cancellation.registerListener(() => {
			cancellation.cancel();
		});
		const attempt = this.createAttempt(call, progress, cancellation);
		progress.attempts += 1;
		progress.executor = executor.id;
		progress.tried.add(executor.id);
		metrics.attempts.inc();
		this.chargeLink(call, executor);
		routing.noteSent(executor.id);
		const startedAt = clock.now();
		const run = async (): Promise<AttemptResult> => {
			const result = await this.parts.runnerTo(executor.id).run(attempt);
			undo();
			this.noteEnd(call, executor, result, startedAt);
			return result;
		};

		return {cancellation, result: run()};
	}

	private createAttempt(call: Call, progress: Progress, cancellation: Cancellation): Attempt {
		this.sequence += 1;
		const id: AttemptId = {instance: this.parts.instance, sequence: this.sequence};
		const {head, deadline, body, policy} = call;
		const isBounceable = progress.bounces < maxBounces && this.bounces.trySpend();
		return {id, head, share: policy.share, deadline, isBounceable, body, cancellation};
	}

	private noteEnd(call: Call, executor: Member, result: AttemptResult, sentAt: Millis): void {
		const {routing, clock} = this.parts;
		const load = result.end === AttemptEnd.Unknown ? undefined : result.load;
		routing.noteEnded(executor.id, sentAt, load);
		if (result.end === AttemptEnd.Answered) {
			this.hedgeTimer.add(call.head.service, clock.now() - sentAt);
			return;
		}

		const isFault =
			result.reason === RefusalReason.LinkUnreachable ||
			result.reason === RefusalReason.ExecutorLost ||
			result.reason === RefusalReason.BackendUnreachable;
		if (isFault) {
			routing.avoid(executor.id, avoidTime);
		}
	}

	private mayTryAgain(call: Call, result: AttemptResult, progress: Progress): boolean {
		const {clock, metrics} = this.parts;
		if (result.end === AttemptEnd.Answered || call.cancellation.isCanceled) {
			return false;
		}

		if (call.deadline.isPast(clock.now()) || call.body.stream?.readableDidRead) {
			return false;
		}

		if (result.end === AttemptEnd.Refused) {
			const isAllowed = this.mayTryElsewhere(call, result.reason, progress);
			if (isAllowed) {
				metrics.retries.inc({reason: RetryReason.NotRun});
			}

			return isAllowed;
		}

		progress.broken += result.reason === RefusalReason.BackendLost ? 1 : 0;
		const isRepeatable =
			call.head.isIdempotent &&
			progress.broken < maxBroken &&
			progress.attempts < call.policy.maxAttempts;
		if (!isRepeatable || !this.retries.trySpend()) {
			return false;
		}

		metrics.retries.inc({reason: RetryReason.IdempotentFailure});
		return true;
	}

	private mayTryElsewhere(call: Call, reason: RefusalReason, progress: Progress): boolean {
		if (!refusals[reason].isElsewhereUseful) {
			return false;
		}

		if (reason === RefusalReason.Busy) {
			progress.bounces += 1;
			if (progress.bounces >= maxBounces) {
				// The next attempt waits where it is sent; all executors are open to it again.
				progress.tried.clear();
			}

			return true;
		}

		if (freeRetries.has(reason)) {
			return true;
		}

		return (
			progress.attempts - progress.bounces < call.policy.maxAttempts && this.retries.trySpend()
		);
	}

	private choose(call: Call, progress: Progress): Member | undefined {
		const {gossip, routing, clock} = this.parts;
		const self = gossip.account;
		const candidates = findCandidates(gossip.directory, self, call.head.service, progress.tried);
		const timeLeft = call.deadline.timeLeft(clock.now());
		const isNearEnough =
			candidates.near.length > 0 &&
			!isOtherRegionNeeded(routing.bestExpectedTime(candidates.near), timeLeft);
		if (isNearEnough) {
			return routing.choose({candidates: candidates.near, timeLeft});
		}

		const far = this.affordable(call, candidates.far);
		const all = [...candidates.near, ...far];
		return all.length > 0 ? routing.choose({candidates: all, timeLeft}) : undefined;
	}

	private affordable(call: Call, far: readonly Member[]): Member[] {
		if (!call.service.isOtherRegionAllowed) {
			return [];
		}

		return far.filter((member) => (this.linkBudget(call, member)?.level ?? 1) > 0);
	}

	private linkBudget(call: Call, member: Member): TokenBucket | undefined {
		const {account, directory} = this.parts.gossip;
		const link = call.index.link(account.region, member.region);
		const nodes = directory.countInRegion(account.region);
		return link && this.linkBudgets.bucket(member.region, link.callBytesPerSecond, nodes);
	}

	private chargeLink(call: Call, executor: Member): void {
		if (distanceBetween(this.parts.gossip.account, executor) === Distance.OtherRegion) {
			const bytes = callOverheadBytes + (call.body.bytes?.length ?? 0);
			this.linkBudget(call, executor)?.charge(bytes);
		}
	}

	private reasonForNone(call: Call): RefusalReason {
		const {gossip} = this.parts;
		const none = new Set<string>();
		const {far} = findCandidates(gossip.directory, gossip.account, call.head.service, none);
		const isHeldByBudget = call.service.isOtherRegionAllowed && far.length > 0;
		return isHeldByBudget ? RefusalReason.LinkBudget : RefusalReason.NoBackend;
	}
}

type SentAttempt = {
	readonly cancellation: Cancellation;
	readonly result: Promise<AttemptResult>;
};
