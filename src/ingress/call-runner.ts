import {RatioBudget} from '../budget/index.js';
import {RefusalReason, refusals, type AttemptId} from '../call/index.js';
import {second, type Clock, type Millis, type Undo} from '../clock/index.js';
import {
	AttemptEnd,
	Cancellation,
	createRefused,
	createUnknown,
	type AnsweredAttempt,
	type Attempt,
	type AttemptResult,
	type AttemptRunner,
	type Call,
	type CallEnd,
} from '../exchange/index.js';
import {isUnsoundReport} from '../executor/index.js';
import {Mechanism, type DisabledMechanisms} from '../experiment/index.js';
import type {Member} from '../membership/index.js';
import {callKind, type Placement, type PlacementQuery} from '../routing/index.js';
import {logEvents, RetryReason, type Logger, type Metrics} from '../telemetry/index.js';
import {pause} from '../util/index.js';
import {CallBudgets, type BudgetBursts} from './call-budgets.js';
import {discardAnswer, HedgeRace, type SentAttempt} from './hedge.js';

export interface CallRunnerDependencies {
	readonly clock: Clock;
	readonly metrics: Metrics;
	readonly logger: Logger;
	readonly placement: Placement;
	/** Incarnation of this node. */
	readonly instance: string;
	/** Statuses that tell a caller that its request was not run. */
	readonly promises: ReadonlySet<number>;
	/** Mechanisms that an experiment switches off. */
	readonly disabled?: DisabledMechanisms;
	/** @returns the retry and hedge budgets that this node may accumulate. */
	budgetBursts(): BudgetBursts;
	/**
	 * @param id - id of the executor.
	 * @returns a runner that delivers attempts to the executor.
	 */
	runnerTo(id: string): AttemptRunner;
}

type Progress = {
	/** Attempts sent to an executor. */
	attempts: number;
	/** Attempts known to have reached, or assumed to have reached, a backend server. */
	arrivals: number;
	connectionLosses: number;
	busyRefusals: number;
	hedges: number;
	executor: string | undefined;
	/** Result of the latest attempt that may have run. */
	maybeExecuted: AttemptResult | undefined;
	/** Error response of a backend server; returned to the caller if no later attempt succeeds. */
	failure: AnsweredAttempt | undefined;
	readonly tried: Set<string>;
};

/** An idempotent call with a pending attempt, which may be hedged by a second attempt. */
type HedgeCandidate = {
	call: Call;
	progress: Progress;
	executor: Member;
	race: HedgeRace;
	sentAt: Millis;
};

/**
 * Refusals that do not indicate load. Retries after them do not consume the retry budget; the set of
 * tried executors bounds their number.
 */
const unbudgetedRefusals: ReadonlySet<RefusalReason> = new Set([
	RefusalReason.Draining,
	RefusalReason.NoBackend,
	RefusalReason.LinkUnreachable,
	RefusalReason.LinkSilent,
	RefusalReason.BackendReplaced,
	RefusalReason.ZoneEvacuated,
	RefusalReason.RegionNotAllowed,
]);
/** Refusals by the backend server itself, which count as attempts that reached it. */
const backendRefusals: ReadonlySet<RefusalReason> = new Set([
	RefusalReason.BackendRefused,
	RefusalReason.BackendReplaced,
]);
/** Refusals after which a call goes to another executor or queues, as nothing reached the backend server. */
const busyReasons: ReadonlySet<RefusalReason> = new Set([
	RefusalReason.Busy,
	RefusalReason.BackendSlow,
	RefusalReason.RateLimited,
	RefusalReason.BackendCold,
	RefusalReason.ZoneShort,
]);
/** After this many refusals by busy executors, a call queues at the executor that it is sent to. */
const maxBusyRefusals = 2;
/** A request that was in flight when two backend servers crashed is not sent to a third one. */
const maxConnectionLosses = 2;
/** Attempts that a busy executor may refuse instead of queueing, as a share of the calls. */
const retryElsewhereShare = 0.5;
/** How long an unavailable executor receives no calls that another executor can take. */
const avoidDuration: Millis = second;
/** Time left below which a call is not retried: a short run including transfer takes about 20 ms. */
const minRetryTime: Millis = 20;
/** Interval at which a call without an executor looks for one. */
const executorPollInterval: Millis = 20;
/** Interval at which a pending attempt is checked again for hedging. */
const hedgeRecheckInterval: Millis = 80;
const serverErrorStatus = 500;

