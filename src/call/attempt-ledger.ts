import {minute, type Millis} from '../clock/index.js';
import type {AttemptId} from './attempt-id.js';

/** What an executor knows of an attempt. The values are part of the wire format. */
export enum AttemptState {
	/** It has not come and will be refused if it comes. */
	Fenced = 0,
	/** It is here; whether it reaches the backend server is open. */
	Admitted = 1,
	/** It was sent to the backend server. */
	Ran = 2,
	/** It was refused before any byte went to the backend server. */
	Refused = 3,
	/** It is so old that nothing is remembered; it will be refused if it comes. */
	Forgotten = 4,
}

type Entry = {state: AttemptState; at: Millis};
type Book = {entries: Map<number, Entry>; forgottenBelow: number};

const retention: Millis = 2 * minute;
const maxEntriesPerInstance = 50_000;
/** Incarnations of peers that are remembered, the least recently heard going first. */
const maxInstances = 20_000;

/**
 * The executor's memory of attempts. An attempt that the memory has let go of is refused when it
 * comes late, so that a bound on the memory never lets an attempt run after it was called not run.
 */
export class AttemptLedger {
	private readonly books = new Map<string, Book>();

	/**
	 * Takes in an attempt that has come.
	 * @param id - the attempt.
	 * @param now - monotonic time in ms.
	 * @returns whether it may go on; false when it is fenced, a copy or too old.
	 */
	admit(id: AttemptId, now: Millis): boolean {
		const book = this.book(id.instance);
		if (id.sequence < book.forgottenBelow || book.entries.has(id.sequence)) {
			return false;
		}

		this.set(book, id.sequence, {state: AttemptState.Admitted, at: now});
		return true;
	}

	/**
	 * Notes that an attempt is about to be written to the backend server.
	 * @param id - the attempt.
	 * @returns false when it has been fenced in the meantime and must not be written.
	 */
	markRan(id: AttemptId): boolean {
		const entry = this.books.get(id.instance)?.entries.get(id.sequence);
		if (entry?.state !== AttemptState.Admitted) {
			return false;
		}

		entry.state = AttemptState.Ran;
		return true;
	}

	/**
	 * Notes that an attempt was refused before anything was written.
	 * @param id - the attempt.
	 */
	markRefused(id: AttemptId): void {
		const entry = this.books.get(id.instance)?.entries.get(id.sequence);
		if (entry?.state === AttemptState.Admitted) {
			entry.state = AttemptState.Refused;
		}
	}

	/**
	 * Tells what became of an attempt, and keeps it from running if it has not run.
	 * @param id - the attempt.
	 * @param now - monotonic time in ms.
	 * @returns its state; `Fenced` and `Refused` prove that it did not run and never will.
	 */
	queryAndFence(id: AttemptId, now: Millis): AttemptState {
		const book = this.book(id.instance);
		if (id.sequence < book.forgottenBelow) {
			return AttemptState.Forgotten;
		}

		const entry = book.entries.get(id.sequence);
		if (!entry) {
			this.set(book, id.sequence, {state: AttemptState.Fenced, at: now});
			return AttemptState.Fenced;
		}

		if (entry.state === AttemptState.Admitted) {
			entry.state = AttemptState.Fenced;
		}

		return entry.state;
	}

	/**
	 * Lets go of what is older than any call.
	 * @param now - monotonic time in ms.
	 */
	expire(now: Millis): void {
		for (const book of this.books.values()) {
			for (const [sequence, entry] of book.entries) {
				if (now - entry.at < retention) {
					break;
				}

				this.forget(book, sequence);
			}
		}
	}

	// A book outlives its entries, as it keeps the bound below which nothing may run any more.
	private book(instance: string): Book {
		const known = this.books.get(instance);
		const book = known ?? {entries: new Map<number, Entry>(), forgottenBelow: 0};
		this.books.delete(instance);
		this.books.set(instance, book);
		if (this.books.size > maxInstances) {
			this.books.delete(this.books.keys().next().value!);
		}

		return book;
	}

	private set(book: Book, sequence: number, entry: Entry): void {
		book.entries.set(sequence, entry);
		if (book.entries.size > maxEntriesPerInstance) {
			this.forget(book, book.entries.keys().next().value!);
		}
	}

	private forget(book: Book, sequence: number): void {
		book.entries.delete(sequence);
		book.forgottenBelow = Math.max(book.forgottenBelow, sequence + 1);
	}
}
