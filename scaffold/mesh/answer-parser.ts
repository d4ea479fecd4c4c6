/** Reads HTTP/1.1 answers byte by byte, so that a soak sees what a library would hide. */
import {Buffer} from 'node:buffer';

/** An answer at the start of what a connection has received. */
export interface ParsedAnswer {
	readonly status: number;
	/** Headers by their names in lower case. */
	readonly headers: ReadonlyMap<string, string>;
	/** Undefined while the body is not complete. */
	readonly body: Buffer | undefined;
	/** Length of head and body in the connection, in bytes; 0 while the body is not complete. */
	readonly size: number;
}

const lineEnd = '\r\n';
const headEnd = '\r\n\r\n';

/** @returns the body and where it ends; undefined while it is incomplete. */
function readChunks(bytes: Buffer, start: number): {body: Buffer; end: number} | undefined {
	const parts: Buffer[] = [];
	let at = start;
	for (;;) {
		const lengthEnd = bytes.indexOf(lineEnd, at);
		if (lengthEnd === -1) {
			return undefined;
		}

		const length = Number.parseInt(bytes.subarray(at, lengthEnd).toString('latin1'), 16);
		const dataAt = lengthEnd + lineEnd.length;
		if (length === 0) {
			const end = bytes.indexOf(headEnd, lengthEnd);
			return end === -1 ? undefined : {body: Buffer.concat(parts), end: end + headEnd.length};
		}

		at = dataAt + length + lineEnd.length;
		if (Number.isNaN(length) || at > bytes.length) {
			return undefined;
		}

		parts.push(bytes.subarray(dataAt, dataAt + length));
	}
}

/**
 * @param bytes - what a connection has received after the answers before.
 * @param isEnded - whether the other side has closed the connection in order.
 * @param method - method of its request.
 * @returns the first answer; undefined while its head is not complete.
 */
export function parseAnswer(
	bytes: Buffer,
	isEnded: boolean,
	method = 'GET',
): ParsedAnswer | undefined {
	const end = bytes.indexOf(headEnd);
	if (end === -1) {
		return undefined;
	}

	const [first = '', ...lines] = bytes.subarray(0, end).toString('latin1').split(lineEnd);
	const status = first.startsWith('HTTP/1.1 ') ? Number(first.split(' ', 2)[1]) : Number.NaN;
	const headers = new Map(
		lines.map((line) => {
			const colon = line.indexOf(':');
			return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()] as const;
		}),
	);
	const start = end + headEnd.length;
	if (method === 'HEAD' || status < 200 || status === 204 || status === 304) {
		return {status, headers, body: bytes.subarray(start, start), size: start};
	}

	const length = headers.get('content-length');
	if (headers.get('transfer-encoding')?.toLowerCase() === 'chunked') {
		const chunks = readChunks(bytes, start);
		return {status, headers, body: chunks?.body, size: chunks?.end ?? 0};
	}

	if (length === undefined) {
		const body = isEnded ? bytes.subarray(start) : undefined;
		return {status, headers, body, size: isEnded ? bytes.length : 0};
	}

	const size = start + Number(length);
	return bytes.length < size
		? {status, headers, body: undefined, size: 0}
		: {status, headers, body: bytes.subarray(start, size), size};
}
