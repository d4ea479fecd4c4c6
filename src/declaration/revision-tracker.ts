import type {Undo} from '../clock/index.js';
import {hashBytes} from '../util/index.js';
import type {Declaration} from './declaration.js';
import {applyDelta, diffDeclarations, type DeclarationDelta} from './declaration-delta.js';
import {DeclarationIndex} from './declaration-index.js';

/** The newest revisions that a node or the store knows. */
export interface KnownRevisions {
	/** Number of the accepted revision; 0 for none. */
	readonly accepted: number;
	/** Hash of the accepted revision's content. */
	readonly acceptedHash: string;
	/** Number of the staged revision; 0 for none. */
	readonly staged: number;
	/** Hash of the staged revision's content. */
	readonly stagedHash: string;
}

/** Content is not a declaration, or does not match its hash. */
export class DeclarationContentError extends Error {
	override name = 'DeclarationContentError';
}

/** Earlier contents from which deltas are made: a peer that lags further behind fetches the full content. */
const maxEarlierContents = 6;
const noRevisions: KnownRevisions = {accepted: 0, acceptedHash: '', staged: 0, stagedHash: ''};

/**
 * @param content - content of a revision.
 * @returns the hash that identifies it.
 */
export function hashContent(content: string): string {
	return hashBytes(new TextEncoder().encode(content));
}

/**
 * @param declaration - a rendered declaration.
 * @returns the content of a revision.
 */
export function serializeDeclaration(declaration: Declaration): string {
	return JSON.stringify(declaration);
}

/**
 * @param content - content of a revision.
 * @returns the declaration.
 * @throws {@link DeclarationContentError} when the content is not a declaration.
 */
export function parseContent(content: string): Declaration {
	const parsed: unknown = JSON.parse(content);
	const isDeclaration =
		typeof parsed === 'object' && parsed !== null && 'services' in parsed && 'calls' in parsed;
	if (!isDeclaration) {
		throw new DeclarationContentError(
			'content is not a declaration: "services" or "calls" is missing',
		);
	}

	return parsed as Declaration; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
}

/**
 * Tracks the configuration revisions that a node knows. Revision numbers only increase: neither a stale
 * peer nor a store that was restored to an earlier state can bring a lower revision into force.
 */
export class RevisionTracker {
	private newest = noRevisions;
	private readonly contents = new Map<string, Declaration>();
	private readonly texts = new Map<string, string>();
	/** Contents of the last revisions in force, the newest last; the base of deltas that peers ask for. */
	private readonly earlier = new Map<string, string>();
	private readonly deltas = new Map<string, string>();
	private readonly listeners = new Set<(index: DeclarationIndex) => void>();
	private index: DeclarationIndex | undefined;

	/** The revision in force; undefined before the first. */
	get inForce(): DeclarationIndex | undefined {
		return this.index;
	}

	/** The newest revisions that this node knows. */
	get known(): KnownRevisions {
		return this.newest;
	}

	/** The highest revision whose content this node holds. */
	get heldRevision(): number {
		const {accepted, acceptedHash, staged, stagedHash} = this.newest;
		const heldAccepted = this.contents.has(acceptedHash) ? accepted : 0;
		return this.contents.has(stagedHash) ? Math.max(staged, heldAccepted) : heldAccepted;
	}

	/**
	 * Merges the revisions that a peer or the store knows.
	 * @param revisions - the newest revisions of the peer or the store.
	 * @returns whether one of them was newer than known here.
	 */
	merge(revisions: KnownRevisions): boolean {
		const isAcceptedNew = revisions.accepted > this.newest.accepted;
		const isStagedNew = revisions.staged > this.newest.staged;
		if (!isAcceptedNew && !isStagedNew) {
			return false;
		}

		this.newest = {
			accepted: isAcceptedNew ? revisions.accepted : this.newest.accepted,
			acceptedHash: isAcceptedNew ? revisions.acceptedHash : this.newest.acceptedHash,
			staged: isStagedNew ? revisions.staged : this.newest.staged,
			stagedHash: isStagedNew ? revisions.stagedHash : this.newest.stagedHash,
		};
		this.activateAccepted();
		return true;
	}

