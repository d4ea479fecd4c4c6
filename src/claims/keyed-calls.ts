import {Packr} from 'msgpackr';
import {
	KeyLedger,
	KeyState,
	KeyVerdict,
	RefusalReason,
	type HeaderList,
	type KeyRecord,
} from '../call/index.js';
import {second, type Clock, type Millis} from '../clock/index.js';
import {
	AttemptEnd,
	createRefused,
	createUnknown,
	createBufferedBody,
	type Attempt,
	type AttemptResult,
	type Call,
	type CallEnd,
} from '../exchange/index.js';
import type {ClaimWriter, KeyOwner} from './claim-writer.js';
import {createIssuedKey, parseIssuedKey} from './issued-key.js';

/** An answer that is kept for callers that send again. */
export interface StoredAnswer {
	readonly status: number;
	readonly headers: HeaderList;
	readonly body: Uint8Array;
}

/** What keyed calls are made of. */
export interface KeyedCallsDependencies {
	readonly clock: Clock;
	readonly self: KeyOwner;
	/** Undefined for a node without a store. */
	readonly claims: ClaimWriter | undefined;
	/** Runs a call that may run now. */
	runCall(call: Call): Promise<CallEnd>;
	/**
	 * Sends a call to the home of its key.
	 * @param home - the home.
	 * @param call - the call.
	 */
	sendToOwner(home: KeyOwner, call: Call): Promise<AttemptResult>;
	/**
	 * @param home - the home of a key.
	 * @returns who has taken over its keys; undefined when nobody is known to.
	 */
	findSuccessor(home: KeyOwner): Promise<KeyOwner | undefined>;
}

type Waiting = {readonly promise: Promise<CallEnd>};

const maxRecords = 50_000;
const maxBytes = 24 * 1024 * 1024;
const keptAnswerBytes = 16_384;
const expiryPeriod: Millis = 5 * second;
const maxHeirs = 5;
const packr = new Packr({useRecords: false});

/** Lets each call with an idempotency key run at most once. */
export class KeyedCalls {
	private readonly ledger = new KeyLedger<StoredAnswer>({maxRecords, maxBytes});
	private readonly running = new Map<string, Waiting>();
	private issued = 0;

	constructor(private readonly parts: KeyedCallsDependencies) {
		parts.clock.repeat(expiryPeriod, () => {
			this.ledger.expire(parts.clock.now());
		});
	}

	/** Keys that are remembered. */
	get size(): number {
		return this.ledger.size;
	}

	/** @returns a key of which this node is the home. */
	issueKey(): string {
		this.issued += 1;
		return createIssuedKey(this.parts.self, this.issued);
	}

	/**
	 * A caller's call has come with a key.
	 * @param call - the call.
	 * @param key - its key.
	 * @returns how it ended.
	 */
	async run(call: Call, key: string): Promise<CallEnd> {
		const home = parseIssuedKey(key);
		if (home && !this.isSelf(home)) {
			return this.runElsewhere(home, call);
		}

		const id = recordId(call, key);
		const isKnown = home !== undefined || this.ledger.get(id) !== undefined;
		return isKnown ? this.runHere(id, call) : this.runClaimed(id, call);
	}

	/**
	 * Another node has sent a call of whose key this node is the home.
	 * @param call - the call.
	 * @param key - its key.
	 * @returns how it ended.
	 */
	async runAsOwner(call: Call, key: string): Promise<CallEnd> {
		const id = recordId(call, key);
		const home = parseIssuedKey(key);
		const isHome = home ? this.isSelf(home) : false;
		if (isHome || this.ledger.get(id)) {
			return this.runHere(id, call);
		}

		return endWith(createUnknown(RefusalReason.KeyForgotten));
	}

	/**
	 * Another node has sent an attempt to this node as the home of its key.
	 * @param attempt - the attempt.
	 * @param call - the call that it belongs to; undefined when it is not declared here.
	 * @returns how it ended.
	 */
	async runAttempt(attempt: Attempt, call: Call | undefined): Promise<AttemptResult> {
		const {key} = attempt.head;
		if (!call || key === undefined) {
			return createUnknown(RefusalReason.KeyNotChecked);
		}

		const end = await this.runAsOwner(call, key);
		return end.result;
	}

	/** @returns what another node must remember when this one leaves. */
	exportRecords(): Uint8Array {
		const now = this.parts.clock.now();
		const records = [...this.ledger.all()].filter(
			(record) => record.state !== KeyState.Running && record.state !== KeyState.NotRun,
		);
		return packr.pack(
			records.map(({id, fingerprint, state, answer, answerBytes, expiresAt}) => [
				id,
				fingerprint,
				state,
				answer && [answer.status, answer.headers, answer.body],
				answerBytes,
				expiresAt - now,
			]),
		);
	}

	/**
	 * Takes over what a node that leaves remembers.
	 * @param bytes - its records.
	 */
	importRecords(bytes: Uint8Array): void {
		const packed: unknown = packr.unpack(bytes);
		if (!Array.isArray(packed)) {
			return;
		}

		for (const fields of packed) {
			const record = unpackRecord(fields, this.parts.clock.now());
			if (record) {
				this.ledger.adopt(record);
			}
		}
	}

	private isSelf(home: KeyOwner): boolean {
		return home.id === this.parts.self.id && home.instance === this.parts.self.instance;
	}

	// The claim is noted here before it is written, so that whoever reads the row finds it here.
	private async runClaimed(id: string, call: Call): Promise<CallEnd> {
		const {claims} = this.parts;
		if (!claims) {
			return endWith(createRefused(RefusalReason.StoreUnavailable));
		}

		return this.runHere(id, call, async () => {
			const home = await claims.claim(id, call.policy.keyRetention);
			if (!home) {
				// A record that stays would let the next copy run without a claim.
				this.ledger.drop(id);
				return endWith(createRefused(RefusalReason.StoreUnavailable));
			}

			if (this.isSelf(home)) {
				return undefined;
			}

			this.ledger.drop(id);
			return this.runElsewhere(home, call);
		});
	}