/** Sends attempts of a call to executors until it is answered or must be refused. */
export class CallRunner {
	private readonly budgets: CallBudgets;
	private readonly retryElsewhereBudget = new RatioBudget();
	private readonly hedgeCandidates = new Map<string, Set<HedgeCandidate>>();
	private sequence = 0;

	constructor(private readonly deps: CallRunnerDependencies) {
		this.budgets = new CallBudgets(() => deps.budgetBursts());
	}

	/**
	 * @param call - the call to run.
	 * @returns the end of the call.
	 */
	async run(call: Call): Promise<CallEnd> {
		this.budgets.earn(call);
		this.retryElsewhereBudget.deposit(retryElsewhereShare);
		return this.runAttempts(call, createProgress());
	}

	/**
	 * @param call - a call whose body was not read yet.
	 * @returns the end of the call if it is refused for want of an executor; undefined otherwise.
	 */
	async refuseAhead(call: Call): Promise<CallEnd | undefined> {
		const progress = createProgress();
		const executor = this.choose(call, progress) ?? (await this.awaitExecutor(call, progress));
		if (executor) {
			return undefined;
		}

		const reason = this.deps.placement.noExecutorReason(this.query(call, progress));
		return this.createCallEnd(call, createRefused(reason), progress);
	}

	/**
	 * Checks the pending attempts at an executor for hedging after the executor has become slow.
	 * @param id - id of the executor.
	 */
	reconsiderHedges(id: string): void {
		for (const candidate of this.hedgeCandidates.get(id) ?? []) {
			this.tryHedge(candidate);
		}
	}

	private async runAttempts(call: Call, progress: Progress): Promise<CallEnd> {
		const undoDeadline = this.deps.clock.after(
			call.deadline.timeLeft(this.deps.clock.now()),
			() => {
				call.cancellation.cancel();
			},
		);
		let last: AttemptResult | undefined;
		for (;;) {
			const executor =
				this.choose(call, progress) ??
				this.chooseForQueueing(call, progress) ??
				// eslint-disable-next-line no-await-in-loop
				(await this.awaitExecutor(call, progress));
			if (!executor) {
				last ??= createRefused(this.deps.placement.noExecutorReason(this.query(call, progress)));
				break;
			}

			// Attempts are sequential: each one depends on the result of the previous one.
			// eslint-disable-next-line no-await-in-loop
			last = await this.attempt(call, executor, progress);
			this.recordArrival(last, progress);
			if (!this.canRetry(call, last, progress)) {
				break;
			}
		}

		const result = this.combineResults(last, progress);
		releaseWithAnswer(result, undoDeadline);
		return this.createCallEnd(call, result, progress);
	}

	private async replaceAnswer(call: Call, progress: Progress): Promise<CallEnd> {
		const lost = createUnknown(RefusalReason.BackendLost);
		progress.maybeExecuted = lost;
		return this.canRetry(call, lost, progress)
			? this.runAttempts(call, progress)
			: this.createCallEnd(call, lost, progress);
	}

	private createCallEnd(call: Call, result: AttemptResult, progress: Progress): CallEnd {
		const {attempts, executor} = progress;
		const isRefused = result.end === AttemptEnd.Refused;
		const roomIn = isRefused
			? this.deps.placement.retryAfterHint({...this.query(call, progress), excluded: new Set()})
			: undefined;
		const isReplaceable =
			call.head.isIdempotent &&
			result.end === AttemptEnd.Answered &&
			result.body.stream !== undefined;
		const replaceAnswer = isReplaceable
			? async () => this.replaceAnswer(call, progress)
			: undefined;
		return {result, attempts, executor, replaceAnswer, retryAfter: roomIn};
	}

