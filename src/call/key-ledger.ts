import type {Millis} from '../clock/index.js';

/** State of the call of an idempotency key at the owner of the key. */
export enum KeyState {
	/** The call is running or about to run. */
	Running = 0,
	/** The call ran and its answer is stored. */
	Answered = 1,
	/** The call ran, but its answer was too large to store or there was no room for it. */
	NotKept = 2,
	/** The call provably did not run and may be sent again. */
	NotRun = 3,
	/** The call may have run. */
	Unknown = 4,
}

/** Record of one key. */
export interface KeyRecord<Answer> {
	readonly id: string;
	/** Hash of the request; detects reuse of the key for another request. */
	readonly fingerprint: string;
	state: KeyState;
	answer: Answer | undefined;
	/** Size of the answer in bytes. */
	answerBytes: number;
	/** Monotonic time in ms until which the record is kept. */
	expiresAt: Millis;
}

/** Limits of a key ledger. */
export interface KeyLedgerLimits {
	readonly maxRecords: number;
	readonly maxBytes: number;
}

/** Decision of the ledger for a call with a key. */
export enum KeyVerdict {
	/** The key is new, or its call provably did not run. */
	Start = 'start',
	/** The call is already running. */
	Join = 'join',
	/** The call has ended; the record holds its result. */
	Replay = 'replay',
	/** The key belongs to another request. */
	Reused = 'reused',
	/** There is no room for another key. */
	Full = 'full',
}

const recordOverheadBytes = 300;

/**
 * Records the calls of idempotency keys at the node that owns the keys. Refuses new keys when full
 * rather than evicting records before they expire.
 */
export class KeyLedger<Answer> {
	private readonly records = new Map<string, KeyRecord<Answer>>();
	private bytes = 0;

	constructor(private readonly limits: KeyLedgerLimits) {}

	get size(): number {
		return this.records.size;
	}

	/** Approximate memory use in bytes. */
	get byteSize(): number {
		return this.bytes;
	}

	/**
	 * @param id - service, customer and key.
	 * @returns the record of the key, if any.
	 */
	get(id: string): KeyRecord<Answer> | undefined {
		return this.records.get(id);
	}

	/** @returns all records, the oldest first. */
	all(): IterableIterator<KeyRecord<Answer>> {
		return this.records.values();
	}

	/**
	 * Decides how to handle a call with a key.
	 * @param id - service, customer and key.
	 * @param fingerprint - hash of the request.
	 * @param expiresAt - monotonic time in ms until which the record is to be kept.
	 * @returns the decision; after {@link KeyVerdict.Start} the record is in state `Running`.
	 */
	begin(id: string, fingerprint: string, expiresAt: Millis): KeyVerdict {
		const known = this.records.get(id);
		if (known && known.fingerprint !== fingerprint) {
			return KeyVerdict.Reused;
		}

		if (known?.state === KeyState.Running) {
			return KeyVerdict.Join;
		}

		if (known && known.state !== KeyState.NotRun) {
			return KeyVerdict.Replay;
		}

		if (known) {
			known.state = KeyState.Running;
			known.expiresAt = Math.max(known.expiresAt, expiresAt);
			return KeyVerdict.Start;
		}

		return this.add(id, fingerprint, expiresAt);
	}

	/**
	 * Records the end of the call of a key.
	 * @param id - service, customer and key.
	 * @param state - final state; `Answered` becomes `NotKept` if the answer exceeds the byte limit.
	 * @param answer - the answer to store, if any.
	 * @param answerBytes - size of the answer in bytes.
	 */
	finish(id: string, state: KeyState, answer?: Answer, answerBytes = 0): void {
		const record = this.records.get(id);
		if (!record) {
			return;
		}

		const hasRoom = this.bytes + answerBytes <= this.limits.maxBytes;
		record.state = state === KeyState.Answered && !hasRoom ? KeyState.NotKept : state;
		if (record.state === KeyState.Answered) {
			record.answer = answer;
			record.answerBytes = answerBytes;
			this.bytes += answerBytes;
		}
	}

	/**
	 * Adopts a record from a node that left; ignored if the key already has a record.
	 * @param record - the record to add.
	 */
	adopt(record: KeyRecord<Answer>): void {
		if (!this.records.has(record.id)) {
			this.records.set(record.id, record);
			this.bytes += recordOverheadBytes + record.answerBytes;
		}
	}

	/**
	 * Removes the record of a key, for example when another node is its owner.
	 * @param id - service, customer and key.
	 */
	drop(id: string): void {
		const record = this.records.get(id);
		if (record) {
			this.records.delete(id);
			this.bytes -= recordOverheadBytes + record.answerBytes;
		}
	}

	/**
	 * Removes expired records, except those of running calls.
	 * @param now - monotonic time in ms.
	 */
	expire(now: Millis): void {
		for (const record of this.records.values()) {
			if (now >= record.expiresAt && record.state !== KeyState.Running) {
				this.drop(record.id);
			}
		}
	}

	private add(id: string, fingerprint: string, expiresAt: Millis): KeyVerdict {
		const isFull =
			this.records.size >= this.limits.maxRecords ||
			this.bytes + recordOverheadBytes > this.limits.maxBytes;
		if (isFull) {
			return KeyVerdict.Full;
		}

		this.records.set(id, {
			id,
			fingerprint,
			state: KeyState.Running,
			answer: undefined,
			answerBytes: 0,
			expiresAt,
		});
		this.bytes += recordOverheadBytes;
		return KeyVerdict.Start;
	}
}
