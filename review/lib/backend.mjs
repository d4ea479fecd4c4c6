/* eslint-disable camelcase, no-void -- The names on the wire are those of the users. */
/** Stand-in for a backend server: ids, signatures, expected instances, slots, pings. */
import {Buffer} from 'node:buffer';
import {createHash, randomBytes} from 'node:crypto';
import {createServer, request as httpRequest} from 'node:http';
import {performance} from 'node:perf_hooks';
import {listen, sleep} from './net.mjs';

const pingTimeout = 1000;

/**
 * @param {string} id - id of a request.
 * @param {Buffer} body - whole body of its answer.
 * @returns the value of `X-Server-Signature`.
 */
export const sign = (id, body) =>
	createHash('sha256').update(id).update(body).digest('hex').slice(0, 24);

export class Backend {
	state = 'ready';
	running = 0;
	waiting = [];
	sockets = new Set();
	sequence = 0;
	silent = new WeakSet();
	/** Time that a request takes, in ms. */
	workOf = () => 20;
	/** Writes the answer of a request; replaced by the scripts that need another one. */
	answer = (seen, res) => {
		const body = Buffer.from(`${this.instance} ${seen.method} ${seen.path}`);
		res.writeHead(200, {...this.headersFor(seen, body), 'content-length': body.length});
		res.end(body);
	};

	constructor({service, zone, address, port, control, heartbeat, slots = 9, record}) {
		Object.assign(this, {service, zone, address, port, control, heartbeat, slots, record});
	}

	headersFor({id}, body) {
		return {
			'x-attempt-id': id,
			'x-server-signature': sign(id, body),
			'x-server-load': this.load,
			'x-instance-id': this.instance,
		};
	}

	get load() {
		return `${this.running},${this.waiting.length},${this.slots},100`;
	}

	async start() {
		this.instance = `i-${randomBytes(4).toString('hex')}`;
		this.born = Date.now();
		this.sequence = 0;
		this.state = 'ready';
		this.server = createServer((req, res) => {
			this.handle(req, res).catch(() => {
				res.destroy();
			});
		});
		this.server.keepAliveTimeout = 10_000;
		this.server.on('connection', (socket) => {
			this.sockets.add(socket);
			socket.on('error', () => undefined);
			socket.once('close', () => {
				this.sockets.delete(socket);
			});
		});
		await listen(this.server, this.port, this.address);
		this.record('backend-start', {instance: this.instance, service: this.service});
		void this.ping();
		this.timer = setInterval(() => {
			void this.ping();
		}, this.heartbeat);
	}

	/**
	 * From now on, the connections that are open carry nothing, neither a reset nor an end. New connections work.
	 * @returns their number.
	 */
	silenceOpenConnections() {
		for (const socket of this.sockets) {
			socket.pause();
			this.silent.add(socket);
		}

		return this.sockets.size;
	}

	/** Ends at once, as a crashed process does: its connections are reset. */
	crash() {
		clearInterval(this.timer);
		this.server?.close();
		for (const socket of this.sockets) {
			socket.resetAndDestroy();
		}

		this.running = 0;
		this.waiting = [];
	}

	/** @returns the body of the next ping. */
	nextPing() {
		this.sequence += 1;
		return JSON.stringify({
			address: `${this.address}:${this.port}`,
			born: this.born,
			info: {service: this.service, version: 'v1', zone: this.zone, slots: this.slots},
			status: {state: this.state, sequence: this.sequence, cold_remaining_ms: 0},
		});
	}

	async ping() {
		return this.say('heartbeat', this.nextPing());
	}

	/** Calls the node; returns the status of its answer, undefined without one. */
	async say(call, body) {
		return new Promise((resolve) => {
			const req = httpRequest(
				{
					host: this.address,
					port: this.control,
					method: 'POST',
					path: `/v1/instances/${this.instance}/${call}`,
					headers: {'content-type': 'application/json', 'content-length': body.length},
					timeout: pingTimeout,
					agent: false,
				},
				(res) => {
					res.resume();
					res.once('end', () => {
						resolve(res.statusCode);
					});
				},
			);
			req.once('timeout', () => {
				req.destroy();
			});
			req.once('error', () => {
				resolve(undefined);
			});
			req.end(body);
		});
	}

	async handle(req, res) {
		if (req.url === '/health') {
			const isReady = this.state === 'ready';
			const headers = {'x-instance-id': this.instance, 'x-server-load': this.load};
			res.writeHead(isReady ? 200 : 503, {...headers, 'content-length': 0}).end();
			return;
		}

		const id = req.headers['x-attempt-id'];
		const expected = req.headers['x-expected-instance'];
		const refuse = (status) => {
			const headers = {'x-not-executed': '1', 'x-instance-id': this.instance};
			res.writeHead(status, {...headers, ...(id && {'x-attempt-id': id}), 'content-length': 0});
			res.end();
		};

		const chunks = [];
		for await (const chunk of req) {
			chunks.push(chunk);
		}

		if (!id || (expected !== undefined && expected !== this.instance)) {
			refuse(id ? 421 : 400);
			return;
		}

		const seen = {
			id,
			method: req.method,
			path: req.url,
			body: Buffer.concat(chunks),
			caller: req.headers['x-caller-service'],
			deadline: performance.now() + Number(req.headers['x-request-deadline'] ?? 60_000),
		};
		if (!(await this.enter(res))) {
			refuse(503);
			return;
		}

		try {
			await this.run(seen, req, res);
		} finally {
			this.leave();
		}
	}

	async enter(res) {
		if (this.running < this.slots) {
			this.running += 1;
			return true;
		}

		if (this.waiting.length >= 2 * this.slots) {
			return false;
		}

		await new Promise((resolve) => {
			this.waiting.push(resolve);
		});
		return !res.destroyed;
	}

	leave() {
		const next = this.waiting.shift();
		if (next) {
			next();
		} else {
			this.running = Math.max(0, this.running - 1);
		}
	}

	async run(seen, req, res) {
		const {instance, service} = this;
		this.record('run', {id: seen.id, path: seen.path, service, instance, caller: seen.caller});
		const end = performance.now() + this.workOf(seen);
		while (performance.now() < Math.min(end, seen.deadline)) {
			if (res.destroyed || instance !== this.instance) {
				this.record('run-dropped', {id: seen.id, instance});
				return;
			}

			// eslint-disable-next-line no-await-in-loop
			await sleep(Math.min(10, Math.max(1, end - performance.now())));
		}

		if (this.silent.has(req.socket)) {
			this.record('answer-unsent', {id: seen.id, instance});
			return;
		}

		if (performance.now() < end) {
			res.writeHead(504, {...this.headersFor(seen, Buffer.alloc(0)), 'content-length': 0}).end();
			return;
		}

		this.record('run-end', {id: seen.id, instance});
		this.answer(seen, res);
	}
}