	private async runHere(
		id: string,
		call: Call,
		prepare?: () => Promise<CallEnd | undefined>,
	): Promise<CallEnd> {
		const expiresAt = this.parts.clock.now() + call.policy.keyRetention;
		const verdict = this.ledger.begin(id, call.head.fingerprint, expiresAt);
		switch (verdict) {
			case KeyVerdict.Start: {
				return this.start(id, call, prepare);
			}

			case KeyVerdict.Join: {
				return this.join(id, call);
			}

			case KeyVerdict.Replay: {
				return endWith(replay(this.ledger.get(id)!));
			}

			case KeyVerdict.Reused: {
				return endWith(createRefused(RefusalReason.KeyReused));
			}

			case KeyVerdict.Full: {
				return endWith(createRefused(RefusalReason.KeyMemoryFull));
			}
		}
	}

	private async start(
		id: string,
		call: Call,
		prepare: (() => Promise<CallEnd | undefined>) | undefined,
	): Promise<CallEnd> {
		const promise = this.startOnce(id, call, prepare);
		this.running.set(id, {promise});
		const end = await promise;
		this.running.delete(id);
		return end;
	}

	private async startOnce(
		id: string,
		call: Call,
		prepare: (() => Promise<CallEnd | undefined>) | undefined,
	): Promise<CallEnd> {
		const prepared = await prepare?.();
		const end = prepared ?? (await this.parts.runCall(call));
		this.remember(id, end.result);
		return end;
	}

	private remember(id: string, result: AttemptResult): void {
		switch (result.end) {
			case AttemptEnd.Refused: {
				this.ledger.finish(id, KeyState.NotRun);
				break;
			}

			case AttemptEnd.Unknown: {
				this.ledger.finish(id, KeyState.Unknown);
				break;
			}

			case AttemptEnd.Answered: {
				const {status, headers, body} = result;
				const {bytes} = body;
				if (bytes && bytes.length <= keptAnswerBytes) {
					const answer = {status, headers, body: bytes};
					this.ledger.finish(id, KeyState.Answered, answer, bytes.length);
				} else {
					this.ledger.finish(id, KeyState.NotKept);
				}

				break;
			}
		}
	}

	private async join(id: string, call: Call): Promise<CallEnd> {
		const {clock} = this.parts;
		const waiting = this.running.get(id);
		if (!waiting) {
			return endWith(createUnknown(RefusalReason.KeyForgotten));
		}

		return new Promise((resolve) => {
			const undo = clock.after(call.deadline.timeLeft(clock.now()), () => {
				resolve(endWith(createUnknown(RefusalReason.AnswerTimeout)));
			});
			void waiting.promise.then((end) => {
				undo();
				resolve(endWith(shared(end.result)));
			});
		});
	}

	private async runElsewhere(home: KeyOwner, call: Call): Promise<CallEnd> {
		let current = home;
		for (let heirs = 0; heirs < maxHeirs; heirs++) {
			// Each step depends on who the last one named.
			// eslint-disable-next-line no-await-in-loop
			const heir = await this.parts.findSuccessor(current);
			if (!heir) {
				break;
			}

			current = heir;
		}

		if (this.isSelf(current)) {
			const known = this.ledger.get(recordId(call, call.head.key ?? ''));
			return endWith(known ? replay(known) : createUnknown(RefusalReason.KeyForgotten));
		}

		return endWith(await this.parts.sendToOwner(current, call));
	}
}

function recordId(call: Call, key: string): string {
	const {service, customer} = call.head;
	return [service, customer, key].map((part) => encodeURIComponent(part)).join('/');
}

function endWith(result: AttemptResult): CallEnd {
	return {result, attempts: 0, executor: undefined};
}

/** A stream can be read by one caller only; the others learn that the call ran. */
function shared(result: AttemptResult): AttemptResult {
	const isStream = result.end === AttemptEnd.Answered && result.body.bytes === undefined;
	return isStream ? createUnknown(RefusalReason.AnswerNotKept) : result;
}

function replay(record: KeyRecord<StoredAnswer>): AttemptResult {
	switch (record.state) {
		case KeyState.Answered: {
			const {status, headers, body} = record.answer!;
			const whole = createBufferedBody(body);
			return {end: AttemptEnd.Answered, status, headers, body: whole, load: undefined};
		}

		case KeyState.NotKept: {
			return createUnknown(RefusalReason.AnswerNotKept);
		}

		case KeyState.NotRun:
		case KeyState.Running:
		case KeyState.Unknown: {
			return createUnknown(RefusalReason.KeyOutcomeUnknown);
		}
	}
}

type PackedAnswer = readonly [number, HeaderList, Uint8Array];
type PackedRecord = readonly [string, string, KeyState, PackedAnswer | undefined, number, Millis];

function isPackedRecord(fields: unknown): fields is PackedRecord {
	return Array.isArray(fields) && typeof fields[0] === 'string' && typeof fields[1] === 'string';
}

function unpackRecord(fields: unknown, now: Millis): KeyRecord<StoredAnswer> | undefined {
	if (!isPackedRecord(fields)) {
		return undefined;
	}

	const [id, fingerprint, state, answer, answerBytes, timeLeft] = fields;
	const kept = answer && {status: answer[0], headers: answer[1], body: answer[2]};
	return {id, fingerprint, state, answer: kept, answerBytes, expiresAt: now + timeLeft};
}
