/** Rows of the table of what a backend server may answer; see docs/design/server-statements.md. */
import {Buffer} from 'node:buffer';

/** What a row asks for. */
export enum Wanted {
	/** The caller gets status and body of the backend server. */
	Answer = 'answer',
	/** No answer: an unsafe request is told 504, a safe one is served by another attempt. */
	Fault = 'fault',
}

/** One kind of answer to one kind of request. */
export interface AnswerRow {
	readonly name: string;
	readonly method: string;
	/** Version of HTTP that the caller speaks. */
	readonly version: string;
	readonly status: string;
	readonly wanted: Wanted;
	/** Whether the backend server closes the connection behind the answer. */
	readonly isClosing: boolean;
	/** Whether the answer has content. */
	readonly hasContent: boolean;
	/** @returns all bytes of the answer to a request. */
	write(id: string, body: Buffer): Buffer;
}

/** How a backend server writes an answer. */
interface Framing {
	readonly name: string;
	/** Interim answers ahead of it. */
	readonly interim?: string;
	readonly reason?: string;
	readonly isClosing?: boolean;
	readonly isEmpty?: boolean;
	/** @returns the fields of the head, each with a line end. */
	head(body: Buffer): string;
	/** @returns what follows the head; the body itself if this is missing. */
	content?(body: Buffer): Buffer;
}

function inChunks(body: Buffer, trailers = '', extension = ''): Buffer {
	const half = Math.ceil(body.length / 2);
	const parts = [body.subarray(0, half), body.subarray(half)].filter(({length}) => length > 0);
	const chunks = parts.map((part) =>
		Buffer.concat([
			Buffer.from(`${part.length.toString(16)}${extension}\r\n`),
			part,
			Buffer.from('\r\n'),
		]),
	);
	return Buffer.concat([...chunks, Buffer.from(`0\r\n${trailers}\r\n`)]);
}

const length = (body: Buffer): string => `Content-Length: ${body.length}\r\n`;
const chunked = 'Transfer-Encoding: chunked\r\n';
const trailer = 'X-Sum: abc\r\n';

const framings: readonly Framing[] = [
	{name: 'length', head: length},
	{name: 'no content', head: () => 'Content-Length: 0\r\n', isEmpty: true},
	{name: 'chunks', head: () => chunked, content: (body) => inChunks(body)},
	{
		name: 'chunks with extensions',
		head: () => chunked,
		content: (body) => inChunks(body, '', ';a=b'),
	},
	{
		name: 'announced trailers',
		head: () => `Trailer: X-Sum\r\n${chunked}`,
		content: (body) => inChunks(body, trailer),
	},
	{
		name: 'announced trailers that are missing',
		head: () => `Trailer: X-Sum\r\n${chunked}`,
		content: (body) => inChunks(body),
	},
	{
		name: 'trailers',
		head: () => chunked,
		content: (body) => inChunks(body, trailer),
	},
	{name: 'to the close', head: () => 'Connection: close\r\n', isClosing: true},
	{name: 'length and close', head: (body) => `${length(body)}Connection: close\r\n`},
	{name: 'early hints', head: length, interim: 'HTTP/1.1 103 Hints\r\nLink: </a>\r\n\r\n'},
	{name: 'interim answers', head: length, interim: 'HTTP/1.1 102 Processing\r\n\r\n'.repeat(3)},
	{name: 'continue', head: length, interim: 'HTTP/1.1 100 Continue\r\n\r\n'},
	{
		name: 'interim answers of all kinds',
		head: length,
		interim: `HTTP/1.1 103 Hints\r\nLink: </a>\r\n\r\n${'HTTP/1.1 100 Go\r\nX-A: 1\r\n\r\n'.repeat(2)}`,
	},
	{name: 'unknown interim answer', head: length, interim: 'HTTP/1.1 199 Other\r\n\r\n'},
	{name: 'no reason phrase', head: length, reason: ''},
	{
		name: 'fields of one hop',
		head: (body) =>
			`${length(body)}Connection: keep-alive, X-Hop\r\nKeep-Alive: timeout=5\r\nX-Hop: 1\r\nTE: trailers\r\n`,
	},
	{name: 'upgrade offered', head: (body) => `${length(body)}Upgrade: h2c\r\n`},
	{
		name: 'fields of many kinds',
		head: (body) =>
			`${length(body)}Set-Cookie: a=1\r\nset-cookie: b=2\r\nX-Empty:\r\nX-Name: caf\u00E9\r\n`,
	},
	{name: 'long head', head: (body) => `${length(body)}X-Long: ${'y'.repeat(12_000)}\r\n`},
];

