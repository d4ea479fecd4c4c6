import type {IncomingMessage} from 'node:http';
import type {HeaderList} from '../call/index.js';
import type {Body} from '../exchange/index.js';
import {BodyFraming, hasHeader, mayHaveContent} from '../executor/index.js';

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
 * @returns the framing; the end of the connection only for callers that know no chunks, and then a truncated answer must
 * reset it.
 */
export function chooseFraming(
	{method, httpVersion}: Pick<IncomingMessage, 'method' | 'httpVersion'>,
	{status, headers, body}: FramedAnswer,
): BodyFraming {
	if (!mayHaveContent(method, status)) {
		return BodyFraming.None;
	}

	const knowsChunks = httpVersion === '1.1';
	const needsChunks = body.bytes === undefined || (body.trailers.length > 0 && knowsChunks);
	if (hasHeader(headers, 'content-length') || !needsChunks) {
		return BodyFraming.Length;
	}

	return knowsChunks ? BodyFraming.Chunks : BodyFraming.Connection;
}

/**
 * @param framing - framing of the answer.
 * @param answer - the answer.
 * @returns the headers that its framing adds.
 */
export function framingHeaders(framing: BodyFraming, {headers, body}: FramedAnswer): HeaderList {
	const isNamed = framing !== BodyFraming.Length || hasHeader(headers, 'content-length');
	return isNamed ? [] : ['content-length', String(body.bytes?.length)];
}