	// A call is reported as "not run" only if none of its attempts can have run.
	private combineResults(last: AttemptResult, progress: Progress): AttemptResult {
		const {maybeExecuted, failure} = progress;
		if (last.end === AttemptEnd.Answered || !maybeExecuted) {
			return last;
		}

		if (failure) {
			return failure;
		}

		return last.end === AttemptEnd.Refused ? maybeExecuted : last;
	}

	private recordArrival(result: AttemptResult, progress: Progress): void {
		if (result.end !== AttemptEnd.Refused) {
			progress.arrivals += 1;
			progress.maybeExecuted = result;
			progress.failure = isServerFailure(result) ? result : progress.failure;
		} else if (backendRefusals.has(result.reason)) {
			progress.arrivals += 1;
		}
	}

	private query(call: Call, progress: Progress): PlacementQuery {
		const now = this.deps.clock.now();
		const {head, deadline, objective, body} = call;
		return {
			service: head.service,
			kind: callKind(head.service, head.origin.route),
			priority: head.origin.priority,
			isIdempotent: head.isIdempotent,
			timeLeft: deadline.timeLeft(now),
			objective: call.objectiveDuration,
			objectiveLeft: objective.timeLeft(now),
			requestBytes: body.bytes?.length ?? body.length ?? 0,
			excluded: progress.tried,
			allowedRegions: head.allowedRegions,
		};
	}

	private choose(call: Call, progress: Progress): Member | undefined {
		return this.deps.placement.choose(this.query(call, progress));
	}

	// All executors were busy: the call queues at one of them instead of being refused.
	private chooseForQueueing(call: Call, progress: Progress): Member | undefined {
		if (progress.busyRefusals === 0 || progress.busyRefusals >= maxBusyRefusals) {
			return undefined;
		}

		progress.busyRefusals = maxBusyRefusals;
		progress.tried.clear();
		return this.choose(call, progress);
	}

	// An executor may become available soon, and a caller that is refused may have no retry left.
	private async awaitExecutor(call: Call, progress: Progress): Promise<Member | undefined> {
		const {clock, placement} = this.deps;
		const until = clock.now() + placement.maxWaitForExecutor(this.query(call, progress));
		while (clock.now() < until && !call.cancellation.isCanceled) {
			await pause(clock, executorPollInterval); // eslint-disable-line no-await-in-loop
			const executor = this.choose(call, progress);
			if (executor) {
				return executor;
			}
		}

		return undefined;
	}

	private async attempt(call: Call, executor: Member, progress: Progress): Promise<AttemptResult> {
		const first = this.send(call, executor, progress);
		const isHedgeable =
			!this.deps.disabled?.has(Mechanism.Hedging) &&
			call.head.isIdempotent &&
			call.body.bytes !== undefined;
		if (!isHedgeable) {
			return first.result;
		}

		const race = new HedgeRace(first);
		const sentAt = this.deps.clock.now();
		const candidate: HedgeCandidate = {call, progress, executor, race, sentAt};
		const undo = this.trackHedgeCandidate(candidate);
		const result = await race.result;
		undo();
		return result;
	}

	private trackHedgeCandidate(candidate: HedgeCandidate): () => void {
		const {call, progress, executor} = candidate;
		const executorCandidates = this.hedgeCandidates.get(executor.id) ?? new Set();
		executorCandidates.add(candidate);
		this.hedgeCandidates.set(executor.id, executorCandidates);
		const delay = this.deps.placement.hedgeDelay(this.query(call, progress), executor);
		const undo = delay === undefined ? undefined : this.scheduleRecheck(candidate, delay);
		return () => {
			undo?.();
			executorCandidates.delete(candidate);
			if (executorCandidates.size === 0) {
				this.hedgeCandidates.delete(executor.id);
			}
		};
	}

