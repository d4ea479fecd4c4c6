import {RatioBudget} from '../budget/index.js';
import {RefusalReason, refusals, type AttemptId} from '../call/index.js';
import {second, type Clock, type Millis, type Undo} from '../clock/index.js';
import {
	AttemptEnd,
	Cancellation,
	createRefused,
	type AnsweredAttempt,
	type Attempt,
	type AttemptResult,
	type AttemptRunner,
	type Call,
	type CallEnd,
} from '../exchange/index.js';
import type {Member} from '../membership/index.js';
import type {Placement, PlacementQuery} from '../routing/index.js';
import {logEvents, RetryReason, type Logger, type Metrics} from '../telemetry/index.js';
import {pause} from '../util/index.js';
import {CallBudgets, type BudgetBursts} from './call-budgets.js';
import {HedgeRace, type SentAttempt} from './hedge.js';

/** What a call runner is made of. */
export interface CallRunnerDependencies {
	readonly clock: Clock;
	readonly metrics: Metrics;
	readonly logger: Logger;
	readonly placement: Placement;
	/** Incarnation of this node. */
	readonly instance: string;
	/** @returns what this node may save up of the budgets for further attempts. */
	budgetBursts(): BudgetBursts;
	/**
	 * @param id - an executor.
	 * @returns who takes attempts to it.
	 */
	runnerTo(id: string): AttemptRunner;
}

type Progress = {
	/** Attempts that were sent to an executor. */
	attempts: number;
	/** Attempts that have reached a backend server, as far as is known. */
	arrivals: number;
	broken: number;
	bounces: number;
	hedges: number;
	executor: string | undefined;
	/** How an earlier attempt ended that may have run. */
	maybeRun: AttemptResult | undefined;
	/** The backend server's own failure; told when no further attempt ends better. */
	failure: AnsweredAttempt | undefined;
	readonly tried: Set<string>;
};

/** An idempotent call whose attempt is out, and that a second attempt may join. */
type Watched = {
	call: Call;
	progress: Progress;
	executor: Member;
	race: HedgeRace;
	sentAt: Millis;
};

/** Refusals that say nothing of the load, and so cost no retry budget; the tried set bounds them. */
const freeRetries: ReadonlySet<RefusalReason> = new Set([
	RefusalReason.Draining,
	RefusalReason.NoBackend,
	RefusalReason.LinkUnreachable,
	RefusalReason.BackendReplaced,
]);
/** Refusals by the backend server itself: the request has arrived there. */
const arrivedRefusals: ReadonlySet<RefusalReason> = new Set([
	RefusalReason.BackendRefused,
	RefusalReason.BackendReplaced,
]);
const maxBounces = 2;
/** A request that was in flight at two crashes is not given to a third backend server. */
const maxBroken = 2;
const bounceShare = 0.5;
/** How long an executor that could not be reached gets no call that another one can take. */
const avoidTime: Millis = second;
/** A further attempt needs its way and a run; short ones take about so long. */
const leastRetryTime: Millis = 20;
/** How often a call that waits for an executor looks for one. */
const awaitPeriod: Millis = 20;
/** How often an attempt that takes long is looked at again. */
const reconsiderPeriod: Millis = 80;
const serverErrorStatus = 500;

/** Chooses executors for a call until it is answered or must be refused. */
export class CallRunner {
	private readonly budgets: CallBudgets;
	private readonly bounces = new RatioBudget();
	private readonly watched = new Map<string, Set<Watched>>();
	private sequence = 0;

	constructor(private readonly parts: CallRunnerDependencies) {
		this.budgets = new CallBudgets(() => parts.budgetBursts());
	}

	/**
	 * @param call - what to run.
	 * @returns how it ended.
	 */
	async run(call: Call): Promise<CallEnd> {
		this.budgets.earn(call.policy);
		this.bounces.deposit(bounceShare);
		const progress: Progress = {
			attempts: 0,
			arrivals: 0,
			broken: 0,
			bounces: 0,
			hedges: 0,
			executor: undefined,
			maybeRun: undefined,
			failure: undefined,
			tried: new Set(),
		};
		const undoDeadline = this.parts.clock.after(
			call.deadline.timeLeft(this.parts.clock.now()),
			() => {
				call.cancellation.cancel();
			},
		);
		let last: AttemptResult | undefined;
		for (;;) {
			const executor =
				this.choose(call, progress) ??
				this.chooseToWait(call, progress) ??
				// eslint-disable-next-line no-await-in-loop
				(await this.awaitExecutor(call, progress));
			if (!executor) {
				last ??= createRefused(this.parts.placement.noExecutorReason(this.query(call, progress)));
				break;
			}

			// Attempts follow each other: the next one depends on how the last one ended.
			// eslint-disable-next-line no-await-in-loop
			last = await this.attempt(call, executor, progress);
			this.noteArrival(last, progress);
			if (!this.mayTryAgain(call, last, progress)) {
				break;
			}
		}

		const result = this.truth(last, progress);
		endWithAnswer(result, undoDeadline);
		return this.endOf(call, result, progress);
	}

