/** A backend server of the users' platform, inside the test's own process. */
import {Buffer} from 'node:buffer';
import {createServer, type IncomingMessage, type Server, type ServerResponse} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';

/** A request as a backend server got it. */
export interface SeenRequest {
	readonly id: string;
	readonly method: string;
	readonly path: string;
	readonly body: string;
	readonly headers: IncomingMessage['headers'];
	readonly rawHeaders: readonly string[];
	readonly trailers: IncomingMessage['trailers'];
	readonly at: number;
	/** Set once the connection closes before the answer was written. */
	isAbandoned: boolean;
}

/** How a backend server answers a request; gives true when it has answered by itself. */
export type Behavior = (req: SeenRequest, res: ServerResponse) => boolean;

/** What a backend server says of itself. */
export interface BackendIdentity {
	readonly instance: string;
	readonly service: string;
	readonly born: number;
}

/** The behavior of a backend server without a fault. */
export const serveNormally: Behavior = () => false;

const announcePeriod = 300;

/** Speaks the platform's protocol: ids, signatures, expected instances, heartbeats. */
export class MeshBackend {
	readonly seen: SeenRequest[] = [];
	behavior: Behavior = serveNormally;
	/** Time that a request takes, in ms. */
	work = 5;
	state = 'ready';
	isHealthy = true;
	/** Requests to its health path. */
	healthQueries = 0;
	/** Headers that it adds to all its answers. */
	notices: Readonly<Record<string, string>> = {};
	/** Time as of `performance.now()` until which it is cold. */
	coldUntil = 0;
	/** Requests whose bodies are arriving. */
	openBodies = 0;
	private sequence = 0;
	private timer: ReturnType<typeof setInterval> | undefined;
	private readonly sockets = new Set<Socket>();
	private readonly server: Server = createServer((req, res) => {
		void this.handle(req, res);
	});

	constructor(
		public identity: BackendIdentity,
		private readonly address: string,
		/** Where heartbeats go. */
		private readonly control: string,
	) {
		this.server.on('connection', (socket) => {
			this.sockets.add(socket);
		});
	}

	get endpoint(): string {
		const {port} = this.server.address() as AddressInfo;
		return `${this.address}:${port}`;
	}

	/** Time for which it is still cold, in ms. */
	get coldLeft(): number {
		return Math.max(0, Math.round(this.coldUntil - performance.now()));
	}

	async listen(port = 0): Promise<void> {
		await new Promise<void>((resolve) => {
			this.server.listen(port, this.address, resolve);
		});
	}

	/** Starts announcing itself. */
	startHeartbeats(): void {
		void this.heartbeat();
		this.timer = setInterval(() => {
			void this.heartbeat();
		}, announcePeriod);
	}

	stopHeartbeats(): void {
		clearInterval(this.timer);
	}

	/** @returns the status of the node's reply; undefined when it gave none. */
	async heartbeat(change: Record<string, unknown> = {}): Promise<number | undefined> {
		this.sequence += 1;
		const {service, born} = this.identity;
		const body = {
			address: this.endpoint,
			born,
			info: {service, version: 'v1', zone: 'z', slots: 4},
			status: {state: this.state, sequence: this.sequence, cold_remaining_ms: this.coldLeft},
			...change,
		};
		return this.announce(JSON.stringify(body));
	}

	/** Sends a heartbeat with a body of any form; @returns the status of the node's reply. */
	async announce(body: string): Promise<number | undefined> {
		return this.say(`/v1/instances/${this.identity.instance}/heartbeat`, body);
	}

	async deregister(): Promise<number | undefined> {
		return this.say(`/v1/instances/${this.identity.instance}/deregister`, '');
	}

	close(): void {
		this.stopHeartbeats();
		this.server.close();
		for (const socket of this.sockets) {
			socket.destroy();
		}
	}

	/**
	 * Ends and starts again at the same address.
	 * @param instance - its new instance id.
	 * @param pause - until when it stays away.
	 */
	async restart(instance: string, pause: Promise<void>): Promise<void> {
		const {port} = this.server.address() as AddressInfo;
		this.close();
		await pause;
		this.identity = {...this.identity, instance, born: this.identity.born + 1};
		this.sequence = 0;
		this.state = 'ready';
		await this.listen(port);
		this.startHeartbeats();
	}

	private async say(path: string, body: string): Promise<number | undefined> {
		try {
			const headers = {'content-type': 'application/json'};
			const res = await fetch(`http://${this.control}${path}`, {method: 'POST', headers, body});
			await res.text();
			return res.status;
		} catch {
			// The node may be away; the next heartbeat tells it.
			return undefined;
		}
	}

	private async handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
		const {instance} = this.identity;
		const load = {'x-server-load': '0,0,4,100', 'x-instance-id': instance, ...this.notices};
		if (req.url === '/health') {
			this.healthQueries += 1;
			const cold = {'x-cold-remaining': String(this.coldLeft)};
			res.writeHead(this.isHealthy ? 200 : 503, {...load, ...cold}).end();
			return;
		}

		const expected = req.headers['x-expected-instance'];
		if (expected !== undefined && expected !== instance) {
			res.writeHead(421, load).end();
			return;
		}

		const seen = await this.note(req, res);
		if (!seen) {
			return;
		}

		if (this.behavior(seen, res)) {
			return;
		}

		setTimeout(() => {
			const text = `${instance} ${seen.method} ${seen.path} ${seen.body}`;
			res.writeHead(200, {...load, 'x-attempt-id': seen.id, 'x-server-signature': 'signed'});
			res.end(text);
		}, this.work);
	}

	/** @returns the request; undefined if its connection closed before its end. */
	private async note(req: IncomingMessage, res: ServerResponse): Promise<SeenRequest | undefined> {
		const chunks: Buffer[] = [];
		this.openBodies += 1;
		req.once('close', () => {
			this.openBodies -= 1;
		});
		try {
			for await (const chunk of req) {
				chunks.push(Buffer.from(chunk as Uint8Array));
			}
		} catch {
			return undefined;
		}

		const seen: SeenRequest = {
			id: String(req.headers['x-attempt-id']),
			method: req.method ?? '',
			path: req.url ?? '',
			body: Buffer.concat(chunks).toString('utf8'),
			headers: req.headers,
			rawHeaders: req.rawHeaders,
			trailers: req.trailers,
			at: performance.now(),
			isAbandoned: false,
		};
		this.seen.push(seen);
		res.once('close', () => {
			seen.isAbandoned = !res.writableFinished;
		});
		return seen;
	}
}
