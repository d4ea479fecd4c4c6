/** Stand-in for the platform's table service and object store; keeps everything in memory. */
import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import process from 'node:process';
import {Expect, type Row, type WriteOperation, type WriteResult} from '../../src/store/index.js';

interface Faults {
	/** The store closes every connection. */
	isDown: boolean;
	/** Time before each answer, in ms. */
	delay: number;
	/** Answers to writes that are lost after the write has taken effect. */
	lostAnswers: number;
}

const rows = new Map<string, Row>();
const objects = new Map<string, string>();
const faults: Faults = {isDown: false, delay: 0, lostAnswers: 0};
const counts = {reads: 0, writes: 0};
let nextEtag = 1;

function blockingRow(operation: WriteOperation): Row | undefined {
	const row = rows.get(operation.key);
	const isMet =
		operation.expect === Expect.Any ||
		(operation.expect === Expect.Absent && !row) ||
		(operation.expect === Expect.Etag && row?.etag === operation.etag);
	if (!isMet) {
		return row ?? {key: operation.key, value: '', etag: ''};
	}

	const other = operation.alsoAbsent?.find((key) => rows.has(key));
	return other === undefined ? undefined : rows.get(other);
}

function apply(operation: WriteOperation): WriteResult {
	const blocking = blockingRow(operation);
	if (blocking) {
		return {isApplied: false, row: blocking};
	}

	const {key, value} = operation;
	if (value === undefined) {
		rows.delete(key);
		return {isApplied: true, row: undefined};
	}

	const row = {key, value, etag: String(nextEtag)};
	nextEtag += 1;
	rows.set(key, row);
	return {isApplied: true, row};
}

function list(prefix: string): Row[] {
	const found = [...rows.values()].filter((row) => row.key.startsWith(prefix));
	return found.toSorted((a, b) => (a.key < b.key ? -1 : 1));
}

function deleteAll(prefix: string): void {
	for (const row of list(prefix)) {
		rows.delete(row.key);
	}
}

interface Answer {
	readonly status: number;
	readonly text: string;
	readonly isWrite: boolean;
}

function answer(method: string, url: URL, body: string): Answer {
	const {pathname} = url;
	if (method === 'POST' && pathname === '/v1/table/transactions') {
		counts.writes += 1;
		const {operations} = JSON.parse(body) as {operations: WriteOperation[]};
		const results = operations.map((operation) => apply(operation));
		return {status: 200, text: JSON.stringify({results}), isWrite: true};
	}

	if (method === 'POST' && pathname === '/v1/table/deletions') {
		counts.writes += 1;
		deleteAll((JSON.parse(body) as {prefix: string}).prefix);
		return {status: 200, text: '{}', isWrite: true};
	}

	if (pathname.startsWith('/v1/objects/')) {
		return answerObject(method, decodeURIComponent(pathname.slice('/v1/objects/'.length)), body);
	}

	counts.reads += 1;
	if (pathname === '/v1/table/rows') {
		const text = JSON.stringify({rows: list(url.searchParams.get('prefix') ?? '')});
		return {status: 200, text, isWrite: false};
	}

	const row = rows.get(decodeURIComponent(pathname.slice('/v1/table/rows/'.length)));
	return row
		? {status: 200, text: JSON.stringify(row), isWrite: false}
		: {status: 404, text: '{}', isWrite: false};
}

function answerObject(method: string, name: string, body: string): Answer {
	if (method === 'PUT') {
		counts.writes += 1;
		objects.set(name, body);
		return {status: 200, text: '{}', isWrite: true};
	}

	counts.reads += 1;
	const content = objects.get(name);
	return {status: content === undefined ? 404 : 200, text: content ?? '', isWrite: false};
}

async function readBody(req: IncomingMessage): Promise<string> {
	const chunks: string[] = [];
	req.setEncoding('utf8');
	for await (const chunk of req) {
		chunks.push(String(chunk));
	}

	return chunks.join('');
}

async function handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
	const url = new URL(req.url ?? '/', 'http://store');
	const body = await readBody(req);
	if (url.pathname === '/stand-in/faults') {
		Object.assign(faults, JSON.parse(body) as Partial<Faults>);
		res.end('{}');
		return;
	}

	if (url.pathname === '/stand-in/counts') {
		res.end(JSON.stringify(counts));
		return;
	}

	if (faults.isDown) {
		req.socket.destroy();
		return;
	}

	const {status, text, isWrite} = answer(req.method ?? 'GET', url, body);
	if (isWrite && faults.lostAnswers > 0) {
		faults.lostAnswers -= 1;
		req.socket.destroy();
		return;
	}

	setTimeout(() => {
		res.writeHead(status, {'content-type': 'application/json'});
		res.end(text);
	}, faults.delay);
}

const [address, port] = process.argv.slice(2);
const server = createServer((req, res) => {
	void handle(req, res);
});
server.listen(Number(port), address, () => {
	process.stdout.write('ready\n');
});
process.on('SIGTERM', () => {
	process.exit(0);
});
