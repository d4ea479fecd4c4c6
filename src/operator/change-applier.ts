import {createActor} from 'xstate';
import type {Clock, Millis} from '../clock/index.js';
import {HeadWriteResult, type DeclarationStore, type HeadRow} from '../control/index.js';
import {
	ChangeEvent,
	changeMachine,
	ChangeState,
	hashContent,
	parseContent,
	planChanges,
	serializeDeclaration,
	stage,
	type Declaration,
	type PlannedChange,
	type RevisionRecord,
} from '../declaration/index.js';
import {StoreUnavailableError} from '../store/index.js';
import {pause} from '../util/index.js';

/** A declaration to apply, and the conditions under which to apply it. */
export interface ChangeRequest {
	readonly declaration: Declaration;
	readonly author: string;
	readonly message: string;
	/**
	 * Accepted revision against which the change was planned; 0 if there was none. A different accepted
	 * revision is a conflict. Undefined skips the check.
	 */
	readonly baseRevision: number | undefined;
	/** Unique to each change; identifies its revision in the head row and in the history. */
	readonly changeId: string;
	/** Maximum time to wait for acceptance, in ms. */
	readonly waitTime: Millis;
	/** Whether to withdraw the staged revision if it is not accepted within `waitTime`. */
	readonly isWithdrawnLate: boolean;
}

/** State of a change when {@link ChangeApplier.apply} returns. */
export enum ApplyOutcome {
	/** Every zone has acknowledged the revision, and it is in force. */
	Accepted = 'accepted',
	/** The accepted revision already has the same content; nothing was staged. */
	Unchanged = 'unchanged',
	/** Another change is staged, or was accepted after this one was planned. */
	Conflict = 'conflict',
	/** Some zones did not acknowledge the revision in time; it stays staged. */
	Pending = 'pending',
	/** The revision was withdrawn before every zone acknowledged it. */
	Withdrawn = 'withdrawn',
}

/** Result of applying a change. */
export interface ApplyResult {
	readonly outcome: ApplyOutcome;
	readonly revision: number;
	/** Zones that have not acknowledged the revision. */
	readonly silentZones: readonly string[];
	/** On a conflict: differences from the staged (else the accepted) declaration to the requested one. */
	readonly differences: readonly PlannedChange[];
}

/** Interval between reads of the head row while waiting for acceptance. */
const pollPeriod: Millis = 100;

/** Delay before a failed write to the store is retried. */
const retryPeriod: Millis = 500;

/** Stages an operator's change in the platform's store and waits until it is accepted. */
export class ChangeApplier {
	constructor(
		private readonly store: DeclarationStore,
		private readonly clock: Clock,
	) {}

	/**
	 * Applies a change.
	 * @param request - the change.
	 * @returns the outcome of the change when it was accepted or withdrawn, or when the wait time ended.
	 * @throws {@link StoreUnavailableError} when the store is unavailable and the outcome is unknown.
	 */
	async apply(request: ChangeRequest): Promise<ApplyResult> {
		const lifecycle = createActor(changeMachine).start();
		const content = serializeDeclaration(request.declaration);
		const hash = hashContent(content);
		const row = await this.store.readHead();
		const earlyResult = await this.checkPreconditions(request, row, hash);
		if (earlyResult) {
			return earlyResult;
		}

		const waitBeforeRetry = async () => pause(this.clock, retryPeriod);
		await this.store.putContent(hash, content, waitBeforeRetry);
		const {author, message, changeId} = request;
		const at = this.clock.wallNow();
		const nextHead = stage(row.head, {hash, author, message, changeId, at});
		const writeResult = await this.store.replaceHead(row, nextHead, waitBeforeRetry);
		if (writeResult === HeadWriteResult.Conflict) {
			lifecycle.send({type: ChangeEvent.StageConflict});
			return this.conflictResult(request);
		}

		lifecycle.send({type: ChangeEvent.StageWritten});
		const revision = nextHead.lastRevision;
		const waitUntil = this.clock.now() + request.waitTime;
		while (this.clock.now() < waitUntil) {
			const event = await this.readLifecycleEvent(revision, changeId); // eslint-disable-line no-await-in-loop
			if (event) {
				lifecycle.send({type: event});
				return resultOfState(lifecycle.getSnapshot().value, revision);
			}

			await pause(this.clock, pollPeriod); // eslint-disable-line no-await-in-loop
		}

		return this.finishOnTimeout(request, revision);
	}

