/** What happens to a connection on which the HTTP parser has failed. */
export enum ParseFailureAction {
	/** Close it at once; nobody waits for an answer on it. */
	Destroy = 'destroy',
	/** Close it without an answer, as no request was begun. */
	CloseSilently = 'close-silently',
	/** Answer the requests that were read to their end, in order, and close it behind the last of them. */
	CloseBehindLast = 'close-behind-last',
	/** Answer the malformed request with a refusal. */
	Refuse = 'refuse',
}

/** State of a connection when the parser fails. */
export interface ParseFailure {
	/** Code of the parser's error. */
	readonly code: string | undefined;
	/** Requests whose answers are not complete. */
	readonly unanswered: number;
	/** Whether the newest unanswered request was forwarded although its body has not been read to its end. */
	readonly isNewestStreaming: boolean;
	/** Requests that the connection has carried, including unanswered ones. */
	readonly requests: number;
	/** Whether any byte was received on the connection. */
	readonly hasBytes: boolean;
}

/** The parser failed at the first bytes after a request, which therefore are not the start of another one. */
const garbageCodes: ReadonlySet<string | undefined> = new Set([
	'HPE_INVALID_METHOD',
	'HPE_CLOSED_CONNECTION',
]);
/** The caller ended its side in the middle of a request. */
const truncatedCode = 'HPE_INVALID_EOF_STATE';
const timeoutCode = 'ERR_HTTP_REQUEST_TIMEOUT';

/**
 * A refusal is written only if no other request waits for an answer, and only for bytes that are the start of a
 * request: a caller would take it for the answer to its valid request.
 * @param failure - state of the connection.
 * @returns what happens to the connection.
 */
export function decideParseFailure(failure: ParseFailure): ParseFailureAction {
	const {code, unanswered, isNewestStreaming, requests, hasBytes} = failure;
	if (unanswered > 0) {
		return isNewestStreaming || code === truncatedCode
			? ParseFailureAction.Destroy
			: ParseFailureAction.CloseBehindLast;
	}

	const isUnused = code === timeoutCode && !hasBytes;
	const isGarbage = requests > 0 && garbageCodes.has(code);
	return isUnused || isGarbage ? ParseFailureAction.CloseSilently : ParseFailureAction.Refuse;
}
