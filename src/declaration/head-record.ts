import type {Millis} from '../clock/index.js';

/** One configuration revision as the store keeps it. */
export interface RevisionRecord {
	readonly revision: number;
	/** Hash of the content, which is the name of its object. */
	readonly hash: string;
	/** Made by the operator's program; tells whose write a row holds. */
	readonly changeId: string;
	readonly author: string;
	readonly message: string;
	/** Time of day in ms since the Unix epoch. */
	readonly at: Millis;
}

/** The one row that decides which revision is accepted. */
export interface HeadRecord {
	/** Highest revision number ever given out; withdrawn ones count. */
	readonly lastRevision: number;
	readonly accepted: RevisionRecord | undefined;
	readonly staged: RevisionRecord | undefined;
}

/** The head before the first change. */
export const emptyHead: HeadRecord = {
	lastRevision: 0,
	accepted: undefined,
	staged: undefined,
};

/**
 * @param head - the head as it was read.
 * @param change - what an operator wants.
 * @returns the head with the change as its staged revision.
 */
export function stage(head: HeadRecord, change: Omit<RevisionRecord, 'revision'>): HeadRecord {
	const revision = head.lastRevision + 1;
	return {...head, lastRevision: revision, staged: {...change, revision}};
}

/**
 * @param head - a head with a staged revision.
 * @returns the head with that revision accepted.
 */
export function accept(head: HeadRecord): HeadRecord {
	return {...head, accepted: head.staged, staged: undefined};
}

/**
 * @param head - a head with a staged revision.
 * @returns the head without it.
 */
export function withdraw(head: HeadRecord): HeadRecord {
	return {...head, staged: undefined};
}

/**
 * @param text - value of the head row; undefined when there is none.
 * @returns the record.
 */
export function parseHead(text: string | undefined): HeadRecord {
	if (text === undefined) {
		return emptyHead;
	}

	const parsed = JSON.parse(text) as Partial<HeadRecord>; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
	return {...emptyHead, ...parsed};
}
