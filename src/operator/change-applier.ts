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

/** What an operator wants. */
export interface ChangeRequest {
	readonly declaration: Declaration;
	readonly author: string;
	readonly message: string;
	/** Revision on which the change was planned; undefined for the accepted one, whichever it is. */
	readonly baseRevision: number | undefined;
	/** Unique for each change. */
	readonly changeId: string;
	/** How long to wait until the change is accepted. */
	readonly waitTime: Millis;
	/** Whether to take the change back when it is not accepted in time. */
	readonly isWithdrawnLate: boolean;
}

/** How an operator's change ended, as far as its program waited. */
export enum ApplyOutcome {
	/** Every zone holds the revision, and it is in force. */
	Accepted = 'accepted',
	/** The accepted revision says the same already. */
	Unchanged = 'unchanged',
	/** Somebody else was first. */
	Conflict = 'conflict',
	/** Zones have not acknowledged it in time; it stays staged. */
	Pending = 'pending',
	/** Zones have not acknowledged it in time; it was taken back. */
	Withdrawn = 'withdrawn',
}

/** What became of a change. */
export interface ApplyResult {
	readonly outcome: ApplyOutcome;
	readonly revision: number;
	/** Zones that have not acknowledged the revision. */
	readonly silentZones: readonly string[];
	/** With a conflict: what is accepted or staged now, against what is wanted. */
	readonly differences: readonly PlannedChange[];
}

const pollPeriod: Millis = 100;
const retryPeriod: Millis = 500;

/** Brings an operator's change into the store and waits until it is accepted. */
export class ChangeApplier {
	constructor(
		private readonly store: DeclarationStore,
		private readonly clock: Clock,
	) {}

	/**
	 * @param request - what the operator wants.
	 * @returns what became of it.
	 * @throws {@link StoreUnavailableError} when nothing is known of the change.
	 */
	async apply(request: ChangeRequest): Promise<ApplyResult> {
		const lifecycle = createActor(changeMachine).start();
		const content = serializeDeclaration(request.declaration);
		const hash = hashContent(content);
		const row = await this.store.readHead();
		const early = await this.checkBefore(request, row, hash);
		if (early) {
			return early;
		}

		const wait = async () => pause(this.clock, retryPeriod);
		await this.store.putContent(hash, content, wait);
		const {author, message, changeId} = request;
		const at = this.clock.wallNow();
		const after = stage(row.head, {hash, author, message, changeId, at});
		const written = await this.store.replaceHead(row, after, wait);
		if (written === HeadWriteResult.Conflict) {
			lifecycle.send({type: ChangeEvent.StageConflict});
			return this.conflict(request);
		}

		lifecycle.send({type: ChangeEvent.StageWritten});
		const revision = after.lastRevision;
		const until = this.clock.now() + request.waitTime;
		while (this.clock.now() < until) {
			const event = await this.look(revision, changeId); // eslint-disable-line no-await-in-loop
			if (event) {
				lifecycle.send({type: event});
				return resultOf(lifecycle.getSnapshot().value, revision);
			}

			await pause(this.clock, pollPeriod); // eslint-disable-line no-await-in-loop
		}

		return this.giveUp(request, revision);
	}

	private async checkBefore(
		request: ChangeRequest,
		row: HeadRow,
		hash: string,
	): Promise<ApplyResult | undefined> {
		const {accepted, staged} = row.head;
		const base = request.baseRevision;
		if (staged !== undefined || (base !== undefined && base !== (accepted?.revision ?? 0))) {
			const isSame = staged?.hash === hash && base === accepted?.revision;
			return isSame ? this.pending(staged.revision) : this.conflict(request);
		}

		if (accepted?.hash === hash) {
			return result(ApplyOutcome.Unchanged, accepted.revision);
		}

		return undefined;
	}

	private async look(revision: number, changeId: string): Promise<ChangeEvent | undefined> {
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

	private async giveUp(request: ChangeRequest, revision: number): Promise<ApplyResult> {
		if (!request.isWithdrawnLate) {
			return this.pending(revision);
		}

		const silentZones = await this.store.unacknowledgedZones(revision);
		const row = await this.store.readHead();
		if (row.head.staged?.changeId === request.changeId) {
			await this.store.withdrawStaged(row, async () => pause(this.clock, retryPeriod));
		}

		// It may have been accepted in the meantime: the row tells.
		const event = await this.look(revision, request.changeId);
		const isAccepted = event === ChangeEvent.AcceptSeen;
		const outcome = isAccepted ? ApplyOutcome.Accepted : ApplyOutcome.Withdrawn;
		return {...result(outcome, revision), silentZones: isAccepted ? [] : silentZones};
	}

	private async pending(revision: number): Promise<ApplyResult> {
		const silentZones = await this.store.unacknowledgedZones(revision);
		return {...result(ApplyOutcome.Pending, revision), silentZones};
	}

	private async conflict(request: ChangeRequest): Promise<ApplyResult> {
		const {head} = await this.store.readHead();
		const record = head.staged ?? head.accepted;
		const current = await this.declarationOf(record);
		const differences = planChanges(current, request.declaration);
		const revision = record?.revision ?? 0;
		return {outcome: ApplyOutcome.Conflict, revision, silentZones: [], differences};
	}

	private async declarationOf(
		record: RevisionRecord | undefined,
	): Promise<Declaration | undefined> {
		const content = record && (await this.store.getContent(record.hash));
		return content === undefined ? undefined : parseContent(content);
	}
}

function result(outcome: ApplyOutcome, revision: number): ApplyResult {
	return {outcome, revision, silentZones: [], differences: []};
}

function resultOf(state: ChangeState, revision: number): ApplyResult {
	const isAccepted = state === ChangeState.Accepted;
	return result(isAccepted ? ApplyOutcome.Accepted : ApplyOutcome.Withdrawn, revision);
}
