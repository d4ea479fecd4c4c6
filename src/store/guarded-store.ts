import type {Clock} from '../clock/index.js';
import type {Random} from '../random/index.js';
import {logEvents, type Logger} from '../telemetry/index.js';
import {CircuitBreaker} from './circuit-breaker.js';
import {
	StoreUnavailableError,
	type ObjectStore,
	type Row,
	type TableService,
	type WriteOperation,
	type WriteResult,
} from './platform-store.js';

export interface GuardedStoreDependencies {
	readonly store: TableService & ObjectStore;
	readonly clock: Clock;
	readonly random: Random;
	readonly logger: Logger;
}

/**
 * Rejects requests at once while the circuit breaker of the store is open, and logs when it opens and
 * closes.
 */
export class GuardedStore implements TableService, ObjectStore {
	private readonly breaker: CircuitBreaker;

	constructor(private readonly deps: GuardedStoreDependencies) {
		this.breaker = new CircuitBreaker(deps.clock, deps.random);
	}

	/** Whether the circuit breaker is closed. */
	get isUp(): boolean {
		return !this.breaker.isOpen;
	}

	async write(operations: readonly WriteOperation[]): Promise<readonly WriteResult[]> {
		return this.guard(async () => this.deps.store.write(operations));
	}

	async read(key: string): Promise<Row | undefined> {
		return this.guard(async () => this.deps.store.read(key));
	}

	async list(prefix: string): Promise<readonly Row[]> {
		return this.guard(async () => this.deps.store.list(prefix));
	}

	async deleteAll(prefix: string): Promise<void> {
		return this.guard(async () => this.deps.store.deleteAll(prefix));
	}

	async put(name: string, content: string): Promise<void> {
		return this.guard(async () => this.deps.store.put(name, content));
	}

	async get(name: string): Promise<string | undefined> {
		return this.guard(async () => this.deps.store.get(name));
	}

	private async guard<T>(work: () => Promise<T>): Promise<T> {
		if (!this.breaker.allowsRequest()) {
			throw new StoreUnavailableError('circuit breaker open: the latest store requests failed');
		}

		try {
			const result = await work();
			if (this.breaker.recordSuccess()) {
				this.deps.logger.log(logEvents.storeUp);
			}

			return result;
		} catch (err) {
			if (err instanceof StoreUnavailableError && this.breaker.recordFailure()) {
				this.deps.logger.log(logEvents.storeDown, {error: String(err)});
			}

			throw err;
		}
	}
}