const methods = ['GET', 'HEAD', 'POST', 'PUT', 'DELETE', 'OPTIONS', 'PATCH'];
const versions = ['1.1', '1.0'];
const successes = [200, 201, 202, 203, 204, 205, 206];
const redirects = [300, 301, 302, 303, 304, 307, 308];
const clientErrors = [
	400, 401, 402, 403, 404, 405, 406, 409, 410, 411, 412, 413, 416, 418, 422, 426,
];
const serverErrors = [500, 501, 502, 504, 507, 599];
const statuses = [...successes, ...redirects, ...clientErrors, ...serverErrors].map(String);
const otherNumbers = ['000', '001', '020', '099', '101', '600', '700', '999'];
const noNumbers = ['20', '2000', '+20', '2x0', '200x'];
/** Status lines that begin no answer. */
const badStatuses = [...otherNumbers, ...noNumbers];
/** Interim statuses with what only an answer has. */
const interimStatuses = ['100', '102', '199'];

function hasContent(method: string, status: string): boolean {
	return method !== 'HEAD' && status !== '204' && status !== '304';
}

function createRow(
	[method, version, status]: readonly [string, string, string],
	framing: Framing,
	wanted: Wanted,
): AnswerRow {
	const mayHaveContent = hasContent(method, status);
	const {name, interim = '', reason = 'Reason', isClosing = false, isEmpty = false} = framing;
	return {
		name: `${status}, ${name}, to ${method} of HTTP/${version}`,
		method,
		version,
		status,
		wanted,
		isClosing,
		hasContent: mayHaveContent && !isEmpty,
		write(id, body) {
			const own = `X-Attempt-Id: ${id}\r\nX-Server-Signature: s-${id}\r\n`;
			const space = reason === '' ? '' : ` ${reason}`;
			const head = `${interim}HTTP/1.1 ${status}${space}\r\n${own}${framing.head(body)}\r\n`;
			const content =
				mayHaveContent && !isEmpty ? (framing.content?.(body) ?? body) : Buffer.alloc(0);
			return Buffer.concat([Buffer.from(head, 'latin1'), content]);
		},
	};
}

function combine(names: readonly string[], list: readonly Framing[], wanted: Wanted): AnswerRow[] {
	return names.flatMap((status) =>
		methods.flatMap((method) =>
			versions.flatMap((version) =>
				list.map((framing) => createRow([method, version, status], framing, wanted)),
			),
		),
	);
}

const faultyFramings = framings.filter(({name}) =>
	['length', 'no content', 'chunks', 'to the close'].includes(name),
);
/** Heads that the node refuses; RFC 9112 leaves each of them open or asks for it. */
const refusedFramings: readonly Framing[] = [
	{name: 'a folded field', head: (body) => `${length(body)}X-Folded: a\r\n b\r\n`},
	{name: 'a bare line feed', head: (body) => `${length(body)}X-Bare: a\nX-Next: b\r\n`},
	{name: 'a control character', head: (body) => `${length(body)}X-Control: a\u0001b\r\n`},
	{
		name: 'a head that is too long',
		head: (body) => `${length(body)}X-Long: ${'y'.repeat(17_000)}\r\n`,
	},
	{name: 'a length beside chunks', head: (body) => `${length(body)}${chunked}`},
	{name: 'two lengths', head: (body) => `${length(body)}Content-Length: 1\r\n`},
	{name: 'a length that is no number', head: () => 'Content-Length: 4x\r\n'},
];
const signedOnly: Framing = {name: 'signed', head: () => '', isEmpty: true};

/** All rows. */
export const answerRows: readonly AnswerRow[] = [
	...combine(statuses, framings, Wanted.Answer),
	...combine(badStatuses, faultyFramings, Wanted.Fault),
	...combine(['200', '404', '503'], refusedFramings, Wanted.Fault),
	...combine(interimStatuses, [...faultyFramings, signedOnly], Wanted.Fault),
];