	/**
	 * An executor has become slow: calls that wait for it may get a second attempt.
	 * @param id - the executor.
	 */
	reconsiderHedges(id: string): void {
		for (const watched of this.watched.get(id) ?? []) {
			this.tryHedge(watched);
		}
	}

	private endOf(call: Call, result: AttemptResult, progress: Progress): CallEnd {
		const {attempts, executor} = progress;
		const isRefused = result.end === AttemptEnd.Refused;
		const roomIn = isRefused
			? this.parts.placement.retryAfterHint({...this.query(call, progress), excluded: new Set()})
			: undefined;
		return {result, attempts, executor, retryAfter: roomIn};
	}

	// "Not run" holds for the call only if it holds for each of its attempts.
	private truth(last: AttemptResult, progress: Progress): AttemptResult {
		const {maybeRun, failure} = progress;
		if (last.end === AttemptEnd.Answered || !maybeRun) {
			return last;
		}

		if (failure) {
			return failure;
		}

		return last.end === AttemptEnd.Refused ? maybeRun : last;
	}

	private noteArrival(result: AttemptResult, progress: Progress): void {
		if (result.end !== AttemptEnd.Refused) {
			progress.arrivals += 1;
			progress.maybeRun = result;
			progress.failure = isServerFailure(result) ? result : progress.failure;
		} else if (arrivedRefusals.has(result.reason)) {
			progress.arrivals += 1;
		}
	}

	private query(call: Call, progress: Progress): PlacementQuery {
		const now = this.parts.clock.now();
		const {head, deadline, objective, body} = call;
		return {
			service: head.service,
			kind: `${head.service} ${head.origin.route}`,
			priority: head.origin.priority,
			isIdempotent: head.isIdempotent,
			timeLeft: deadline.timeLeft(now),
			objective: call.objectiveDuration,
			objectiveLeft: objective.timeLeft(now),
			requestBytes: body.bytes?.length ?? 0,
			excluded: progress.tried,
		};
	}

