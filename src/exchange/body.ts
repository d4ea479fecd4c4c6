import type {Readable} from 'node:stream';
import type {HeaderList} from '../call/index.js';

/** Maximum size of a body that is buffered and sent in one piece with its head. */
export const maxInlineBodyBytes = 65_536;

/** Body of a request or an answer: either buffered, or a stream that can be read once. */
export interface Body {
	/** The complete body; undefined for a stream. */
	readonly bytes: Uint8Array | undefined;
	/** The stream; undefined for a buffered body. */
	readonly stream: Readable | undefined;
	/** Trailers, which are complete once the body has ended. */
	readonly trailers: HeaderList;
	/** Whether the sender marked the end of the body; otherwise it ended with its connection. For peers of earlier versions. */
	readonly isDelimited: boolean;
	/** Declared size of a stream, in bytes; undefined if it is not known. */
	readonly length?: number | undefined;
}

/**
 * @param bytes - the complete body.
 * @param trailers - trailers that follow the body.
 * @param isDelimited - whether the sender marks the end of the body.
 * @returns a buffered body.
 */
export function createBufferedBody(
	bytes: Uint8Array,
	trailers: HeaderList = [],
	isDelimited = true,
): Body {
	return {bytes, stream: undefined, trailers, isDelimited};
}

/**
 * @param stream - source of the body.
 * @param trailers - list to which the trailers are added before the stream ends.
 * @param isDelimited - whether the sender marks the end of the body.
 * @param length - declared size in bytes; undefined if it is not known.
 * @returns a body that can be read once.
 */
export function createStreamBody(
	stream: Readable,
	trailers: HeaderList = [],
	isDelimited = true,
	length?: number,
): Body {
	return {bytes: undefined, stream, trailers, isDelimited, length};
}
