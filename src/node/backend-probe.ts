import {Agent} from 'undici';
import {TokenBucket} from '../budget/index.js';
import {second, type Clock, type Millis} from '../clock/index.js';
import type {RevisionTracker} from '../declaration/index.js';
import {
	createHealthConnector,
	isAnswerStatus,
	type BackendNotice,
	type BackendProtocol,
} from '../executor/index.js';
import {formatEndpoint} from '../settings/index.js';
import type {Metrics} from '../telemetry/index.js';
import {pause} from '../util/index.js';
import type {BackendMonitor} from './backend-monitor.js';
import {toHeaderList} from './header-list.js';

/** Schedule and budget of the health probes. */
export interface ProbeRate {
	/** Interval between two checks whether a probe is due. */
	readonly period: Millis;
	/** Age from which the known speed is outdated; if undefined, a probe is due at every check. */
	readonly maxSpeedAge: Millis | undefined;
	/** Time after the last call during which the speed is kept up to date; a later call probes anyway. */
	readonly idleTimeout: Millis;
	/** Probe time allowed at the backend server if the declaration sets none, in ms per second. */
	readonly defaultBudget: Millis;
}

/** Part of the executor that the probe reads and updates. */
export interface ProbedExecutor {
	/** Age of the last speed reading of the backend server, in ms. */
	readonly speedAge: Millis;
	/** Time since the last request to run a call here, in ms. */
	readonly idleTime: Millis;
	/** Whether the backend server names a rate limit. */
	readonly isLimited: boolean;
	/**
	 * Records a speed reading.
	 * @param slowdown - factor by which a call takes longer than usual.
	 */
	readSpeed(slowdown: number): void;
	/**
	 * Records what the backend server says of itself.
	 * @param instance - instance that has answered.
	 * @param notice - the notice in its answer.
	 * @param sentAt - monotonic time in ms at which the request was sent.
	 */
	readNotice(instance: string, notice: BackendNotice, sentAt: Millis): void;
}

/** Collaborators of {@link BackendProbe}. */
export interface BackendProbeDependencies {
	readonly clock: Clock;
	readonly metrics: Metrics;
	readonly backend: BackendMonitor;
	readonly revisions: RevisionTracker;
	readonly protocol: BackendProtocol;
	readonly rate: ProbeRate;
	readonly executor: ProbedExecutor;
}

const probeTimeout: Millis = second;
/** How long a call waits for a speed reading; a probe takes about 6 ms. */
const probeWaitLimit: Millis = 12;
/** Probe time that can be saved up, in seconds of the rate. */
const budgetDepth = 10;
/** Interval at which an idle backend server is asked whether it still names a rate limit. */
const limitCheckPeriod: Millis = second;
/** How long calls trigger no probe after one that failed or reported no speed. */
const suppressionTime: Millis = second;

/** Rate at which health probes cross-check announcements of the native protocol. */
export const crossCheckRate: ProbeRate = {
	period: 2 * second,
	maxSpeedAge: undefined,
	idleTimeout: Number.POSITIVE_INFINITY,
	defaultBudget: 6,
};

/**
 * @param rate - schedule of the probes.
 * @param executor - age of the speed reading, and time since the last call.
 * @returns whether a probe is due: the speed reading is outdated and the backend server is not idle.
 */
export function isProbeDue(
	{maxSpeedAge, idleTimeout}: ProbeRate,
	executor: Pick<ProbedExecutor, 'speedAge' | 'idleTime'>,
): boolean {
	const isOutdated = maxSpeedAge === undefined || executor.speedAge >= maxSpeedAge;
	return isOutdated && executor.idleTime <= idleTimeout;
}

/**
 * Probes the health endpoint of the backend server. The health status lags and misleads, so only a
 * refused connection and the reported speed are used. The time spent is charged to a budget; while it
 * is exhausted, no probes are sent.
 */
export class BackendProbe {
	private readonly budget: TokenBucket;
	private readonly agent = new Agent({connections: 1, connect: createHealthConnector()});
	private pending: Promise<void> | undefined;
	private isScheduled = false;
	/** Time until which calls trigger no probe, as the last one failed or reported no speed. */
	private suppressedUntil: Millis = 0;

	constructor(private readonly deps: BackendProbeDependencies) {
		this.budget = new TokenBucket(deps.clock, deps.rate.defaultBudget, budgetDepth);
	}

	/** Starts the schedule; it pauses after `idleTimeout` without calls or a rate limit, and the next call resumes it. */
	start(): void {
		this.scheduleNext();
	}

	/** Sends a probe or joins the pending one; waits only briefly, as a call is waiting for the result. */
	async probeNow(): Promise<void> {
		this.scheduleNext();
		if (this.deps.clock.now() < this.suppressedUntil) {
			return;
		}

		if (!this.pending) {
			this.pending = this.probe();
			void this.pending.then(() => {
				this.pending = undefined;
			});
		}

		await Promise.race([this.pending, pause(this.deps.clock, probeWaitLimit)]);
	}

	private scheduleNext(): void {
		const {clock, rate, executor} = this.deps;
		if (this.isScheduled) {
			return;
		}

		this.isScheduled = true;
		clock.after(this.nextDelay(), () => {
			this.isScheduled = false;
			const isIdle = executor.idleTime > rate.idleTimeout;
			if (isIdle && !executor.isLimited) {
				return;
			}

			if (!this.pending && (isIdle || isProbeDue(rate, executor))) {
				void this.probeNow();
			}

			this.scheduleNext();
		});
	}

	// Without calls, only a probe can show that a rate limit is lifted.
	private nextDelay(): Millis {
		const {rate, executor} = this.deps;
		if (executor.isLimited && executor.idleTime > rate.idleTimeout) {
			return limitCheckPeriod;
		}

		const untilDue = rate.maxSpeedAge === undefined ? 0 : rate.maxSpeedAge - executor.speedAge;
		return Math.max(rate.period, untilDue);
	}

	private async probe(): Promise<void> {
		const {backend, clock, revisions, metrics, rate, protocol, executor} = this.deps;
		const target = backend.current;
		const policy = target && revisions.inForce?.service(target.service);
		const path = target?.healthPath === '' ? policy?.healthPath : target?.healthPath;
		if (!target || !path || !backend.isPresent) {
			return;
		}

		this.budget.setRate(policy && policy.probeBudget > 0 ? policy.probeBudget : rate.defaultBudget);
		if (this.budget.level <= 0) {
			return;
		}

		const startedAt = clock.now();
		try {
			const res = await this.agent.request({
				origin: `http://${formatEndpoint(target)}`,
				path,
				method: 'GET',
				signal: AbortSignal.timeout(probeTimeout),
			});
			await res.body.dump();
			if (!isAnswerStatus(res.statusCode)) {
				throw new Error(`unexpected HTTP status ${res.statusCode}`);
			}

			const headers = toHeaderList(res.headers);
			const instance = protocol.readInstance(headers) ?? target.instance;
			executor.readNotice(instance, protocol.readNotice(headers), startedAt);
			const load = protocol.readLoad(headers);
			if (load) {
				executor.readSpeed(load.slowdown);
			} else {
				this.suppressedUntil = clock.now() + suppressionTime;
			}
		} catch (err) {
			this.suppressedUntil = clock.now() + suppressionTime;
			if (isRefused(err)) {
				backend.markUnreachable();
			}
		} finally {
			const spent = clock.now() - startedAt;
			this.budget.charge(spent);
			metrics.probeTime.inc(spent);
		}
	}
}

function isRefused(err: unknown): boolean {
	return err instanceof Error && 'code' in err && err.code === 'ECONNREFUSED';
}
