import {Agent} from 'undici';
import {TokenBucket} from '../budget/index.js';
import {second, type Clock, type Millis} from '../clock/index.js';
import type {RevisionTracker} from '../declaration/index.js';
import type {BackendProtocol} from '../executor/index.js';
import {formatEndpoint} from '../settings/index.js';
import type {Metrics} from '../telemetry/index.js';
import {pause} from '../util/index.js';
import type {BackendMonitor} from './backend-keeper.js';
import {toHeaderList} from './header-list.js';

/** How often and how much a node probes. */
export interface ProbeRate {
	/** Time between two looks whether a probe is due. */
	readonly period: Millis;
	/** Age from which on the known speed is read anew; probes are due always where undefined. */
	readonly maxSpeedAge: Millis | undefined;
	/** How long after the last call the speed is still kept fresh; a call asks for it anyway. */
	readonly idleTimeout: Millis;
	/** Time that probes may take at the backend server where nothing is declared, in ms a second. */
	readonly defaultBudget: Millis;
}

/** What a probe needs to know of the executor, and tells it. */
export interface ProbedExecutor {
	/** Age of what is known of the backend server's speed, in ms. */
	readonly speedAge: Millis;
	/** Time since a call last asked to run here, in ms. */
	readonly idleTime: Millis;
	/**
	 * @param slowdown - how many times longer than usual work takes.
	 */
	readSpeed(slowdown: number): void;
}

/** What a probe is made of. */
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
/** How long a call waits for the speed; a probe takes about 6 ms. Source: the users' sheets. */
const patience: Millis = 12;
const budgetDepth = 10;
/** How long calls go on without a probe after one that told no speed. */
const muteTime: Millis = second;

/** A cross-check of the product's own announcements. */
export const crossCheckRate: ProbeRate = {
	period: 2 * second,
	maxSpeedAge: undefined,
	idleTimeout: Number.POSITIVE_INFINITY,
	defaultBudget: 6,
};

/**
 * @param rate - how often probes are wanted.
 * @param executor - what is known there.
 * @returns whether a probe is worth its cost now.
 */
export function isProbeDue(
	{maxSpeedAge: speedAge, idleTimeout: idleAfter}: ProbeRate,
	executor: Pick<ProbedExecutor, 'speedAge' | 'idleTime'>,
): boolean {
	const isOld = speedAge === undefined || executor.speedAge >= speedAge;
	return isOld && executor.idleTime <= idleAfter;
}

/**
 * Asks the health endpoint of the backend server. Its verdict lags and misleads: a refused connection
 * counts, and the speed that it tells. Time spent is charged to a budget; when it is empty, probes
 * stop.
 */
export class BackendProbe {
	private readonly budget: TokenBucket;
	private readonly agent = new Agent({connections: 1});
	private out: Promise<void> | undefined;
	private isLooking = false;
	/** Until then the backend server is not asked by calls, as it did not tell its speed. */
	private muteUntil: Millis = 0;

	constructor(private readonly parts: BackendProbeDependencies) {
		this.budget = new TokenBucket(parts.clock, parts.rate.defaultBudget, budgetDepth);
	}

	/** Starts probing; where only calls need the speed, the first of them starts it. */
	start(): void {
		this.lookLater();
	}

	/** Probes, or waits for the probe that is out; for a short time, as calls wait for it. */
	async probeNow(): Promise<void> {
		this.lookLater();
		if (this.parts.clock.now() < this.muteUntil) {
			return;
		}

		if (!this.out) {
			this.out = this.probe();
			void this.out.then(() => {
				this.out = undefined;
			});
		}

		await Promise.race([this.out, pause(this.parts.clock, patience)]);
	}

	private lookLater(): void {
		const {clock, rate, executor} = this.parts;
		if (this.isLooking) {
			return;
		}

		this.isLooking = true;
		const untilDue = rate.maxSpeedAge === undefined ? 0 : rate.maxSpeedAge - executor.speedAge;
		clock.after(Math.max(rate.period, untilDue), () => {
			this.isLooking = false;
			if (executor.idleTime > rate.idleTimeout) {
				return;
			}

			if (!this.out && isProbeDue(rate, executor)) {
				void this.probeNow();
			}

			this.lookLater();
		});
	}

	private async probe(): Promise<void> {
		const {backend, clock, revisions: keeper, metrics, rate, protocol, executor} = this.parts;
		const target = backend.current;
		const policy = target && keeper.inForce?.service(target.service);
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
			const load = protocol.readLoad(toHeaderList(res.headers));
			if (load) {
				executor.readSpeed(load.slowdown);
			} else {
				this.muteUntil = clock.now() + muteTime;
			}
		} catch (err) {
			this.muteUntil = clock.now() + muteTime;
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