	private async checkPreconditions(
		request: ChangeRequest,
		row: HeadRow,
		hash: string,
	): Promise<ApplyResult | undefined> {
		const {accepted, staged} = row.head;
		const base = request.baseRevision;
		if (staged !== undefined || (base !== undefined && base !== (accepted?.revision ?? 0))) {
			const isSameChange = staged?.hash === hash && base === accepted?.revision;
			return isSameChange ? this.pendingResult(staged.revision) : this.conflictResult(request);
		}

		if (accepted?.hash === hash) {
			return result(ApplyOutcome.Unchanged, accepted.revision);
		}

		return undefined;
	}

	private async readLifecycleEvent(
		revision: number,
		changeId: string,
	): Promise<ChangeEvent | undefined> {
		try {
			const {head} = await this.store.readHead();
			const isAccepted = (head.accepted?.revision ?? 0) >= revision;
			if (isAccepted) {
				const isOwn = head.accepted?.changeId === changeId || (await this.isInHistory(changeId));
				return isOwn ? ChangeEvent.AcceptSeen : ChangeEvent.WithdrawSeen;
			}

			return head.staged?.changeId === changeId ? undefined : ChangeEvent.WithdrawSeen;
		} catch (err) {
			if (err instanceof StoreUnavailableError) {
				return undefined;
			}

			throw err;
		}
	}

	private async isInHistory(changeId: string): Promise<boolean> {
		const history = await this.store.history();
		return history.some((record) => record.changeId === changeId);
	}

	private async finishOnTimeout(request: ChangeRequest, revision: number): Promise<ApplyResult> {
		if (!request.isWithdrawnLate) {
			return this.pendingResult(revision);
		}

		const silentZones = await this.store.unacknowledgedZones(revision);
		const row = await this.store.readHead();
		if (row.head.staged?.changeId === request.changeId) {
			await this.store.withdrawStaged(row, async () => pause(this.clock, retryPeriod));
		}

		// The change may have been accepted in the meantime; the head row is authoritative.
		const event = await this.readLifecycleEvent(revision, request.changeId);
		const isAccepted = event === ChangeEvent.AcceptSeen;
		const outcome = isAccepted ? ApplyOutcome.Accepted : ApplyOutcome.Withdrawn;
		return {...result(outcome, revision), silentZones: isAccepted ? [] : silentZones};
	}

	private async pendingResult(revision: number): Promise<ApplyResult> {
		const silentZones = await this.store.unacknowledgedZones(revision);
		return {...result(ApplyOutcome.Pending, revision), silentZones};
	}

	private async conflictResult(request: ChangeRequest): Promise<ApplyResult> {
		const {head} = await this.store.readHead();
		const record = head.staged ?? head.accepted;
		const current = await this.readDeclaration(record);
		const differences = planChanges(current, request.declaration);
		const revision = record?.revision ?? 0;
		return {outcome: ApplyOutcome.Conflict, revision, silentZones: [], differences};
	}

	private async readDeclaration(
		record: RevisionRecord | undefined,
	): Promise<Declaration | undefined> {
		const content = record && (await this.store.getContent(record.hash));
		return content === undefined ? undefined : parseContent(content);
	}
}

function result(outcome: ApplyOutcome, revision: number): ApplyResult {
	return {outcome, revision, silentZones: [], differences: []};
}

function resultOfState(state: ChangeState, revision: number): ApplyResult {
	const isAccepted = state === ChangeState.Accepted;
	return result(isAccepted ? ApplyOutcome.Accepted : ApplyOutcome.Withdrawn, revision);
}
