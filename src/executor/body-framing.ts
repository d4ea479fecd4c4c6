import type {HeaderList} from '../call/index.js';
import {hasHeader, headerValue} from './headers.js';

/** What marks the end of the body of an answer, for a node or for its caller (RFC 9112, section 6.3). */
export enum BodyFraming {
	/** The head: the answer has no content. */
	None = 'none',
	/** The length in the head. */
	Length = 'length',
	/** The last chunk. */
	Chunks = 'chunks',
	/** The end of the connection. */
	Connection = 'connection',
	/** A transfer coding that was not requested and cannot be removed. */
	Unknown = 'unknown',
}

/**
 * @param method - method of the request.
 * @param status - status of the answer.
 * @returns whether the answer may have content.
 */
export function mayHaveContent(method: string | undefined, status: number): boolean {
	return method !== 'HEAD' && status !== 204 && status !== 304;
}

/**
 * @param method - method of the request.
 * @param status - status of the answer.
 * @param headers - headers of the answer.
 * @returns what marks the end of its body.
 */
export function readFraming(method: string, status: number, headers: HeaderList): BodyFraming {
	if (!mayHaveContent(method, status)) {
		return BodyFraming.None;
	}

	const coding = headerValue(headers, 'transfer-encoding');
	if (coding !== undefined) {
		const isChunked = coding.trim().toLowerCase() === 'chunked';
		return isChunked ? BodyFraming.Chunks : BodyFraming.Unknown;
	}

	return hasHeader(headers, 'content-length') ? BodyFraming.Length : BodyFraming.Connection;
}

/**
 * @param headers - headers of an answer.
 * @returns whether they name a length or a transfer coding, which no interim answer has.
 */
export function isFramed(headers: HeaderList): boolean {
	return hasHeader(headers, 'content-length') || hasHeader(headers, 'transfer-encoding');
}
