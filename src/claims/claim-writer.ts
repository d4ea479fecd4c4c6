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

/** The node that is home to a key. */
export interface KeyOwner {
	/** Address of the node. */
	readonly id: string;
	/** Incarnation of the node. */
	readonly instance: string;
}

/** What a claim writer is made of. */
export interface ClaimWriterDependencies {
	readonly clock: Clock;
	readonly store: TableService;
	readonly self: KeyOwner;
}

type Pending = {
	readonly operation: WriteOperation;
	readonly resolve: (home: KeyOwner | undefined) => void;
};

/** Claims wait so long for others, to share one transaction. */
const groupTime: Millis = 2;
const maxGroup = 100;
const maxPending = 5000;

/**
 * Claims idempotency keys by conditional inserts into the platform's table. Claims of some ms share
 * one transaction, as the table takes several hundred writes a second for everybody.
 */
export class ClaimWriter {
	private readonly pending: Pending[] = [];
	private isWriting = false;

	constructor(private readonly parts: ClaimWriterDependencies) {}

	/**
	 * @param key - service, customer and idempotency key.
	 * @param retention - how long the key is remembered, in ms.
	 * @returns the home of the key: this node if the claim is its own; undefined when the store does
	 * not answer, so that nothing is known.
	 */
	async claim(key: string, retention: Millis): Promise<KeyOwner | undefined> {
		if (this.pending.length >= maxPending) {
			return undefined;
		}

		const {clock, self} = this.parts;
		const {current: own, others} = claimKeys(key, clock.wallNow(), retention);
		const {promise, resolve} = withResolvers<KeyOwner | undefined>();
		const value = JSON.stringify(self);
		const operation = {key: own, value, expect: Precondition.Absent, alsoAbsent: others};
		this.pending.push({operation, resolve});
		if (!this.isWriting) {
			this.isWriting = true;
			clock.after(groupTime, () => {
				void this.flush();
			});
		}

		return promise;
	}

	private async flush(): Promise<void> {
		while (this.pending.length > 0) {
			const group = this.pending.splice(0, maxGroup);
			// Groups follow each other, so that the next one grows while this one is written.
			await this.writeGroup(group); // eslint-disable-line no-await-in-loop
		}

		this.isWriting = false;
	}

	private async writeGroup(group: readonly Pending[]): Promise<void> {
		try {
			const results = await this.writeOrRepeat(group.map((item) => item.operation));
			for (const [i, item] of group.entries()) {
				const result = results[i];
				item.resolve(result?.isApplied ? this.parts.self : homeOf(result?.row));
			}
		} catch {
			for (const item of group) {
				item.resolve(undefined);
			}
		}
	}

	// A lost answer is resolved by writing once more: the row that stands there tells whose it is.
	private async writeOrRepeat(operations: readonly WriteOperation[]) {
		try {
			return await this.parts.store.write(operations);
		} catch (err) {
			if (err instanceof StoreUnavailableError) {
				return this.parts.store.write(operations);
			}

			throw err;
		}
	}
}

function homeOf(row: Row | undefined): KeyOwner | undefined {
	// Rows of claims are written by this class only.
	return row && (JSON.parse(row.value) as KeyOwner); // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
}
