/** Rows of the table of how a caller may write a request; see docs/design/server-statements.md. */

/** A form of a request. */
export interface RequestRow {
	readonly name: string;
	readonly method: string;
	/** Target of the request line, for a path. */
	readonly target: (path: string) => string;
	readonly host: string;
	/** Fields of the head beside the usual ones, each with a line end. */
	readonly fields: string;
	/** What precedes the request line. */
	readonly lead: string;
	/** Bytes behind the head. */
	readonly content: string;
	/** Status that the caller gets. */
	readonly status: number;
	/** Body that the backend server gets. */
	readonly body: string;
	/** Fields that the backend server gets, by their names in lower case; undefined for one that it must not get. */
	readonly forwarded: Readonly<Record<string, string | undefined>>;
}

const plain: RequestRow = {
	name: 'plain',
	method: 'GET',
	target: (path) => path,
	host: 'a.example',
	fields: '',
	lead: '',
	content: '',
	status: 200,
	body: '',
	forwarded: {},
};

function createRow(name: string, change: Partial<RequestRow>): RequestRow {
	return {...plain, name, ...change};
}

/** A field that passes a node as it is. */
function createEndToEndRow(name: string, value: string): RequestRow {
	return createRow(`${name}: ${value}`, {
		fields: `${name}: ${value}\r\n`,
		forwarded: {[name.toLowerCase()]: value},
	});
}

const text = 'some content';
const hex = text.length.toString(16);
const withLength = {method: 'POST', content: text, body: text};
const length = `Content-Length: ${text.length}\r\n`;
const chunked = 'Transfer-Encoding: chunked\r\n';

/** All rows. */
export const requestRows: readonly RequestRow[] = [
	createRow('plain', {}),
	createEndToEndRow('Range', 'bytes=0-9'),
	createEndToEndRow('If-Range', '"a"'),
	createEndToEndRow('If-Match', '"a", "b"'),
	createEndToEndRow('If-None-Match', '*'),
	createEndToEndRow('If-Modified-Since', 'Sun, 06 Nov 1994 08:49:37 GMT'),
	createEndToEndRow('If-Unmodified-Since', 'Sun, 06 Nov 1994 08:49:37 GMT'),
	createEndToEndRow('Accept-Encoding', 'gzip, br'),
	createEndToEndRow('Max-Forwards', '0'),
	createEndToEndRow('X-Empty', ''),
	createEndToEndRow('X-Long', 'y'.repeat(12_000)),
	createRow('fields of one hop', {
		fields:
			'Connection: keep-alive, X-Hop\r\nX-Hop: 1\r\nKeep-Alive: timeout=5\r\nTE: trailers\r\n',
		forwarded: {'x-hop': undefined, te: undefined, 'keep-alive': undefined},
	}),
	createRow('upgrade to websocket', {
		fields: 'Connection: Upgrade\r\nUpgrade: websocket\r\nSec-WebSocket-Version: 13\r\n',
		forwarded: {upgrade: undefined},
	}),
	createRow('upgrade to h2c', {
		fields: 'Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\nHTTP2-Settings: AA\r\n',
		forwarded: {upgrade: undefined, 'http2-settings': undefined},
	}),
	createRow('content that waits for 100', {
		...withLength,
		fields: `${length}Expect: 100-continue\r\n`,
		forwarded: {expect: undefined},
	}),
	createRow('content with a length', {...withLength, fields: length}),
	createRow('content of GET', {...withLength, method: 'GET', fields: length}),
	createRow('content of DELETE', {...withLength, method: 'DELETE', fields: length}),
	createRow('chunks', {...withLength, fields: chunked, content: `${hex}\r\n${text}\r\n0\r\n\r\n`}),
	createRow('chunks with extensions and trailers', {
		...withLength,
		fields: `${chunked}Trailer: X-Sum\r\n`,
		content: `${hex};a=b\r\n${text}\r\n0\r\nX-Sum: abc\r\n\r\n`,
	}),
	createRow('chunks of one byte', {
		...withLength,
		fields: chunked,
		content: `${[...text].map((letter) => `1\r\n${letter}\r\n`).join('')}0\r\n\r\n`,
	}),
	createRow('no content of POST', {method: 'POST', fields: 'Content-Length: 0\r\n'}),
	createRow('absolute target', {target: (path) => `http://a.example${path}`}),
	createRow('query', {target: (path) => `${path}?a=b&c=%20#`.replace('#', '')}),
	createRow('host in upper case', {host: 'A.EXAMPLE'}),
	createRow('host with a port', {host: 'a.example:80'}),
	createRow('empty line ahead', {lead: '\r\n'}),
	createRow('spaces around values', {
		fields: 'X-Spaces: \t a b \t \r\n',
		forwarded: {'x-spaces': 'a b'},
	}),
	createRow('repeated fields', {
		fields: 'X-Twice: 1\r\nX-Twice: 2\r\n',
		forwarded: {'x-twice': '1, 2'},
	}),
	createRow('HEAD', {method: 'HEAD'}),
	createRow('OPTIONS', {method: 'OPTIONS'}),
	createRow('another expectation', {fields: 'Expect: a-cup-of-tea\r\n', status: 417}),
];
