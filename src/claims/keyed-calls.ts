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

/** An answer that is stored for repeated requests. */
export interface StoredAnswer {
	readonly status: number;
	readonly headers: HeaderList;
	readonly body: Uint8Array;
}

export interface KeyedCallsDependencies {
	readonly clock: Clock;
	readonly self: KeyOwner;
	/** Undefined for a node without a store. */
	readonly claims: ClaimWriter | undefined;
	/** Runs a call whose key has been checked. */
	runCall(call: Call): Promise<CallEnd>;
	/**
	 * Sends a call to the owner of its key.
	 * @param owner - the owner.
	 * @param call - the call.
	 */
	sendToOwner(owner: KeyOwner, call: Call): Promise<AttemptResult>;
	/**
	 * @param owner - the owner of a key.
	 * @returns the node that has taken over its keys; undefined if no successor is known.
	 */
	findSuccessor(owner: KeyOwner): Promise<KeyOwner | undefined>;
}

type RunningCall = {readonly promise: Promise<CallEnd>};

const maxRecords = 50_000;
const maxBytes = 24 * 1024 * 1024;
const maxStoredAnswerBytes = 16_384;
const expiryInterval: Millis = 5 * second;
const maxSuccessorHops = 5;
const packr = new Packr({useRecords: false});

/** Lets each call with an idempotency key run at most once. */
export class KeyedCalls {
	private readonly ledger = new KeyLedger<StoredAnswer>({maxRecords, maxBytes});
	private readonly running = new Map<string, RunningCall>();
	private issued = 0;

	constructor(private readonly deps: KeyedCallsDependencies) {
		deps.clock.repeat(expiryInterval, () => {
			this.ledger.expire(deps.clock.now());
		});
	}

	/** Number of stored key records. */
	get size(): number {
		return this.ledger.size;
	}

	/** @returns a new key that this node owns. */
	issueKey(): string {
		this.issued += 1;
		return createIssuedKey(this.deps.self, this.issued);
	}

	/**
	 * Runs a call that was received from a caller.
	 * @param call - the call.
	 * @param key - its idempotency key.
	 * @returns the end of the call.
	 */
	async run(call: Call, key: string): Promise<CallEnd> {
		const owner = parseIssuedKey(key);
		if (owner && !this.isSelf(owner)) {
			return this.runElsewhere(owner, call);
		}

		const id = recordId(call, key);
		const isKnown = owner !== undefined || this.ledger.get(id) !== undefined;
		return isKnown ? this.runHere(id, call) : this.runClaimed(id, call);
	}

	/**
	 * Runs a call that another node has sent to this node as the owner of its key.
	 * @param call - the call.
	 * @param key - its idempotency key.
	 * @returns the end of the call.
	 */
	async runAsOwner(call: Call, key: string): Promise<CallEnd> {
		const id = recordId(call, key);
		const owner = parseIssuedKey(key);
		const isOwner = owner ? this.isSelf(owner) : false;
		if (isOwner || this.ledger.get(id)) {
			return this.runHere(id, call);
		}

		return createCallEnd(createUnknown(RefusalReason.KeyForgotten));
	}

	/**
	 * Runs an attempt that another node has sent to this node as the owner of its key.
	 * @param attempt - the attempt.
	 * @param call - the call of the attempt; undefined if the configuration in force does not declare it.
	 * @returns the result of the attempt.
	 */
	async runAttempt(attempt: Attempt, call: Call | undefined): Promise<AttemptResult> {
		const {key} = attempt.head;
		if (!call || key === undefined) {
			return createUnknown(RefusalReason.KeyNotChecked);
		}

		const end = await this.runAsOwner(call, key);
		return end.result;
	}

