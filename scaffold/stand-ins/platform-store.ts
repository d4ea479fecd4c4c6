/** Stand-in for the platform's store: its published protocol, everything in memory. */
import {Buffer} from 'node:buffer';
import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import process from 'node:process';

interface Faults {
	/** The store closes every connection. */
	isDown: boolean;
	/** Time before each answer, in ms. */
	delay: number;
	/** Answers to writes that are lost after the write has taken effect. */
	lostAnswers: number;
	/** Addresses of machines that are turned away with 503. */
	refused: readonly string[];
	/** The store has just dropped its history. */
	isHistoryLost: boolean;
	/** Addresses of machines whose open connections go silent now; connections that they open later work. */
	silenced: readonly string[];
	/** Share of the open connections of these machines that go silent, from 0 to 1. */
	silencedShare: number;
}

interface RowAddress {
	readonly table: string;
	readonly part: string;
	readonly key: string;
}

interface Row extends RowAddress {
	readonly value: string;
	readonly schema_version: number;
	readonly tombstone?: boolean;
}

interface Transaction {
	readonly expect?: ReadonlyArray<RowAddress & {readonly schema_version: number}>;
	readonly put_entries?: ReadonlyArray<RowAddress & {readonly value: string}>;
	readonly removals?: readonly RowAddress[];
}

interface Answer {
	readonly status: number;
	readonly body: unknown;
	readonly isWrite?: boolean;
}

interface Waiter {
	readonly table: string;
	readonly after: number;
	answer(): void;
	end(answer: Answer): void;
}

const rows = new Map<string, Row>();
const history: Row[] = [];
/** All changes since the start, from which an earlier state is restored. */
const changeLog: Row[] = [];
const blobs = new Map<string, string>();
const waiters = new Set<Waiter>();
const faults: Faults = {
	isDown: false,
	delay: 0,
	lostAnswers: 0,
	refused: [],
	isHistoryLost: false,
	silenced: [],
	silencedShare: 1,
};
const sockets = new Set<Socket>();
const silentSockets = new WeakSet<Socket>();
const counts = {reads: 0, writes: 0};
const pageRows = 500;
let version = 0;
let historyStart = 0;
let era = 1;

function idOf({table, part, key}: RowAddress): string {
	return [table, part, key].join('\n');
}

function stamp() {
	return {schema_version: version, now_ms: Math.round(performance.now())};
}

function commit({expect = [], put_entries: puts = [], removals = []}: Transaction): Answer {
	const isMet = expect.every(
		(item) => (rows.get(idOf(item))?.schema_version ?? 0) === item.schema_version,
	);
	if (!isMet) {
		const current = expect.map((item) => rows.get(idOf(item))).filter((row) => row !== undefined);
		return {status: 412, body: {rows: current, ...stamp()}};
	}

	version += 1;
	for (const {table, part, key, value} of puts) {
		const row = {table, part, key, value, schema_version: version};
		rows.set(idOf(row), row);
		history.push(row);
		changeLog.push(row);
	}

	for (const {table, part, key} of removals) {
		const address = {table, part, key};
		rows.delete(idOf(address));
		const row = {...address, value: '', schema_version: version, tombstone: true};
		history.push(row);
		changeLog.push(row);
	}

	for (const waiter of waiters) {
		waiter.answer();
	}

	return {status: 200, body: stamp(), isWrite: true};
}

function getRows(query: URLSearchParams): Answer {
	const from = query.get('from') ?? '';
	const to = query.get('to');
	const limit = Math.min(pageRows, Number(query.get('limit') ?? pageRows));
	const found = [...rows.values()]
		.filter(
			(row) =>
				row.table === query.get('table') &&
				row.part === (query.get('part') ?? '') &&
				row.key >= from &&
				(to === null || row.key < to),
		)
		.toSorted((a, b) => (a.key < b.key ? -1 : 1));
	return {
		status: 200,
		body: {rows: found.slice(0, limit), has_more: found.length > limit, ...stamp()},
	};
}

function changesSince(table: string, after: number): Answer | undefined {
	if (after < historyStart || after > version) {
		return {status: 410, body: {error: 'history is gone'}};
	}

	const found = history.filter((row) => row.table === table && row.schema_version > after);
	return found.length > 0 ? {status: 200, body: {rows: found, ...stamp()}} : undefined;
}

