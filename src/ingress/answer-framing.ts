import type {IncomingMessage} from 'node:http';
import type {HeaderList} from '../call/index.js';
import type {Body} from '../exchange/index.js';
import {hasHeader, mayHaveContent} from '../executor/index.js';

/** What marks the end of an answer for its caller (RFC 9112, section 6.3). */
export enum AnswerFraming {
	/** The head: the answer has no content. */
	Head = 'head',
	/** The length in the head. */
	Length = 'length',
	/** The last chunk. */
	Chunks = 'chunks',
	/** The end of the connection; a truncated answer must reset it. */
	Connection = 'connection',
}

/** An answer that is about to be written. */
export interface FramedAnswer {
	readonly status: number;
	readonly headers: HeaderList;
	readonly body: Body;
}

/**
 * Chooses what marks the end of an answer. Only a mark that a process writes itself, behind the whole body, is missing
 * whatever ends the process; the end of a connection is not.
 * @param req - the caller's request.
 * @param answer - the answer.
 * @returns the framing; the end of the connection only for callers that know no chunks.
 */
export function chooseFraming(
	{method, httpVersion}: Pick<IncomingMessage, 'method' | 'httpVersion'>,
	{status, headers, body}: FramedAnswer,
): AnswerFraming {
	if (!mayHaveContent(method, status)) {
		return AnswerFraming.Head;
	}

	const knowsChunks = httpVersion === '1.1';
	const needsChunks = body.bytes === undefined || (body.trailers.length > 0 && knowsChunks);
	if (hasHeader(headers, 'content-length') || !needsChunks) {
		return AnswerFraming.Length;
	}

	return knowsChunks ? AnswerFraming.Chunks : AnswerFraming.Connection;
}

/**
 * @param framing - framing of the answer.
 * @param answer - the answer.
 * @returns the headers that its framing adds.
 */
export function framingHeaders(framing: AnswerFraming, {headers, body}: FramedAnswer): HeaderList {
	const isNamed = framing !== AnswerFraming.Length || hasHeader(headers, 'content-length');
	return isNamed ? [] : ['content-length', String(body.bytes?.length)];
}