	private choose(call: Call, progress: Progress): Member | undefined {
		return this.parts.placement.choose(this.query(call, progress));
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

	// One may come back soon, and a refused caller may have no further try.
	private async awaitExecutor(call: Call, progress: Progress): Promise<Member | undefined> {
		const {clock, placement} = this.parts;
		const until = clock.now() + placement.maxWaitForExecutor(this.query(call, progress));
		while (clock.now() < until && !call.cancellation.isCanceled) {
			await pause(clock, awaitPeriod); // eslint-disable-line no-await-in-loop
			const executor = this.choose(call, progress);
			if (executor) {
				return executor;
			}
		}

		return undefined;
	}

	private async attempt(call: Call, executor: Member, progress: Progress): Promise<AttemptResult> {
		const first = this.send(call, executor, progress);
		const isHedgeable = call.head.isIdempotent && call.body.bytes !== undefined;
		if (!isHedgeable) {
			return first.result;
		}

		const race = new HedgeRace(first);
		const sentAt = this.parts.clock.now();
		const watched: Watched = {call, progress, executor, race, sentAt};
		const undo = this.watch(watched);
		const result = await race.result;
		undo();
		return result;
	}

	private watch(watched: Watched): () => void {
		const {call, progress, executor} = watched;
		const ofExecutor = this.watched.get(executor.id) ?? new Set();
		ofExecutor.add(watched);
		this.watched.set(executor.id, ofExecutor);
		const delay = this.parts.placement.hedgeDelay(this.query(call, progress), executor);
		const undo = delay === undefined ? undefined : this.reconsiderLater(watched, delay);
		return () => {
			undo?.();
			ofExecutor.delete(watched);
			if (ofExecutor.size === 0) {
				this.watched.delete(executor.id);
			}
		};
	}

	// A second attempt that is not worth its cost while the call can be in time may be so when it no
	// longer can: a late answer is better than none.
	private reconsiderLater(watched: Watched, delay: Millis): Undo {
		const {clock} = this.parts;
		let undo: Undo = clock.after(delay, () => {
			this.tryHedge(watched);
			if (watched.progress.hedges === 0 && watched.race.isOpen) {
				undo = this.reconsiderLater(watched, reconsiderPeriod);
			}
		});
		return () => {
			undo();
		};
	}

	private tryHedge({call, progress, executor, race, sentAt}: Watched): void {
		const {clock, placement, metrics, logger} = this.parts;
		const isOver = call.cancellation.isCanceled || call.deadline.isPast(clock.now());
		const isSpent = progress.arrivals + 1 >= call.policy.maxAttempts || progress.hedges > 0;
		if (isOver || isSpent || !race.isOpen) {
			return;
		}

		const query = this.query(call, progress);
		const other = placement.hedgeExecutor(query, executor, clock.now() - sentAt);
		if (!other || !this.budgets.trySpendHedge(call.policy.service)) {
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
		const {placement, metrics, clock} = this.parts;
		const cancellation = new Cancellation();
		const undo = call.cancellation.registerListener(() => {
			cancellation.cancel();
		});
		const attempt = this.createAttempt(call, progress, cancellation);
		progress.attempts += 1;
		progress.executor = executor.id;
		progress.tried.add(executor.id);
		metrics.attempts.inc();
		const query = this.query(call, progress);
		placement.recordSent(query, executor);
		const startedAt = clock.now();
		const run = async (): Promise<AttemptResult> => {
			const result = await this.parts.runnerTo(executor.id).run(attempt);
			endWithAnswer(result, undo);
			this.noteEnd(query, executor, result, startedAt);
			return result;
		};

		return {cancellation, result: run()};
	}

	private createAttempt(call: Call, progress: Progress, cancellation: Cancellation): Attempt {
		this.sequence += 1;
		const id: AttemptId = {instance: this.parts.instance, sequence: this.sequence};
		const {head, deadline, objective, body, policy} = call;
		const isBounceable = progress.bounces < maxBounces && this.bounces.trySpend();
		return {
			id,
			head,
			share: policy.share,
			deadline,
			objective,
			canRetryElsewhere: isBounceable,
			body,
			cancellation,
		};
	}

	private noteEnd(
		query: PlacementQuery,
		executor: Member,
		result: AttemptResult,
		sentAt: Millis,
	): void {
		const {placement} = this.parts;
		const load = result.end === AttemptEnd.Unknown ? undefined : result.load;
		const isAnswered = result.end === AttemptEnd.Answered;
		const answerBytes = isAnswered ? (result.body.bytes?.length ?? 0) : undefined;
		const isFailure =
			(isAnswered && result.status >= serverErrorStatus) || result.end === AttemptEnd.Unknown;
		placement.recordEnded(query, executor, {sentAt, load, answerBytes, isFailure});
		const isFault =
			!isAnswered &&
			(result.reason === RefusalReason.LinkUnreachable ||
				result.reason === RefusalReason.ExecutorLost ||
				result.reason === RefusalReason.BackendUnreachable ||
				result.reason === RefusalReason.BackendReplaced ||
				result.reason === RefusalReason.NoBackend);
		if (isFault) {
			placement.avoid(executor.id, avoidTime);
		}
	}

	private mayTryAgain(call: Call, result: AttemptResult, progress: Progress): boolean {
		const {clock} = this.parts;
		const timeLeft = call.deadline.timeLeft(clock.now());
		if (call.cancellation.isCanceled || timeLeft < leastRetryTime) {
			return false;
		}

		if (call.body.stream?.readableDidRead) {
			return false;
		}

		if (result.end === AttemptEnd.Refused) {
			const isAllowed = this.mayTryElsewhere(call, result.reason, progress);
			return isAllowed && this.noteRetry(call, RetryReason.NotRun, result.reason);
		}

		if (result.end === AttemptEnd.Answered && !isServerFailure(result)) {
			return false;
		}

		const reason = result.end === AttemptEnd.Answered ? RefusalReason.BackendFailed : result.reason;
		progress.broken += reason === RefusalReason.BackendLost ? 1 : 0;
		const isRepeatable =
			call.head.isIdempotent &&
			progress.broken < maxBroken &&
			progress.arrivals < call.policy.maxAttempts;
		if (!isRepeatable || !this.budgets.trySpendRetry(call.policy.service)) {
			return false;
		}

		return this.noteRetry(call, RetryReason.IdempotentFailure, reason);
	}

	private noteRetry(call: Call, kind: RetryReason, reason: RefusalReason): true {
		this.parts.metrics.retries.inc({reason: kind});
		this.parts.logger.log(logEvents.callRetried, {
			request: call.head.origin.requestId,
			kind,
			reason,
			timeLeft: Math.round(call.deadline.timeLeft(this.parts.clock.now())),
		});
		return true;
	}

	private mayTryElsewhere(call: Call, reason: RefusalReason, progress: Progress): boolean {
		if (!refusals[reason].canRetryElsewhere) {
			return false;
		}

		if (reason === RefusalReason.Busy || reason === RefusalReason.BackendSlow) {
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
			progress.attempts - progress.bounces < call.policy.maxAttempts &&
			this.budgets.trySpendRetry(call.policy.service)
		);
	}
}

// An answer whose body still streams stays bound to its call, as a body may never end.
function endWithAnswer(result: AttemptResult, undo: Undo): void {
	const stream = result.end === AttemptEnd.Answered ? result.body.stream : undefined;
	if (stream) {
		stream.once('close', undo);
	} else {
		undo();
	}
}

// A failure that is held as a whole can still be replaced by the answer of another backend server.
function isServerFailure(result: AttemptResult): result is AnsweredAttempt {
	return (
		result.end === AttemptEnd.Answered &&
		result.status >= serverErrorStatus &&
		result.body.bytes !== undefined
	);
}
