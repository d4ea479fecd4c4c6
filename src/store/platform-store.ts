import type {Millis} from '../clock/index.js';

/** A row of the table service. */
export interface Row {
	readonly key: string;
	readonly value: string;
	/** Changes with each write of the row, and is never given out again. */
	readonly etag: string;
}

/** Condition of a write. */
export enum Precondition {
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
	readonly expect: Precondition;
	/** Required etag; with {@link Precondition.Etag} only. */
	readonly etag?: string;
	/** Keys of further rows that must not exist. */
	readonly alsoAbsent?: readonly string[];
}

/** Result of one write. */
export interface WriteResult {
	readonly isApplied: boolean;
	/** The row that violated the condition, or the row as written. */
	readonly row: Row | undefined;
}

/** The store did not answer in time or reported a failure. A write may or may not have been applied. */
export class StoreUnavailableError extends Error {
	override name = 'StoreUnavailableError';
}

/** An answer did not arrive in time: the store is away or slow, or the connection has gone silent. */
export class StoreSilentError extends StoreUnavailableError {
	override name = 'StoreSilentError';
}

/** The platform's table service. */
export interface TableService {
	/**
	 * Executes writes in one transaction of the service; each has its own condition.
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
	 * @param prefix - key prefix.
	 * @returns the rows sorted by key.
	 * @throws {@link StoreUnavailableError}
	 */
	list(prefix: string): Promise<readonly Row[]>;
	/**
	 * @param prefix - key prefix of the rows to delete.
	 * @throws {@link StoreUnavailableError}
	 */
	deleteAll(prefix: string): Promise<void>;
}

/** A change of a row in a table. */
export interface RowChange {
	readonly key: string;
	/** The new value; undefined when the row was deleted. */
	readonly value: string | undefined;
	readonly etag: string;
}

/** Point in the history of the store. Points of different eras cannot be compared. */
export interface FeedPosition {
	/** Rises each time that the store is restored; undefined if the store does not report it. */
	readonly era: number | undefined;
	readonly version: number;
}

/** Changes of a table up to a position. */
export interface ChangePage {
	readonly changes: readonly RowChange[];
	/** Position at which the next page starts. */
	readonly position: FeedPosition;
	/** Steady clock of the store at its answer, in ms; undefined if the store does not tell it. */
	readonly storeTime?: Millis;
}

/**
 * The store no longer has the changes after the requested position, or it was restored and has given
 * out the position for other changes. The table must be read again.
 */
export class HistoryLostError extends Error {
	override name = 'HistoryLostError';
}

/** Times of one request for changes. */
export interface FeedTimes {
	/** How long the store waits for a change, in ms. */
	readonly wait: Millis;
	/** Time without an answer after which the connection counts as silent, in ms. */
	readonly timeout: Millis;
}

/** Change feed of the table service, read by long polling. */
export interface RowFeed {
	/**
	 * @param table - name of a table.
	 * @returns its current rows and the position after them.
	 * @throws {@link StoreUnavailableError}
	 */
	snapshot(table: string): Promise<ChangePage>;
	/**
	 * Waits for changes.
	 * @param table - name of a table.
	 * @param position - position of the last page.
	 * @param times - how long to wait for a change, and for the answer.
	 * @returns the changes; none when nothing changed.
	 * @throws {@link StoreSilentError}, {@link StoreUnavailableError}, {@link HistoryLostError}
	 */
	changes(table: string, position: FeedPosition, times: FeedTimes): Promise<ChangePage>;
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
