/** A caller's connection that notes when each request was sent and how it ended. */
import {Buffer} from 'node:buffer';
import {connect, type Socket} from 'node:net';
import {parseAnswer, type ParsedAnswer} from './answer-parser.js';
import {bodyFor, SoakEnd, type SoakRequest} from './soak-request.js';

/** How a request is sent. */
export interface SendPlan {
	/** Number of pieces, cut at random places. */
	readonly pieces: number;
	/** Time between two pieces, in ms. */
	readonly gap: number;
}

/** The callers' side of a connection. */
export interface ConnectionOptions {
	readonly address: string;
	readonly port: number;
	readonly host: string;
	/** Time for which the caller reads nothing after each read, in ms. */
	readonly readPause: number;
	/** Called with bytes that belong to no request. */
	handleStray(text: string): void;
}

type Pending = {readonly req: SoakRequest; readonly resolve: () => void};

const atOnce: SendPlan = {pieces: 1, gap: 0};
/** How long after its deadline a caller closes the connection, in ms. */
const patience = 1000;

async function sleep(duration: number): Promise<void> {
	await new Promise((resolve) => {
		setTimeout(resolve, duration);
	});
}

export class SoakConnection {
	private readonly socket: Socket;
	private readonly pending: Pending[] = [];
	private rest = Buffer.alloc(0);
	private isOpen = false;
	private isClosed = false;
	private isCloseAnnounced = false;

	constructor(private readonly options: ConnectionOptions) {
		this.socket = connect({host: options.address, port: options.port, noDelay: true});
		this.listen();
	}

	/** Whether another request may be sent. */
	get isUsable(): boolean {
		return this.isOpen && !this.isClosed && !this.isCloseAnnounced;
	}

	/** @returns whether the node has taken the connection. */
	async open(): Promise<boolean> {
		await new Promise<void>((resolve) => {
			this.socket.once('connect', resolve);
			this.socket.once('close', () => {
				resolve();
			});
		});
		return this.isUsable;
	}

	/** Sends a request; resolves when it has ended. */
	async send(req: SoakRequest, {pieces, gap}: SendPlan = atOnce): Promise<void> {
		const ended = new Promise<void>((resolve) => {
			this.pending.push({req, resolve});
		});
		void this.write(req, pieces, gap);
		await ended;
	}

	/** Closes the connection; requests on it count as given up. */
	close(): void {
		for (const {req} of this.pending) {
			req.end = SoakEnd.GaveUp;
		}

		this.socket.destroy();
	}

	private listen(): void {
		const {socket} = this;
		socket.on('connect', () => {
			this.isOpen = true;
		});
		socket.on('data', (chunk) => {
			this.rest = Buffer.concat([this.rest, chunk]);
			const [first] = this.pending;
			if (first) {
				first.req.bytes += chunk.length;
				first.req.progressAt = performance.now();
			}

			this.readAnswers(false);
			if (this.options.readPause > 0) {
				socket.pause();
				setTimeout(() => {
					socket.resume();
				}, this.options.readPause);
			}
		});
		socket.on('error', () => undefined);
		socket.on('end', () => {
			this.readAnswers(true);
		});
		socket.on('close', () => {
			this.isClosed = true;
			const first = this.pending[0]?.req;
			for (const {req, resolve} of this.pending.splice(0)) {
				req.end ??= SoakEnd.Cut;
				req.behind = req === first ? undefined : first;
				req.isCloseAnnounced = this.isCloseAnnounced;
				req.endedAt = performance.now();
				resolve();
			}
		});
	}

	private async write(req: SoakRequest, pieces: number, gap: number): Promise<void> {
		const {socket} = this;
		const head = formatHead(req, this.options.host);
		const bytes = Buffer.concat([head, bodyFor(req.id, req.task.bodySize)]);
		for (let i = 0; i < pieces && !this.isClosed && !req.end; i++) {
			const from = Math.floor((bytes.length * i) / pieces);
			const to = Math.floor((bytes.length * (i + 1)) / pieces);
			if (i > 0) {
				await sleep(gap);
			}

			if (socket.writable && !req.end) {
				const isLast = i === pieces - 1;
				socket.write(bytes.subarray(from, to), (err) => {
					if (isLast && !err) {
						req.wholeAt = performance.now();
					}
				});
				if (to >= head.length) {
					req.headAt ??= performance.now();
				}
			}
		}

		this.giveUpLater(req);
	}

	private giveUpLater(req: SoakRequest): void {
		setTimeout(() => {
			if (!req.end) {
				this.close();
			}
		}, req.deadline + patience).unref();
	}

	private readAnswers(isEnded: boolean): void {
		for (;;) {
			const [first] = this.pending;
			if (!first) {
				if (this.rest.length > 0) {
					this.options.handleStray(this.rest.subarray(0, 200).toString('latin1'));
					this.rest = Buffer.alloc(0);
					this.close();
				}

				return;
			}

			const answer = parseAnswer(this.rest, isEnded);
			if (!answer) {
				return;
			}

			first.req.status = answer.status;
			first.req.isSigned = answer.headers.has('x-server-signature');
			if (!answer.body) {
				return;
			}

			this.rest = this.rest.subarray(answer.size);
			if (answer.status >= 200) {
				this.pending.shift();
				this.finish(first, answer, answer.body);
			}
		}
	}

	private finish({req, resolve}: Pending, {status, headers}: ParsedAnswer, body: Buffer): void {
		req.end = SoakEnd.Answered;
		req.endedAt = performance.now();
		req.bytes = body.length;
		req.fault = findFault(req, status, headers, body);
		const [next] = this.pending;
		if (next) {
			next.req.bytes = this.rest.length;
		}

		this.isCloseAnnounced ||= headers.get('connection')?.toLowerCase() === 'close';
		if (req.wholeAt === undefined) {
			// The rest of the request is not sent, so that the connection can't be used any more.
			this.close();
		} else if (this.isCloseAnnounced && this.pending.length === 0) {
			this.socket.end();
		}

		resolve();
	}
}

function formatHead({id, method, path, task, deadline}: SoakRequest, host: string): Buffer {
	const lines = [
		`${method} ${path} HTTP/1.1`,
		`Host: ${host}`,
		`X-Attempt-Id: ${id}`,
		`X-Request-Deadline: ${deadline}`,
	];
	if (method !== 'GET') {
		lines.push(`Content-Length: ${task.bodySize}`);
	}

	return Buffer.from(`${lines.join('\r\n')}\r\n\r\n`, 'latin1');
}

function findFault(
	{id, task}: SoakRequest,
	status: number,
	headers: ReadonlyMap<string, string>,
	body: Buffer,
): string | undefined {
	const answered = headers.get('x-attempt-id');
	if (Number.isNaN(status)) {
		return 'no answer in the protocol';
	}

	if (answered !== undefined && answered !== id) {
		return `the answer of ${answered}`;
	}

	if (status < 200 || status > 299) {
		return undefined;
	}

	if (!headers.has('x-server-signature')) {
		return 'a success without the signature';
	}

	return body.equals(bodyFor(id, task.size))
		? undefined
		: `a success with ${body.length} bytes that are not its ${task.size}`;
}
