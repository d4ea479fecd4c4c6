/* eslint-disable camelcase, no-await-in-loop, no-void -- names of the wire, steps that follow each other */
/** Stand-in of the platform's store: rows, transactions and the feed, without faults. */
import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';

const longestWaitMs = 30_000;

async function readText(req) {
	const chunks = [];
	for await (const chunk of req) {
		chunks.push(chunk);
	}

	return Buffer.concat(chunks).toString('utf8');
}

function nameOf({table, part = '', key}) {
	return JSON.stringify([table, part, key]);
}

/** Keeps the rows in memory and answers after a few ms. */
export class Store {
	rows = new Map();
	history = [];
	version = 0;
	waiting = new Set();
	server = createServer((req, res) => {
		void this.handle(req, res);
	});

	/** @returns the address at which it listens. */
	async listen(address) {
		await new Promise((resolve) => {
			this.server.listen(0, address, resolve);
		});
		this.address = `${address}:${this.server.address().port}`;
		return this.address;
	}

	/** Writes a row as the operator does. */
	put(table, key, value) {
		const text = Buffer.from(JSON.stringify(value)).toString('base64');
		return this.apply({
			expect: [],
			put_entries: [{table, part: '', key, value: text}],
			removals: [],
		});
	}

	close() {
		this.server.close();
		this.server.closeAllConnections();
	}

	apply({expect = [], put_entries: puts = [], removals = []}) {
		const failed = expect.some(
			(row) => (this.rows.get(nameOf(row))?.schema_version ?? 0) !== row.schema_version,
		);
		if (failed) {
			const known = expect.flatMap((row) => this.rows.get(nameOf(row)) ?? []);
			return {status: 412, body: {rows: known}};
		}

		this.version += 1;
		for (const {table, part = '', key, value} of puts) {
			const row = {table, part, key, value, schema_version: this.version};
			this.rows.set(nameOf(row), row);
			this.history.push(row);
		}

		for (const {table, part = '', key} of removals) {
			const row = {table, part, key, schema_version: this.version, tombstone: true};
			this.rows.delete(nameOf(row));
			this.history.push(row);
		}

		for (const wake of this.waiting) {
			wake();
		}

		return {status: 200, body: {}};
	}

	async handle(req, res) {
		const url = new URL(req.url, 'http://store');
		const text = await readText(req);
		const {status, body} = await this.reply(url, text);
		const answer = JSON.stringify({
			...body,
			schema_version: this.version,
			now_ms: Math.round(performance.now()),
		});
		setTimeout(() => {
			res.writeHead(status, {'content-type': 'application/json'});
			res.end(answer);
		}, 4);
	}

	async reply({pathname, searchParams}, text) {
		switch (pathname) {
			case '/v1/rows-tx': {
				return this.apply(JSON.parse(text));
			}

			case '/v1/rows-get': {
				return this.list(searchParams);
			}

			case '/v1/rows-feed': {
				return this.follow(searchParams);
			}

			default: {
				return {status: 404, body: {}};
			}
		}
	}

	list(query) {
		const from = query.get('from') ?? '';
		const to = query.get('to');
		const limit = Number(query.get('limit') ?? 500);
		const found = [...this.rows.values()].filter(
			({table, part, key}) =>
				table === query.get('table') &&
				part === (query.get('part') ?? '') &&
				key >= from &&
				(to === null || key < to),
		);
		found.sort((a, b) => (a.key < b.key ? -1 : 1));
		return {status: 200, body: {rows: found.slice(0, limit), has_more: found.length > limit}};
	}

	async follow(query) {
		const after = Number(query.get('after'));
		const until = performance.now() + Math.min(longestWaitMs, Number(query.get('wait_ms') ?? 0));
		for (;;) {
			const rows = this.history.filter(
				(row) => row.table === query.get('table') && row.schema_version > after,
			);
			const left = until - performance.now();
			if (rows.length > 0 || left <= 0) {
				return {status: 200, body: {rows}};
			}

			await new Promise((resolve) => {
				const wake = () => {
					clearTimeout(timer);
					this.waiting.delete(wake);
					resolve();
				};

				const timer = setTimeout(wake, left);
				this.waiting.add(wake);
			});
		}
	}
}
