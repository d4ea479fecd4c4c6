import type {Clock, Millis} from '../clock/index.js';
import {
	Precondition,
	StoreUnavailableError,
	type Row,
	type TableService,
	type WriteOperation,
} from '../store/index.js';
import {withResolvers} from '../util/index.js';
import {claimKeys} from './claim-keys.js';

/** The node that owns a key and decides whether the call with this key runs. */
export interface KeyOwner {
	/** Id of the node, which is its address. */
	readonly id: string;
	/** Incarnation of the node. */
	readonly instance: string;
}

export interface ClaimWriterDependencies {
	readonly clock: Clock;
	readonly store: TableService;
	readonly self: KeyOwner;
}

type PendingClaim = {
	readonly operation: WriteOperation;
	readonly resolve: (owner: KeyOwner | undefined) => void;
};

/** Time for which a claim waits for further claims that share its transaction. */
const batchDelay: Millis = 2;
const maxBatchSize = 100;
const maxPendingClaims = 5000;

/**
 * Claims idempotency keys by conditional inserts into a table of the platform's store. Claims are
 * batched into transactions, as the table accepts several hundred writes per second from all nodes
 * together.
 */
export class ClaimWriter {
	private readonly pending: PendingClaim[] = [];
	private isWriting = false;

	constructor(private readonly deps: ClaimWriterDependencies) {}

	/**
	 * @param key - service, customer and idempotency key.
	 * @param retention - how long the key is remembered, in ms.
	 * @returns the owner of the key, which is this node if its claim was the first; undefined when the
	 * store does not answer or too many claims are pending.
	 */
	async claim(key: string, retention: Millis): Promise<KeyOwner | undefined> {
		if (this.pending.length >= maxPendingClaims) {
			return undefined;
		}

		const {clock, self} = this.deps;
		const {current: rowKey, others} = claimKeys(key, clock.wallNow(), retention);
		const {promise, resolve} = withResolvers<KeyOwner | undefined>();
		const value = JSON.stringify(self);
		const operation = {key: rowKey, value, expect: Precondition.Absent, alsoAbsent: others};
		this.pending.push({operation, resolve});
		if (!this.isWriting) {
			this.isWriting = true;
			clock.after(batchDelay, () => {
				void this.flush();
			});
		}

		return promise;
	}

	private async flush(): Promise<void> {
		while (this.pending.length > 0) {
			const batch = this.pending.splice(0, maxBatchSize);
			// Batches are written one after another; the next one accumulates in the meantime.
			await this.writeBatch(batch); // eslint-disable-line no-await-in-loop
		}

		this.isWriting = false;
	}

	private async writeBatch(batch: readonly PendingClaim[]): Promise<void> {
		try {
			const results = await this.writeWithRetry(batch.map((item) => item.operation));
			for (const [i, item] of batch.entries()) {
				const result = results[i];
				item.resolve(result?.isApplied ? this.deps.self : ownerOf(result?.row));
			}
		} catch {
			for (const item of batch) {
				item.resolve(undefined);
			}
		}
	}

	// If the answer of the store is lost, the write is repeated: it then returns the existing row, which
	// names the owner.
	private async writeWithRetry(operations: readonly WriteOperation[]) {
		try {
			return await this.deps.store.write(operations);
		} catch (err) {
			if (err instanceof StoreUnavailableError) {
				return this.deps.store.write(operations);
			}

			throw err;
		}
	}
}

function ownerOf(row: Row | undefined): KeyOwner | undefined {
	// Only this class writes rows of claims.
	return row && (JSON.parse(row.value) as KeyOwner); // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
}
