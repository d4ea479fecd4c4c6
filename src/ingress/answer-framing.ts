import type {IncomingMessage} from 'node:http';
import type {HeaderList} from '../call/index.js';
import type {Body} from '../exchange/index.js';
import {BodyFraming, hasHeader, mayHaveContent, stripHeaders} from '../executor/index.js';

const noContentStatus = 204;
/** Fields by which a message is read. */
const framingHeaders: ReadonlySet<string> = new Set([
	'content-length',
	'host',
	'trailer',
	'transfer-encoding',
]);

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
 * @returns its headers as they fit its framing, which may be another one than that of the backend server.
 */
export function framedHeaders(
	framing: BodyFraming,
	{status, headers, body}: FramedAnswer,
): HeaderList {
	const kept: HeaderList = [];
	for (let i = 0; i < headers.length; i += 2) {
		if (mayStay(headers[i]!.toLowerCase(), framing, status)) {
			kept.push(headers[i]!, headers[i + 1]!);
		}
	}

	const isNamed = framing !== BodyFraming.Length || hasHeader(headers, 'content-length');
	return isNamed ? kept : [...kept, 'content-length', String(body.bytes?.length)];
}

/**
 * @param trailers - trailers of the backend server's answer.
 * @returns those that may follow an answer: no sender may send fields that frame a message there (RFC 9110, section 6.5.1).
 */
export function forwardableTrailers(trailers: HeaderList): Array<[string, string]> {
	const kept = stripHeaders(trailers);
	const pairs: Array<[string, string]> = [];
	for (let i = 0; i < kept.length; i += 2) {
		if (!framingHeaders.has(kept[i]!.toLowerCase())) {
			pairs.push([kept[i]!, kept[i + 1]!]);
		}
	}

	return pairs;
}

function mayStay(name: string, framing: BodyFraming, status: number): boolean {
	switch (name) {
		case 'trailer': {
			// Only chunks can be followed by trailers; the HTTP library throws at others that announce them.
			return framing === BodyFraming.Chunks;
		}

		case 'content-length': {
			return status !== noContentStatus;
		}

		default: {
			return true;
		}
	}
}