	/** @returns the encoded key records that a successor must keep when this node leaves. */
	exportRecords(): Uint8Array {
		const now = this.deps.clock.now();
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
	 * Takes over the key records of a node that leaves.
	 * @param bytes - the encoded records.
	 */
	importRecords(bytes: Uint8Array): void {
		const packed: unknown = packr.unpack(bytes);
		if (!Array.isArray(packed)) {
			return;
		}

		for (const fields of packed) {
			const record = unpackRecord(fields, this.deps.clock.now());
			if (record) {
				this.ledger.adopt(record);
			}
		}
	}

	private isSelf(owner: KeyOwner): boolean {
		return owner.id === this.deps.self.id && owner.instance === this.deps.self.instance;
	}

	// The record is created before the claim is written, so that a node that reads the row and sends its
	// call here finds the record.
	private async runClaimed(id: string, call: Call): Promise<CallEnd> {
		const {claims} = this.deps;
		if (!claims) {
			return createCallEnd(createRefused(RefusalReason.StoreUnavailable));
		}

		return this.runHere(id, call, async () => {
			const owner = await claims.claim(id, call.policy.keyRetention);
			if (!owner) {
				// If the record were kept, the next request with the key would run without a claim.
				this.ledger.drop(id);
				return createCallEnd(createRefused(RefusalReason.StoreUnavailable));
			}

			if (this.isSelf(owner)) {
				return undefined;
			}

			this.ledger.drop(id);
			return this.runElsewhere(owner, call);
		});
	}

	private async runHere(
		id: string,
		call: Call,
		prepare?: () => Promise<CallEnd | undefined>,
	): Promise<CallEnd> {
		const expiresAt = this.deps.clock.now() + call.policy.keyRetention;
		const verdict = this.ledger.begin(id, call.head.fingerprint, expiresAt);
		switch (verdict) {
			case KeyVerdict.Start: {
				return this.start(id, call, prepare);
			}

			case KeyVerdict.Join: {
				return this.join(id, call);
			}

			case KeyVerdict.Replay: {
				return createCallEnd(replay(this.ledger.get(id)!));
			}

			case KeyVerdict.Reused: {
				return createCallEnd(createRefused(RefusalReason.KeyReused));
			}

			case KeyVerdict.Full: {
				return createCallEnd(createRefused(RefusalReason.KeyMemoryFull));
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
		const earlyEnd = await prepare?.();
		const end = earlyEnd ?? (await this.deps.runCall(call));
		this.recordResult(id, end.result);
		return end;
	}

	private recordResult(id: string, result: AttemptResult): void {
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
				if (bytes && bytes.length <= maxStoredAnswerBytes) {
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
		const {clock} = this.deps;
		const runningCall = this.running.get(id);
		if (!runningCall) {
			return createCallEnd(createUnknown(RefusalReason.KeyForgotten));
		}

		return new Promise((resolve) => {
			const undo = clock.after(call.deadline.timeLeft(clock.now()), () => {
				resolve(createCallEnd(createUnknown(RefusalReason.AnswerTimeout)));
			});
			void runningCall.promise.then((end) => {
				undo();
				resolve(createCallEnd(shareableResult(end.result)));
			});
		});
	}

	private async runElsewhere(owner: KeyOwner, call: Call): Promise<CallEnd> {
		let current = owner;
		for (let hops = 0; hops < maxSuccessorHops; hops++) {
			// A successor may itself have handed over its keys.
			// eslint-disable-next-line no-await-in-loop
			const successor = await this.deps.findSuccessor(current);
			if (!successor) {
				break;
			}

			current = successor;
		}

		if (this.isSelf(current)) {
			const record = this.ledger.get(recordId(call, call.head.key ?? ''));
			return createCallEnd(record ? replay(record) : createUnknown(RefusalReason.KeyForgotten));
		}

		return createCallEnd(await this.deps.sendToOwner(current, call));
	}
}

function recordId(call: Call, key: string): string {
	const {service, customer} = call.head;
	return [service, customer, key].map((part) => encodeURIComponent(part)).join('/');
}

function createCallEnd(result: AttemptResult): CallEnd {
	return {result, attempts: 0, executor: undefined};
}

/** A stream can be read by one caller only; the others learn that the call ran, without its answer. */
function shareableResult(result: AttemptResult): AttemptResult {
	const isStream = result.end === AttemptEnd.Answered && result.body.bytes === undefined;
	return isStream ? createUnknown(RefusalReason.AnswerNotKept) : result;
}

function replay(record: KeyRecord<StoredAnswer>): AttemptResult {
	switch (record.state) {
		case KeyState.Answered: {
			const {status, headers, body} = record.answer!;
			const bufferedBody = createBufferedBody(body);
			return {end: AttemptEnd.Answered, status, headers, body: bufferedBody, load: undefined};
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
	const storedAnswer = answer && {status: answer[0], headers: answer[1], body: answer[2]};
	return {id, fingerprint, state, answer: storedAnswer, answerBytes, expiresAt: now + timeLeft};
}
