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

/** What a guarded store is made of. */
export interface GuardedStoreDependencies {
	readonly store: TableService & ObjectStore;
	readonly clock: Clock;
	readonly random: Random;
	readonly logger: Logger;
}

/** Refuses at once while the store does not answer, and tells when it is lost and regained. */
export class GuardedStore implements TableService, ObjectStore {
	private readonly breaker: CircuitBreaker;

	constructor(private readonly parts: GuardedStoreDependencies) {
		this.breaker = new CircuitBreaker(parts.clock, parts.random);
	}

	/** Whether the store has answered of late. */
	get isUp(): boolean {
		return !this.breaker.isOpen;
	}

	async write(operations: readonly WriteOperation[]): Promise<readonly WriteResult[]> {
		return this.guard(async () => this.parts.store.write(operations));
	}

	async read(key: string): Promise<Row | undefined> {
		return this.guard(async () => this.parts.store.read(key));
	}

	async list(prefix: string): Promise<readonly Row[]> {
		return this.guard(async () => this.parts.store.list(prefix));
	}

	async deleteAll(prefix: string): Promise<void> {
		return this.guard(async () => this.parts.store.deleteAll(prefix));
	}

	async put(name: string, content: string): Promise<void> {
		return this.guard(async () => this.parts.store.put(name, content));
	}

	async get(name: string): Promise<string | undefined> {
		return this.guard(async () => this.parts.store.get(name));
	}

	private async guard<T>(work: () => Promise<T>): Promise<T> {
		if (!this.breaker.mayAsk()) {
			throw new StoreUnavailableError('the store has not answered of late');
		}

		try {
			const result = await work();
			if (this.breaker.noteSuccess()) {
				this.parts.logger.log(logEvents.storeUp);
			}

			return result;
		} catch (err) {
			if (err instanceof StoreUnavailableError && this.breaker.noteFailure()) {
				this.parts.logger.log(logEvents.storeDown, {error: String(err)});
			}

			throw err;
		}
	}
}