async function follow(query: URLSearchParams): Promise<Answer> {
	const table = query.get('table') ?? '';
	const after = Number(query.get('after'));
	const ready = changesSince(table, after);
	if (ready) {
		return ready;
	}

	return new Promise((resolve) => {
		const finish = (answer: Answer) => {
			clearTimeout(timer);
			waiters.delete(waiter);
			resolve(answer);
		};

		const timer = setTimeout(
			() => {
				finish({status: 200, body: {rows: [], ...stamp()}});
			},
			Number(query.get('wait_ms')),
		);
		const waiter: Waiter = {
			table,
			after,
			end: finish,
			answer() {
				const answer = changesSince(table, after);
				if (answer) {
					finish(answer);
				}
			},
		};
		waiters.add(waiter);
	});
}

function answerBlob(method: string, name: string, body: string): Answer {
	if (method === 'PUT') {
		counts.writes += 1;
		blobs.set(name, body);
		return {status: 200, body: {}, isWrite: true};
	}

	counts.reads += 1;
	const content = blobs.get(name);
	return {status: content === undefined ? 404 : 200, body: content ?? ''};
}

async function answer(method: string, url: URL, body: string): Promise<Answer> {
	const [call = '', name = ''] = url.pathname.split('/').slice(2);
	if (method === 'POST' && call === 'rows-tx') {
		counts.writes += 1;
		return commit(JSON.parse(body) as Transaction);
	}

	if (call.startsWith('blob-')) {
		return answerBlob(method, decodeURIComponent(name), body);
	}

	counts.reads += 1;
	if (call === 'rows-get') {
		return getRows(url.searchParams);
	}

	return call === 'rows-feed'
		? follow(url.searchParams)
		: {status: 404, body: {error: 'no such call'}};
}

async function readBody(req: IncomingMessage): Promise<string> {
	const chunks: Buffer[] = [];
	for await (const chunk of req) {
		chunks.push(Buffer.from(chunk as Uint8Array));
	}

	return Buffer.concat(chunks).toString('utf8');
}

function applyFaults(change: Partial<Faults>): void {
	Object.assign(faults, change);
	if (faults.isHistoryLost) {
		faults.isHistoryLost = false;
		historyStart = version;
		history.length = 0;
	}

	const concerned = [...sockets].filter((socket) =>
		faults.silenced.includes(socket.remoteAddress ?? ''),
	);
	for (const [i, socket] of concerned.entries()) {
		// Evenly over all of them, so that the share holds for few connections too.
		if (Math.floor((i + 1) * faults.silencedShare) > Math.floor(i * faults.silencedShare)) {
			silentSockets.add(socket);
		}
	}

	faults.silenced = [];
	faults.silencedShare = 1;
}

/** Goes back to the state at an earlier version, as a store does that is restored from a copy. */
function restore(toVersion: number): void {
	era += 1;
	version = toVersion;
	const kept = changeLog.filter((row) => row.schema_version <= toVersion);
	for (const list of [changeLog, history]) {
		list.length = 0;
		list.push(...kept);
	}

	rows.clear();
	for (const row of kept) {
		if (row.tombstone) {
			rows.delete(idOf(row));
		} else {
			rows.set(idOf(row), row);
		}
	}

	for (const waiter of waiters) {
		waiter.end({status: 503, body: {}});
	}
}

async function handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
	const url = new URL(req.url ?? '/', 'http://store');
	const body = await readBody(req);
	if (url.pathname === '/stand-in/faults') {
		applyFaults(JSON.parse(body) as Partial<Faults>);
		res.end('{}');
		return;
	}

	if (url.pathname === '/stand-in/restore') {
		res.once('finish', () => {
			restore(Number(body));
		});
		res.end('{}');
		return;
	}

	if (url.pathname === '/stand-in/counts') {
		res.end(JSON.stringify({...counts, version}));
		return;
	}

	if (faults.isDown) {
		req.socket.destroy();
		return;
	}

	if (faults.refused.includes(req.socket.remoteAddress ?? '')) {
		res.writeHead(503, {'store-era': era}).end('{}');
		return;
	}

	if (silentSockets.has(req.socket)) {
		return;
	}

	const result = await answer(req.method ?? 'GET', url, body);
	if (silentSockets.has(req.socket)) {
		return;
	}

	if (result.isWrite && faults.lostAnswers > 0) {
		faults.lostAnswers -= 1;
		req.socket.destroy();
		return;
	}

	setTimeout(() => {
		res.writeHead(result.status, {'content-type': 'application/json', 'store-era': era});
		res.end(typeof result.body === 'string' ? result.body : JSON.stringify(result.body));
	}, faults.delay);
}

const [address, port] = process.argv.slice(2);
const server = createServer((req, res) => {
	void handle(req, res);
});
server.on('connection', (socket: Socket) => {
	sockets.add(socket);
	socket.once('close', () => {
		sockets.delete(socket);
	});
});
server.listen(Number(port), address, () => {
	process.stdout.write('ready\n');
});
process.on('SIGTERM', () => {
	process.exit(0);
});
