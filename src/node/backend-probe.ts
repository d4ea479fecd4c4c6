import {request} from 'undici';
import {TokenBucket} from '../budget/index.js';
import {second, type Clock, type Millis} from '../clock/index.js';
import type {RevisionKeeper} from '../declaration/index.js';
import {formatEndpoint} from '../settings/index.js';
import type {Metrics} from '../telemetry/index.js';
import type {BackendKeeper} from './backend-keeper.js';

/** What a probe is made of. */
export interface BackendProbeParts {
	readonly clock: Clock;
	readonly metrics: Metrics;
	readonly backend: BackendKeeper;
	readonly keeper: RevisionKeeper;
}

const probePeriod: Millis = 2 * second;
const probeTimeout: Millis = second;
const budgetDepth = 10;
const defaultBudget = 6;

/**
 * Asks the health endpoint of the backend server as a cross-check: it lags and misleads, so only
 * a refused connection counts. Time spent is charged to a budget; when it is empty, probes stop.
 */
export class BackendProbe {
	private readonly budget: TokenBucket;

	constructor(private readonly parts: BackendProbeParts) {
		this.budget = new TokenBucket(parts.clock, defaultBudget, budgetDepth);
	}

	/** Starts probing. */
	start(): void {
		this.parts.clock.repeat(probePeriod, () => {
			void this.probe();
		});
	}

	private async probe(): Promise<void> {
		const {backend, clock, keeper, metrics} = this.parts;
		const target = backend.current;
		if (!target?.healthPath) {
			return;
		}

		const policy = keeper.inForce?.service(target.service);
		this.budget.setRate(policy?.probeBudget ?? defaultBudget);
		if (this.budget.level <= 0) {
			return;
		}

		const startedAt = clock.now();
		try {
			const res = await request(`http://${formatEndpoint(target)}${target.healthPath}`, {
				signal: AbortSignal.timeout(probeTimeout),
			});
			await res.body.dump();
		} catch (err) {
			if (isRefused(err)) {
				backend.noteUnreachable();
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
