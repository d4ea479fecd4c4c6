import {
	accept,
	parseHead,
	withAccepted,
	withdraw,
	type HeadRecord,
	type RevisionRecord,
} from '../declaration/index.js';
import {
	Precondition,
	StoreUnavailableError,
	type ObjectStore,
	type TableService,
} from '../store/index.js';
import {
	ackPrefix,
	contentName,
	headKey,
	historyKey,
	historyPrefix,
	zonePrefix,
} from './store-keys.js';

/** The head row with the etag needed to replace it. */
export interface HeadRow {
	readonly head: HeadRecord;
	/** Undefined when the row does not exist. */
	readonly etag: string | undefined;
}

/** Result of replacing the head. */
export enum HeadWriteResult {
	Written = 'written',
	/** Another writer has changed the head since it was read. */
	Conflict = 'conflict',
}

const maxAttempts = 5;

async function retryUnavailable<T>(work: () => Promise<T>, pause: () => Promise<void>): Promise<T> {
	for (let attempt = 1; ; attempt++) {
		try {
			return await work(); // eslint-disable-line no-await-in-loop
		} catch (err) {
			if (!(err instanceof StoreUnavailableError) || attempt >= maxAttempts) {
				throw err;
			}

			await pause(); // eslint-disable-line no-await-in-loop
		}
	}
}

/** Stores configuration revisions in the platform's store. */
export class DeclarationStore {
	constructor(private readonly store: TableService & ObjectStore) {}

	/** @returns the current head. */
	async readHead(): Promise<HeadRow> {
		const row = await this.store.read(headKey);
		return {head: parseHead(row?.value), etag: row?.etag};
	}

	/**
	 * Replaces the head if it has not changed since it was read. When the answer to the write was lost, a
	 * retry reads the head and compares it to find out whether the write was applied.
	 * @param before - the head as it was read.
	 * @param after - the new head.
	 * @param pause - waits between two attempts.
	 * @returns whether the head was replaced.
	 */
	async replaceHead(
		before: HeadRow,
		after: HeadRecord,
		pause: () => Promise<void>,
	): Promise<HeadWriteResult> {
		const value = JSON.stringify(after);
		return retryUnavailable(async () => this.tryReplaceHead(before, value), pause);
	}

	/**
	 * Writes a content. Idempotent, as the object is named by its hash.
	 * @param hash - hash of a content.
	 * @param content - the content.
	 * @param pause - waits between two attempts.
	 */
	async putContent(hash: string, content: string, pause: () => Promise<void>): Promise<void> {
		await retryUnavailable(async () => this.store.put(contentName(hash), content), pause);
	}

	/**
	 * @param hash - hash of a content.
	 * @returns the content.
	 */
	async getContent(hash: string): Promise<string | undefined> {
		return this.store.get(contentName(hash));
	}

	/**
	 * Records that every live member of a zone holds a revision.
	 * @param revision - the staged revision.
	 * @param zone - name of the zone.
	 */
	async acknowledge(revision: number, zone: string): Promise<void> {
		const key = `${ackPrefix(revision)}${zone}`;
		await this.store.write([{key, value: '{}', expect: Precondition.Any}]);
	}

	/**
	 * @param revision - the staged revision.
	 * @returns names of zones in use that have not acknowledged it.
	 */
	async unacknowledgedZones(revision: number): Promise<string[]> {
		const prefix = ackPrefix(revision);
		const acks = await this.store.list(prefix);
		const zones = await this.store.list(zonePrefix);
		const acknowledged = new Set(acks.map((row) => row.key.slice(prefix.length)));
		const names = zones.map((row) => row.key.slice(zonePrefix.length));
		return names.filter((name) => !acknowledged.has(name));
	}

	/**
	 * Accepts a staged revision that all zones have acknowledged.
	 * @param before - the head as it was read.
	 * @param pause - waits between two attempts.
	 */
	async acceptStaged(before: HeadRow, pause: () => Promise<void>): Promise<HeadWriteResult> {
		const {staged} = before.head;
		const result = await this.replaceHead(before, accept(before.head), pause);
		if (result === HeadWriteResult.Written && staged) {
			await this.addHistory(staged);
			await this.store.deleteAll(ackPrefix(staged.revision));
		}

		return result;
	}

	/**
	 * Writes an accepted revision again that the store has lost by a restore from an earlier state. A staged
	 * revision with a lower or equal number is dropped, as its number was given out before.
	 * @param before - the head as it was read, with an older accepted revision.
	 * @param record - the accepted revision.
	 * @param content - its content.
	 * @param pause - waits between two attempts.
	 */
	async restoreAccepted(
		before: HeadRow,
		record: RevisionRecord,
		content: string,
		pause: () => Promise<void>,
	): Promise<HeadWriteResult> {
		await this.putContent(record.hash, content, pause);
		const result = await this.replaceHead(before, withAccepted(before.head, record), pause);
		if (result === HeadWriteResult.Written) {
			await this.addHistory(record);
		}

		return result;
	}

	/**
	 * Withdraws the staged revision.
	 * @param before - the head as it was read.
	 * @param pause - waits between two attempts.
	 */
	async withdrawStaged(before: HeadRow, pause: () => Promise<void>): Promise<HeadWriteResult> {
		return this.replaceHead(before, withdraw(before.head), pause);
	}

	/** @returns the accepted revisions, oldest first. */
	async history(): Promise<RevisionRecord[]> {
		const rows = await this.store.list(historyPrefix);
		// The rows are written by this class only.
		return rows.map((row) => JSON.parse(row.value) as RevisionRecord); // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
	}

	/**
	 * Records that a zone is in use, and addresses of its nodes.
	 * @param zone - name of the zone.
	 * @param seeds - addresses of nodes.
	 */
	async registerZone(zone: string, seeds: readonly string[]): Promise<void> {
		const key = `${zonePrefix}${zone}`;
		await this.store.write([{key, value: JSON.stringify({seeds}), expect: Precondition.Any}]);
	}

	/**
	 * Records that a zone is no longer in use.
	 * @param zone - name of the zone.
	 */
	async retireZone(zone: string): Promise<void> {
		const key = `${zonePrefix}${zone}`;
		await this.store.write([{key, value: undefined, expect: Precondition.Any}]);
	}

	/** @returns addresses of nodes in all zones in use. */
	async seeds(): Promise<string[]> {
		const rows = await this.store.list(zonePrefix);
		const seeds: string[] = [];
		for (const row of rows) {
			const parsed = JSON.parse(row.value) as {seeds: string[]}; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
			seeds.push(...parsed.seeds);
		}

		return seeds;
	}

	private async tryReplaceHead(before: HeadRow, value: string): Promise<HeadWriteResult> {
		const current = await this.store.read(headKey);
		if (current?.value === value) {
			return HeadWriteResult.Written;
		}

		if (current?.etag !== before.etag) {
			return HeadWriteResult.Conflict;
		}

		const {etag} = before;
		const condition =
			etag === undefined ? {expect: Precondition.Absent} : {expect: Precondition.Etag, etag};
		const [result] = await this.store.write([{key: headKey, value, ...condition}]);
		return result?.isApplied ? HeadWriteResult.Written : HeadWriteResult.Conflict;
	}

	private async addHistory(record: RevisionRecord): Promise<void> {
		const value = JSON.stringify(record);
		const key = historyKey(record.revision);
		await this.store.write([{key, value, expect: Precondition.Any}]);
	}
}
