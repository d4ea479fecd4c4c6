import type {Millis} from '../clock/index.js';

/** What the home of an idempotency key knows of its call. */
export enum KeyState {
	/** The call runs, or is about to. */
	Running = 0,
	/** The call ran and its answer is kept. */
	Answered = 1,
	/** The call ran; its answer was too large to keep. */
	NotKept = 2,
	/** The call is proved not to have run; it may be sent again. */
	NotRun = 3,
	/** The call may have run. */
	Unknown = 4,
}

/** What is remembered of one key. */
export interface KeyRecord<Answer> {
	readonly id: string;
	/** Tells whether the key is used again for another request. */
	readonly fingerprint: string;
	state: KeyState;
	answer: Answer | undefined;
	/** Bytes of the answer. */
	answerBytes: number;
	/** Monotonic time in ms until which the key is remembered. */
	expiresAt: Millis;
}

/** Bounds of a key memory. */
export interface KeyLedgerLimits {
	readonly maxRecords: number;
	readonly maxBytes: number;
}

/** What the ledger says to a call that comes with a key. */
export enum KeyVerdict {
	/** The key is new here, or its call is proved not to have run. */
	Start = 'start',
	/** The call runs already. */
	Join = 'join',
	/** The call has ended; its record tells how. */
	Replay = 'replay',
	/** The key belongs to another request. */
	Reused = 'reused',
	/** There is no room for another key. */
	Full = 'full',
}

const recordOverhead = 300;

/**
 * The memory of the node that is home to idempotency keys. It refuses when full and forgets nothing
 * before its time.
 */
export class KeyLedger<Answer> {
	private readonly records = new Map<string, KeyRecord<Answer>>();
	private bytes = 0;

	constructor(private readonly limits: KeyLedgerLimits) {}

	get size(): number {
		return this.records.size;
	}

	/** Bytes that the memory takes, about. */
	get byteSize(): number {
		return this.bytes;
	}

	/**
	 * @param id - service, customer and key.
	 * @returns what is remembered of the key.
	 */
	get(id: string): KeyRecord<Answer> | undefined {
		return this.records.get(id);
	}

	/** @returns all records, the oldest first. */
	all(): IterableIterator<KeyRecord<Answer>> {
		return this.records.values();
	}

	/**
	 * A call has come with a key.
	 * @param id - service, customer and key.
	 * @param fingerprint - hash of the request.
	 * @param expiresAt - until when the key is to be remembered.
	 * @returns what to do; after {@link KeyVerdict.Start} the record says that the call runs.
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
	 * The call of a key has ended.
	 * @param id - service, customer and key.
	 * @param state - how it ended.
	 * @param answer - the answer, where it is kept.
	 * @param answerBytes - bytes of the answer.
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
	 * Takes over a record of a node that left.
	 * @param record - what it remembered.
	 */
	adopt(record: KeyRecord<Answer>): void {
		if (!this.records.has(record.id)) {
			this.records.set(record.id, record);
			this.bytes += recordOverhead + record.answerBytes;
		}
	}

	/**
	 * Forgets a key of which another node is the home.
	 * @param id - service, customer and key.
	 */
	drop(id: string): void {
		const record = this.records.get(id);
		if (record) {
			this.records.delete(id);
			this.bytes -= recordOverhead + record.answerBytes;
		}
	}

	/**
	 * Forgets what is past its time.
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
			this.bytes + recordOverhead > this.limits.maxBytes;
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
		this.bytes += recordOverhead;
		return KeyVerdict.Start;
	}
}