	// A hedge that is not worth its cost while the call can still meet its objective may become worth it
	// once the objective is missed: a late answer is better than none.
	private scheduleRecheck(candidate: HedgeCandidate, delay: Millis): Undo {
		const {clock} = this.deps;
		let undo: Undo = clock.after(delay, () => {
			this.tryHedge(candidate);
			if (candidate.progress.hedges === 0 && candidate.race.isOpen) {
				undo = this.scheduleRecheck(candidate, hedgeRecheckInterval);
			}
		});
		return () => {
			undo();
		};
	}

	private tryHedge({call, progress, executor, race, sentAt}: HedgeCandidate): void {
		const {clock, placement, metrics, logger} = this.deps;
		const isEnded = call.cancellation.isCanceled || call.deadline.isPast(clock.now());
		const isLimitReached = progress.arrivals + 1 >= call.policy.maxAttempts || progress.hedges > 0;
		if (isEnded || isLimitReached || !race.isOpen) {
			return;
		}

		const query = this.query(call, progress);
		const other = placement.hedgeExecutor(query, executor, clock.now() - sentAt);
		if (!other || !this.budgets.trySpendHedge(call)) {
			return;
		}

		progress.arrivals += 1;
		progress.hedges += 1;
		metrics.retries.inc({reason: RetryReason.Hedge});
		logger.log(logEvents.callHedged, {
			request: call.head.origin.requestId,
			slow: executor.id,
			executor: other.id,
			objectiveLeft: Math.round(query.objectiveLeft),
		});
		race.add(this.send(call, other, progress));
	}

	private send(call: Call, executor: Member, progress: Progress): SentAttempt {
		const {placement, metrics, clock} = this.deps;
		const cancellation = new Cancellation();
		const undo = call.cancellation.registerListener(() => {
			cancellation.cancel();
		});
		const attempt = this.createAttempt(call, executor, progress, cancellation);
		progress.attempts += 1;
		progress.executor = executor.id;
		progress.tried.add(executor.id);
		metrics.attempts.inc();
		const query = this.query(call, progress);
		placement.recordSent(query, executor);
		const startedAt = clock.now();
		const run = async (): Promise<AttemptResult> => {
			const reported = await this.deps.runnerTo(executor.id).run(attempt);
			const result = this.withoutUnsoundReport(call, reported);
			releaseWithAnswer(result, undo);
			this.recordEnd(query, executor, result, startedAt);
			return result;
		};

		return {cancellation, result: run()};
	}

	// Nodes of earlier versions report such answers of their backend servers as they are.
	private withoutUnsoundReport({head}: Call, result: AttemptResult): AttemptResult {
		const {promises} = this.deps;
		if (!isUnsoundReport(result, {promises, isIdempotent: head.isIdempotent})) {
			return result;
		}

		discardAnswer(result);
		return createUnknown(RefusalReason.BackendFailed);
	}

	private createAttempt(
		call: Call,
		executor: Member,
		progress: Progress,
		cancellation: Cancellation,
	): Attempt {
		this.sequence += 1;
		const id: AttemptId = {instance: this.deps.instance, sequence: this.sequence};
		const {head, deadline, objective, body, policy} = call;
		const canRetryElsewhere =
			!this.deps.disabled?.has(Mechanism.EarlyRefusal) &&
			progress.busyRefusals < maxBusyRefusals &&
			this.retryElsewhereBudget.trySpend();
		return {
			id,
			head,
			share: policy.share,
			deadline,
			objective,
			canRetryElsewhere,
			body,
			transferTime: body.stream
				? this.deps.placement.transferTime?.(this.query(call, progress), executor)
				: undefined,
			cancellation,
		};
	}

	private recordEnd(
		query: PlacementQuery,
		executor: Member,
		result: AttemptResult,
		sentAt: Millis,
	): void {
		const {placement} = this.deps;
		const load = result.end === AttemptEnd.Unknown ? undefined : result.load;
		const isAnswered = result.end === AttemptEnd.Answered;
		const answerBytes = isAnswered ? (result.body.bytes?.length ?? 0) : undefined;
		const isFailure =
			(isAnswered && result.status >= serverErrorStatus) || result.end === AttemptEnd.Unknown;
		placement.recordEnded(query, executor, {sentAt, load, answerBytes, isFailure});
		const isUnavailable =
			!isAnswered &&
			(result.reason === RefusalReason.LinkUnreachable ||
				result.reason === RefusalReason.ExecutorLost ||
				result.reason === RefusalReason.BackendUnreachable ||
				result.reason === RefusalReason.BackendReplaced ||
				result.reason === RefusalReason.ZoneEvacuated ||
				result.reason === RefusalReason.NoBackend);
		if (isUnavailable) {
			placement.avoid(executor.id, avoidDuration);
		}
	}

