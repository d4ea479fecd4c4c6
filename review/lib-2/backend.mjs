/* eslint-disable camelcase, no-void -- names of the wire, steps that follow each other */
/** Stand-in of a backend server as the pages describe it: slots, a short queue, ids, signatures and heartbeats. */
import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';

const heartbeatPeriodMs = 1500;
const queuePerSlot = 2;

export class Backend {
	/** Requests that were run, in order. */
	runs = [];
	/** Answers a request itself when it returns true. */
	behavior = () => false;
	state = 'ready';
	sequence = 0;
	running = 0;
	queue = [];
	sockets = new Set();
	isEnded = false;
	server = createServer((req, res) => {
		void this.handle(req, res);
	});

	/**
	 * @param identity - id, service, zone, slots and the ms that a request takes.
	 */
	constructor({id, service, zone, slots = 4, work = 20}) {
		this.id = id;
		this.service = service;
		this.zone = zone;
		this.slots = slots;
		this.work = work;
		this.born = Date.now();
		this.server.keepAliveTimeout = 10_000;
		this.server.on('connection', (socket) => {
			this.sockets.add(socket);
			socket.once('close', () => {
				this.sockets.delete(socket);
			});
		});
	}

	async listen(address) {
		await new Promise((resolve) => {
			this.server.listen(0, address, resolve);
		});
		this.address = `${address}:${this.server.address().port}`;
		return this.address;
	}

	/** Sends pings to the node beside it until it ends. */
	startPings(control) {
		this.control = control;
		void this.ping();
		this.timer = setInterval(() => {
			void this.ping();
		}, heartbeatPeriodMs);
	}

	/** @returns the status of the answer; undefined if none came within a second. */
	async ping(change = {}) {
		this.sequence += 1;
		const {address, born, service, zone, slots, state, sequence} = this;
		return this.say('heartbeat', {
			address,
			born,
			info: {service, version: 'v1', zone, slots},
			status: {state, sequence, cold_remaining_ms: 0},
			...change,
		});
	}

	async deregister() {
		return this.say('deregister', {born: this.born});
	}

	async say(call, body) {
		try {
			const res = await fetch(`${this.control}/v1/instances/${this.id}/${call}`, {
				method: 'POST',
				headers: {'content-type': 'application/json'},
				body: JSON.stringify(body),
				signal: AbortSignal.timeout(1000),
			});
			await res.text();
			return res.status;
		} catch {
			return undefined;
		}
	}

	/** Ends: connections are cut, what runs is lost. */
	close() {
		this.isEnded = true;
		clearInterval(this.timer);
		this.server.close();
		for (const socket of this.sockets) {
			socket.destroy();
		}
	}

	headers(id) {
		return {
			'x-attempt-id': id,
			'x-instance-id': this.id,
			'x-server-load': `${this.running},${this.queue.length},${this.slots},100`,
		};
	}

	async handle(req, res) {
		const id = req.headers['x-attempt-id'];
		if (req.url === '/health') {
			const isWell = this.state === 'ready';
			res.writeHead(isWell ? 200 : 503, this.headers('health'));
			res.end();
			return;
		}

		const chunks = [];
		try {
			for await (const chunk of req) {
				chunks.push(chunk);
			}
		} catch {
			return;
		}

		if (id === undefined) {
			res.writeHead(400, {'x-not-executed': '1'});
			res.end();
			return;
		}

		const expected = req.headers['x-expected-instance'];
		if (expected !== undefined && expected !== this.id) {
			res.writeHead(421, {...this.headers(id), 'x-not-executed': '1'});
			res.end();
			return;
		}

		this.enter({id, req, res, body: Buffer.concat(chunks).toString('utf8')});
	}

	enter(task) {
		if (this.running < this.slots) {
			this.run(task);
		} else if (this.queue.length < this.slots * queuePerSlot) {
			this.queue.push(task);
		} else {
			task.res.writeHead(503, {...this.headers(task.id), 'x-not-executed': '1'});
			task.res.end();
		}
	}

	run({id, req, res, body}) {
		if (res.destroyed || !res.socket) {
			this.next();
			return;
		}

		this.running += 1;
		const run = {
			id,
			at: performance.now(),
			method: req.method,
			path: req.url,
			headers: req.headers,
			body,
		};
		this.runs.push(run);
		const finish = () => {
			this.running -= 1;
			this.next();
		};

		if (this.behavior(run, res, finish)) {
			return;
		}

		setTimeout(() => {
			run.endedAt = performance.now();
			if (!this.isEnded) {
				res.writeHead(200, {...this.headers(id), 'x-server-signature': `s-${id}`});
				res.end(`body of ${id} by ${this.id}`);
			}

			finish();
		}, this.work);
	}

	next() {
		const task = this.queue.shift();
		if (task) {
			this.run(task);
		}
	}
}
