import type {Undo} from '../clock/index.js';
import {hashBytes} from '../util/index.js';
import type {Declaration} from './declaration.js';
import {DeclarationIndex} from './declaration-index.js';

/** The newest revisions that somebody knows of. */
export interface KnownRevisions {
	/** Revision that is accepted; 0 for none. */
	readonly accepted: number;
	/** Hash of the accepted revision's content. */
	readonly acceptedHash: string;
	/** Revision that is staged; 0 for none. */
	readonly staged: number;
	/** Hash of the staged revision's content. */
	readonly stagedHash: string;
}

/** Content that is no declaration. */
export class DeclarationContentError extends Error {
	override name = 'DeclarationContentError';
}

const noNews: KnownRevisions = {accepted: 0, acceptedHash: '', staged: 0, stagedHash: ''};

/**
 * @param content - content of a revision.
 * @returns the hash by which it is named.
 */
export function hashContent(content: string): string {
	return hashBytes(new TextEncoder().encode(content));
}

/**
 * @param declaration - what operators declare.
 * @returns the content of a revision.
 */
export function serializeDeclaration(declaration: Declaration): string {
	return JSON.stringify(declaration);
}

/**
 * @param content - content of a revision.
 * @returns the declaration.
 * @throws {@link DeclarationContentError}
 */
export function parseContent(content: string): Declaration {
	const parsed: unknown = JSON.parse(content);
	const isDeclaration =
		typeof parsed === 'object' && parsed !== null && 'services' in parsed && 'calls' in parsed;
	if (!isDeclaration) {
		throw new DeclarationContentError('the content is no declaration');
	}

	return parsed as Declaration; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
}

/**
 * What a node knows of configuration revisions. Revisions only go up: neither an old peer nor a
 * store that was set back can bring a lower one into force.
 */
export class RevisionTracker {
	private news = noNews;
	private readonly contents = new Map<string, Declaration>();
	private readonly texts = new Map<string, string>();
	private readonly listeners = new Set<(index: DeclarationIndex) => void>();
	private index: DeclarationIndex | undefined;

	/** The revision in force; undefined before the first. */
	get inForce(): DeclarationIndex | undefined {
		return this.index;
	}

	/** The newest revisions that this node has heard of. */
	get known(): KnownRevisions {
		return this.news;
	}

	/** The highest revision whose content this node holds. */
	get heldRevision(): number {
		const {accepted, acceptedHash, staged, stagedHash} = this.news;
		const heldAccepted = this.contents.has(acceptedHash) ? accepted : 0;
		return this.contents.has(stagedHash) ? Math.max(staged, heldAccepted) : heldAccepted;
	}

	/**
	 * Takes in what somebody knows.
	 * @param news - its newest revisions.
	 * @returns whether something of it was new.
	 */
	merge(news: KnownRevisions): boolean {
		const isAcceptedNew = news.accepted > this.news.accepted;
		const isStagedNew = news.staged > this.news.staged;
		if (!isAcceptedNew && !isStagedNew) {
			return false;
		}

		this.news = {
			accepted: isAcceptedNew ? news.accepted : this.news.accepted,
			acceptedHash: isAcceptedNew ? news.acceptedHash : this.news.acceptedHash,
			staged: isStagedNew ? news.staged : this.news.staged,
			stagedHash: isStagedNew ? news.stagedHash : this.news.stagedHash,
		};
		this.switchIfHeld();
		return true;
	}

	/** @returns hashes of contents that this node needs and does not hold. */
	missing(): string[] {
		const {accepted, acceptedHash, staged, stagedHash} = this.news;
		const wanted: string[] = [];
		if (accepted > 0 && !this.contents.has(acceptedHash)) {
			wanted.push(acceptedHash);
		}

		if (staged > accepted && !this.contents.has(stagedHash)) {
			wanted.push(stagedHash);
		}

		return wanted;
	}

	/**
	 * @param hash - hash of a content.
	 * @returns the content, if it is held.
	 */
	contentOf(hash: string): string | undefined {
		return this.texts.get(hash);
	}

	/**
	 * Takes in the content of a revision.
	 * @param hash - the hash by which it was asked for.
	 * @param content - the content.
	 * @throws {@link DeclarationContentError} when it is not what the hash names.
	 */
	addContent(hash: string, content: string): void {
		if (hashContent(content) !== hash) {
			throw new DeclarationContentError('the content does not match its hash');
		}

		this.contents.set(hash, parseContent(content));
		this.texts.set(hash, content);
		this.switchIfHeld();
		this.dropOld();
	}

	/**
	 * @param listener - called when a revision comes into force.
	 * @returns a function that ends the registration.
	 */
	registerListener(listener: (index: DeclarationIndex) => void): Undo {
		this.listeners.add(listener);
		return () => {
			this.listeners.delete(listener);
		};
	}

	private switchIfHeld(): void {
		const declaration = this.contents.get(this.news.acceptedHash);
		const {accepted} = this.news;
		if (!declaration || accepted <= (this.index?.revision ?? 0)) {
			return;
		}

		this.index = new DeclarationIndex(accepted, declaration);
		for (const listener of this.listeners) {
			listener(this.index);
		}
	}

	private dropOld(): void {
		const {acceptedHash, stagedHash} = this.news;
		for (const hash of this.contents.keys()) {
			if (hash !== acceptedHash && hash !== stagedHash) {
				this.contents.delete(hash);
				this.texts.delete(hash);
			}
		}
	}
}
