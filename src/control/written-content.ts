import {Buffer} from 'node:buffer';
import {hashContent, serializeDeclaration} from '../declaration/index.js';
import {maxFrameBytes} from '../link/index.js';
import type {ConfigurationSource} from './configuration-feed.js';

/** A configuration is larger than nodes can hold and pass on. */
export class ContentSizeError extends Error {
	override name = 'ContentSizeError';
}

/** Content of a revision that was read from the row of the operators. */
export interface WrittenContent {
	readonly revision: number;
	readonly content: string;
	readonly hash: string;
}

/** Part of a frame that is left for its other fields. */
const frameReserveBytes = 4096;
/** Largest content that fits into one frame between two nodes. */
const maxContentBytes = maxFrameBytes - frameReserveBytes;
/** Largest row that is parsed. Parsing blocks the node: a row of about 8 MB with 100,000 customers took 1.4 s. */
const maxRowLength = maxFrameBytes;

/**
 * @param source - parser of the row.
 * @param text - value of the row.
 * @returns the content and its hash.
 * @throws {@link ContentSizeError} when the configuration is too large.
 * @throws Error when the text is not a valid configuration.
 */
export function readWrittenContent(source: ConfigurationSource, text: string): WrittenContent {
	if (text.length > maxRowLength) {
		throw new ContentSizeError(`the row has ${text.length} characters, more than ${maxRowLength}`);
	}

	const {revision, declaration} = source.parse(text);
	const content = serializeDeclaration(declaration);
	const size = Buffer.byteLength(content);
	if (size > maxContentBytes) {
		throw new ContentSizeError(
			`revision ${revision} has ${size} bytes, more than the ${maxContentBytes} that nodes exchange`,
		);
	}

	return {revision, content, hash: hashContent(content)};
}
