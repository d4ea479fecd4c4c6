import {minute, type Millis} from '../clock/index.js';
import type {AttemptId} from './attempt-id.js';

/** State of an attempt at its executor. The values are part of the wire format. */
export enum AttemptState {
	/** It will never run: it is refused if it arrives late, and not sent to the backend server if it has arrived. */
	Fenced = 0,
	/** It has arrived; whether it will be sent to the backend server is undecided. */
	Admitted = 1,
	/** It was sent to the backend server. */
	Ran = 2,
	/** It was refused before any byte went to the backend server. */
	Refused = 3,
	/** Its record has expired or was evicted; it is refused if it arrives. */
	Forgotten = 4,
}

type Entry = {state: AttemptState; at: Millis};
type PeerAttempts = {entries: Map<number, Entry>; forgottenBelow: number};

const retention: Millis = 2 * minute;
const maxEntriesPerInstance = 50_000;
/** Maximum number of peer incarnations; the least recently used are evicted. */
const maxInstances = 20_000;

/**
 * Records the attempts that an executor has received. An attempt whose record was evicted is refused when
 * it arrives late, so that bounded memory never lets an attempt run after it was reported as not run.
 */
export class AttemptLedger {
	private readonly byInstance = new Map<string, PeerAttempts>();

	/**
	 * Admits an attempt that has arrived.
	 * @param id - the attempt.
	 * @param now - monotonic time in ms.
	 * @returns whether it may proceed; false if it is fenced, a duplicate or too old.
	 */
	admit(id: AttemptId, now: Millis): boolean {
		const peerAttempts = this.peerAttempts(id.instance);
		if (id.sequence < peerAttempts.forgottenBelow || peerAttempts.entries.has(id.sequence)) {
			return false;
		}

		this.set(peerAttempts, id.sequence, {state: AttemptState.Admitted, at: now});
		return true;
	}

	/**
	 * Records that an attempt is about to be written to the backend server.
	 * @param id - the attempt.
	 * @returns false if the attempt is no longer admitted, for example fenced, and must not be written.
	 */
	markRan(id: AttemptId): boolean {
		const entry = this.byInstance.get(id.instance)?.entries.get(id.sequence);
		if (entry?.state !== AttemptState.Admitted) {
			return false;
		}

		entry.state = AttemptState.Ran;
		return true;
	}

	/**
	 * Records that an attempt was refused before anything was written.
	 * @param id - the attempt.
	 */
	markRefused(id: AttemptId): void {
		const entry = this.byInstance.get(id.instance)?.entries.get(id.sequence);
		if (entry?.state === AttemptState.Admitted) {
			entry.state = AttemptState.Refused;
		}
	}

	/**
	 * Returns the state of an attempt and fences it if it has not run.
	 * @param id - the attempt.
	 * @param now - monotonic time in ms.
	 * @returns its state; `Fenced` and `Refused` prove that it did not run and never will.
	 */
	queryAndFence(id: AttemptId, now: Millis): AttemptState {
		const peerAttempts = this.peerAttempts(id.instance);
		if (id.sequence < peerAttempts.forgottenBelow) {
			return AttemptState.Forgotten;
		}

		const entry = peerAttempts.entries.get(id.sequence);
		if (!entry) {
			this.set(peerAttempts, id.sequence, {state: AttemptState.Fenced, at: now});
			return AttemptState.Fenced;
		}

		if (entry.state === AttemptState.Admitted) {
			entry.state = AttemptState.Fenced;
		}

		return entry.state;
	}

	/**
	 * Removes records that are older than any call can be.
	 * @param now - monotonic time in ms.
	 */
	expire(now: Millis): void {
		for (const peerAttempts of this.byInstance.values()) {
			for (const [sequence, entry] of peerAttempts.entries) {
				if (now - entry.at < retention) {
					break;
				}

				this.forget(peerAttempts, sequence);
			}
		}
	}

	// Kept after its entries are removed, for the sequence number below which no attempt may run.
	private peerAttempts(instance: string): PeerAttempts {
		const known = this.byInstance.get(instance);
		const peerAttempts = known ?? {entries: new Map<number, Entry>(), forgottenBelow: 0};
		this.byInstance.delete(instance);
		this.byInstance.set(instance, peerAttempts);
		if (this.byInstance.size > maxInstances) {
			this.byInstance.delete(this.byInstance.keys().next().value!);
		}

		return peerAttempts;
	}

	private set(peerAttempts: PeerAttempts, sequence: number, entry: Entry): void {
		peerAttempts.entries.set(sequence, entry);
		if (peerAttempts.entries.size > maxEntriesPerInstance) {
			this.forget(peerAttempts, peerAttempts.entries.keys().next().value!);
		}
	}

	private forget(peerAttempts: PeerAttempts, sequence: number): void {
		peerAttempts.entries.delete(sequence);
		peerAttempts.forgottenBelow = Math.max(peerAttempts.forgottenBelow, sequence + 1);
	}
}