	/** @returns hashes of the contents that this node still has to fetch. */
	missing(): string[] {
		const {accepted, acceptedHash, staged, stagedHash} = this.newest;
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
	 * @returns the content; undefined when this node does not hold it.
	 */
	contentOf(hash: string): string | undefined {
		return this.texts.get(hash);
	}

	/**
	 * Stores the content of a revision, and brings the revision into force when it is accepted.
	 * @param hash - the hash by which it was requested.
	 * @param content - the content.
	 * @throws {@link DeclarationContentError} when the content does not match the hash or is not a declaration.
	 */
	addContent(hash: string, content: string): void {
		if (hashContent(content) !== hash) {
			throw new DeclarationContentError('content does not match its hash');
		}

		this.contents.set(hash, parseContent(content));
		this.texts.set(hash, content);
		this.activateAccepted();
		this.removeUnreferenced();
	}

	/** Hash of the newest content that this node holds; empty before the first. */
	get heldHash(): string {
		return [...this.contents.keys()].at(-1) ?? '';
	}

	/**
	 * @param hash - hash of a content that this node holds.
	 * @param base - hash of a content that a peer holds.
	 * @returns the delta between them, serialized; undefined when this node lacks one of them, or when the delta is
	 * not shorter than the content.
	 */
	deltaOf(hash: string, base: string): string | undefined {
		const known = this.deltas.get(`${base} ${hash}`);
		const next = this.contents.get(hash);
		const baseText = this.earlier.get(base) ?? this.texts.get(base);
		if (known !== undefined || !next || baseText === undefined) {
			return known;
		}

		const delta = JSON.stringify(diffDeclarations(parseContent(baseText), next));
		if (delta.length >= (this.texts.get(hash)?.length ?? 0)) {
			return undefined;
		}

		this.deltas.set(`${base} ${hash}`, delta);
		return delta;
	}

	/**
	 * Makes the content of a revision out of an earlier one and stores it like {@link addContent}.
	 * @param hash - the hash by which the content was requested.
	 * @param base - hash of the content that the delta starts from.
	 * @param delta - the serialized delta.
	 * @throws {@link DeclarationContentError} when the result does not match the hash.
	 */
	addDelta(hash: string, base: string, delta: string): void {
		const text = this.texts.get(base) ?? this.earlier.get(base);
		const declaration = this.contents.get(base) ?? (text && parseContent(text));
		if (!declaration) {
			throw new DeclarationContentError('the content that the delta starts from is not held');
		}

		const parsed = JSON.parse(delta) as DeclarationDelta; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
		this.addContent(hash, serializeDeclaration(applyDelta(declaration, parsed)));
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

	private activateAccepted(): void {
		const declaration = this.contents.get(this.newest.acceptedHash);
		const {accepted} = this.newest;
		if (!declaration || accepted <= (this.index?.revision ?? 0)) {
			return;
		}

		this.index = new DeclarationIndex(accepted, declaration);
		for (const listener of this.listeners) {
			listener(this.index);
		}
	}

	private removeUnreferenced(): void {
		const {acceptedHash, stagedHash} = this.newest;
		for (const hash of this.contents.keys()) {
			if (hash !== acceptedHash && hash !== stagedHash) {
				this.keepEarlier(hash);
				this.contents.delete(hash);
				this.texts.delete(hash);
			}
		}
	}

	private keepEarlier(hash: string): void {
		this.deltas.clear();
		this.earlier.set(hash, this.texts.get(hash) ?? '');
		for (const oldest of this.earlier.keys()) {
			if (this.earlier.size <= maxEarlierContents) {
				return;
			}

			this.earlier.delete(oldest);
		}
	}
}
