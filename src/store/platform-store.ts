/** A row of the table service. */
export interface Row {
	readonly key: string;
	readonly value: string;
	/** Changes with each write of the row. */
	readonly etag: string;
}

/** Condition of a write. */
export enum Expect {
	/** The row may be in any state. */
	Any = 'any',
	/** The row must not exist. */
	Absent = 'absent',
	/** The row must have a given etag. */
	Etag = 'etag',
}

/** One write of a transaction. */
export interface WriteOperation {
	readonly key: string;
	/** The new value; undefined deletes the row. */
	readonly value: string | undefined;
	readonly expect: Expect;
	/** With {@link Expect.Etag}. */
	readonly etag?: string;
	/** Rows that must not exist either. */
	readonly alsoAbsent?: readonly string[];
}

/** What became of one write. */
export interface WriteResult {
	readonly isApplied: boolean;
	/** The row that stood in the way, or the row as written. */
	readonly row: Row | undefined;
}

/** The store did not answer in time, or said that it cannot. Nothing is known of a write. */
export class StoreUnavailableError extends Error {
	override name = 'StoreUnavailableError';
}

/** The platform's table service. */
export interface TableService {
	/**
	 * Carries out writes in one transaction of the service; each has its own condition.
	 * @param operations - the writes.
	 * @returns a result for each.
	 * @throws {@link StoreUnavailableError}
	 */
	write(operations: readonly WriteOperation[]): Promise<readonly WriteResult[]>;
	/**
	 * @param key - key of a row.
	 * @returns the row; undefined when there is none.
	 * @throws {@link StoreUnavailableError}
	 */
	read(key: string): Promise<Row | undefined>;
	/**
	 * @param prefix - start of the keys.
	 * @returns the rows in order of their keys.
	 * @throws {@link StoreUnavailableError}
	 */
	list(prefix: string): Promise<readonly Row[]>;
	/**
	 * @param prefix - start of the keys of the rows to delete.
	 * @throws {@link StoreUnavailableError}
	 */
	deleteAll(prefix: string): Promise<void>;
}

/** The platform's object store. */
export interface ObjectStore {
	/**
	 * @param name - name of the object.
	 * @param content - its content.
	 * @throws {@link StoreUnavailableError}
	 */
	put(name: string, content: string): Promise<void>;
	/**
	 * @param name - name of the object.
	 * @returns its content; undefined when there is none.
	 * @throws {@link StoreUnavailableError}
	 */
	get(name: string): Promise<string | undefined>;
}