	private canRetry(call: Call, result: AttemptResult, progress: Progress): boolean {
		const {clock} = this.deps;
		const timeLeft = call.deadline.timeLeft(clock.now());
		if (call.cancellation.isCanceled || timeLeft < minRetryTime) {
			return false;
		}

		if (call.body.stream?.readableDidRead) {
			return false;
		}

		if (result.end === AttemptEnd.Refused) {
			const isAllowed = this.canRetryAfterRefusal(call, result.reason, progress);
			return isAllowed && this.recordRetry(call, RetryReason.NotRun, result.reason);
		}

		if (result.end === AttemptEnd.Answered && !isServerFailure(result)) {
			return false;
		}

		const reason = result.end === AttemptEnd.Answered ? RefusalReason.BackendFailed : result.reason;
		progress.connectionLosses += reason === RefusalReason.BackendLost ? 1 : 0;
		const isRepeatable =
			call.head.isIdempotent &&
			progress.connectionLosses < maxConnectionLosses &&
			progress.arrivals < call.policy.maxAttempts;
		if (!isRepeatable || !this.budgets.trySpendRetry(call)) {
			return false;
		}

		return this.recordRetry(call, RetryReason.IdempotentFailure, reason);
	}

	private recordRetry(call: Call, kind: RetryReason, reason: RefusalReason): true {
		this.deps.metrics.retries.inc({reason: kind});
		this.deps.logger.log(logEvents.callRetried, {
			request: call.head.origin.requestId,
			kind,
			reason,
			timeLeft: Math.round(call.deadline.timeLeft(this.deps.clock.now())),
		});
		return true;
	}

	private canRetryAfterRefusal(call: Call, reason: RefusalReason, progress: Progress): boolean {
		if (!refusals[reason].canRetryElsewhere) {
			return false;
		}

		// An attempt that may not be refused early is refused with `BackendCold` as well when it would be late.
		if (busyReasons.has(reason) && progress.busyRefusals < maxBusyRefusals) {
			progress.busyRefusals += 1;
			if (progress.busyRefusals >= maxBusyRefusals) {
				// The next attempt queues where it is sent, so all executors are eligible again.
				progress.tried.clear();
			}

			return true;
		}

		// The executor has replied on another link, so it can be tried again.
		if (reason === RefusalReason.LinkSilent && progress.executor !== undefined) {
			progress.tried.delete(progress.executor);
		}

		if (unbudgetedRefusals.has(reason)) {
			return true;
		}

		return (
			progress.attempts - progress.busyRefusals < call.policy.maxAttempts &&
			this.budgets.trySpendRetry(call)
		);
	}
}

function createProgress(): Progress {
	return {
		attempts: 0,
		arrivals: 0,
		connectionLosses: 0,
		busyRefusals: 0,
		hedges: 0,
		executor: undefined,
		maybeExecuted: undefined,
		failure: undefined,
		tried: new Set(),
	};
}

// While the body of an answer streams, the deadline timer and the cancellation listener stay
// registered, since a body may never end.
function releaseWithAnswer(result: AttemptResult, undo: Undo): void {
	const stream = result.end === AttemptEnd.Answered ? result.body.stream : undefined;
	if (stream) {
		stream.once('close', undo);
	} else {
		undo();
	}
}

// Only a buffered error response counts: it can still be replaced by the answer of another backend
// server, whereas a streamed one has already been started.
function isServerFailure(result: AttemptResult): result is AnsweredAttempt {
	return (
		result.end === AttemptEnd.Answered &&
		result.status >= serverErrorStatus &&
		result.body.bytes !== undefined
	);
}
