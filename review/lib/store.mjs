/* eslint-disable camelcase -- The names on the wire are those of the users. */
/** Stand-in for the platform's metadata store: its table calls, in memory, over HTTP/1.1. */
import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';
import {performance} from 'node:perf_hooks';
import {listen} from './net.mjs';

const pageRows = 500;

const idOf = ({table, part, key}) => [table, part, key].join('\n');

const readBody = async (req) => {
	const chunks = [];
	for await (const chunk of req) {
		chunks.push(chunk);
	}

	return Buffer.concat(chunks).toString('utf8');
};

export class Store {
	version = 0;
	rows = new Map();
	history = [];
	waiters = new Set();
	sockets = new Set();
	silent = new WeakSet();

	async start(address, port) {
		this.server = createServer((req, res) => {
			this.handle(req, res).catch(() => {
				res.destroy();
			});
		});
		this.server.keepAliveTimeout = 60_000;
		this.server.on('connection', (socket) => {
			this.sockets.add(socket);
			socket.once('close', () => {
				this.sockets.delete(socket);
			});
		});
		await listen(this.server, port, address);
	}

	/**
	 * From now on, the connections that are open get no further byte, neither a reset nor an end. New connections work.
	 * @returns their number.
	 */
	silenceOpenConnections() {
		for (const socket of this.sockets) {
			this.silent.add(socket);
		}

		return this.sockets.size;
	}

	stop() {
		this.server?.close();
		for (const socket of this.sockets) {
			socket.destroy();
		}
	}

	/** Applies a transaction; all of its entries or none of them. */
	commit({expect = [], put_entries: puts = [], removals = []}) {
		const isMet = expect.every(
			(item) => (this.rows.get(idOf(item))?.schema_version ?? 0) === item.schema_version,
		);
		if (!isMet) {
			const rows = expect.map((item) => this.rows.get(idOf(item))).filter(Boolean);
			return {status: 412, body: {rows, ...this.stamp()}};
		}

		this.version += 1;
		const changes = [
			...puts.map(({table, part, key, value}) => ({table, part, key, value})),
			...removals.map(({table, part, key}) => ({table, part, key, tombstone: true})),
		];
		for (const change of changes) {
			const row = {...change, schema_version: this.version};
			this.history.push(row);
			if (row.tombstone) {
				this.rows.delete(idOf(row));
			} else {
				this.rows.set(idOf(row), row);
			}
		}

		for (const waiter of this.waiters) {
			waiter();
		}

		return {status: 200, body: this.stamp()};
	}

	stamp() {
		return {schema_version: this.version, now_ms: Math.round(performance.now())};
	}

	getRows(query) {
		const from = query.get('from') ?? '';
		const to = query.get('to');
		const limit = Math.min(pageRows, Number(query.get('limit') ?? pageRows));
		const found = [...this.rows.values()]
			.filter(
				({table, part, key}) =>
					table === query.get('table') &&
					part === (query.get('part') ?? '') &&
					key >= from &&
					(to === null || key < to),
			)
			.toSorted((a, b) => (a.key < b.key ? -1 : 1));
		const body = {rows: found.slice(0, limit), has_more: found.length > limit, ...this.stamp()};
		return {status: 200, body};
	}

	async follow(query) {
		const table = query.get('table');
		const after = Number(query.get('after'));
		const changes = () =>
			this.history.filter((row) => row.table === table && row.schema_version > after);
		if (changes().length === 0) {
			await new Promise((resolve) => {
				const finish = () => {
					clearTimeout(timer);
					this.waiters.delete(check);
					resolve();
				};

				const check = () => {
					if (changes().length > 0) {
						finish();
					}
				};

				const timer = setTimeout(finish, Math.min(30_000, Number(query.get('wait_ms'))));
				this.waiters.add(check);
			});
		}

		return {status: 200, body: {rows: changes(), ...this.stamp()}};
	}

	async answer(method, url, body) {
		if (method === 'POST' && url.pathname === '/v1/rows-tx') {
			return this.commit(JSON.parse(body));
		}

		if (url.pathname === '/v1/rows-get') {
			return this.getRows(url.searchParams);
		}

		return url.pathname === '/v1/rows-feed'
			? this.follow(url.searchParams)
			: {status: 404, body: {error: 'no such call'}};
	}

	async handle(req, res) {
		const url = new URL(req.url, 'http://store');
		const body = await readBody(req);
		if (this.silent.has(req.socket)) {
			return;
		}

		const result = await this.answer(req.method, url, body);
		if (!this.silent.has(req.socket)) {
			res.writeHead(result.status, {'content-type': 'application/json'});
			res.end(JSON.stringify(result.body));
		}
	}
}
