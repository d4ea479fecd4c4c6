import type {Readable} from 'node:stream';
import type {HeaderList} from '../call/index.js';

/** Bodies up to this many bytes travel in one piece with their head. */
export const maxInlineBodyBytes = 65_536;

/** A body that is here as a whole, or a stream that is read once. */
export interface Body {
	/** The whole body; undefined for a stream. */
	readonly bytes: Uint8Array | undefined;
	/** The stream; undefined for a whole body. */
	readonly stream: Readable | undefined;
	/** Trailers; complete once the body has ended. */
	readonly trailers: HeaderList;
	/** Whether the sender marks the end; else the end of its connection is the end of the body. */
	readonly isDelimited: boolean;
}

/**
 * @param bytes - the whole body.
 * @param trailers - trailers after it.
 * @param isDelimited - whether the sender marks the end of the body.
 * @returns a body that is here as a whole.
 */
export function createBufferedBody(
	bytes: Uint8Array,
	trailers: HeaderList = [],
	isDelimited = true,
): Body {
	return {bytes, stream: undefined, trailers, isDelimited};
}

/**
 * @param stream - the bytes.
 * @param trailers - a list that is filled before the stream ends.
 * @param isDelimited - whether the sender marks the end of the body.
 * @returns a body that is read once.
 */
export function createStreamBody(
	stream: Readable,
	trailers: HeaderList = [],
	isDelimited = true,
): Body {
	return {bytes: undefined, stream, trailers, isDelimited};
}
