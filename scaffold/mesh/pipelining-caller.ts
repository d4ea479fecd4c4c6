/** A caller that sends further requests on a connection before the first is answered. */
import {Buffer} from 'node:buffer';
import {connect, type Socket} from 'node:net';

/** A request that is sent again while callers may do so. */
export interface PipelinedCall {
	/** Name of the request; each attempt has its own id, which starts with it. */
	readonly name: string;
	readonly path: string;
	readonly isSafe: boolean;
	attempts: number;
	status: number | undefined;
	/** Attempt id in the answer. */
	answeredId: string | undefined;
}

/** How a connection ended. */
export enum ConnectionEnd {
	/** All requests were answered. */
	Answered = 'answered',
	/** An answer announced the close, so that the requests behind it count as not read, or nothing was sent. */
	NotRead = 'not-read',
	/** The connection was closed without an announcement. */
	Lost = 'lost',
}

/** Callers' connections to one node. */
export interface PipelineTarget {
	readonly address: string;
	readonly port: number;
	readonly host: string;
	/** How long the caller waits for each answer, in ms. */
	readonly timeout: number;
}

/** What the caller does to its connection. */
export interface PipelineOptions {
	/** Resets the connection after so many answers; undefined for never. */
	readonly resetAfter?: number;
}

const headEnd = '\r\n\r\n';

/** One connection on which all requests are written at once. */
class PipelineConnection {
	private readonly socket: Socket;
	private rest = Buffer.alloc(0);
	private answered = 0;
	private isCloseAnnounced = false;
	private isConnected = false;

	constructor(
		target: PipelineTarget,
		private readonly calls: readonly PipelinedCall[],
		private readonly options: PipelineOptions,
	) {
		this.socket = connect(target.port, target.address);
		this.socket.write(calls.map((call) => formatRequest(target, call)).join(''));
	}

	async run(): Promise<ConnectionEnd> {
		return new Promise((resolve) => {
			const {socket} = this;
			socket.on('data', (chunk) => {
				this.rest = Buffer.concat([this.rest, chunk]);
				this.readAnswers();
				if (this.answered === this.calls.length || this.isCloseAnnounced) {
					socket.end();
				} else if (this.answered >= (this.options.resetAfter ?? this.calls.length)) {
					socket.resetAndDestroy();
				}
			});
			socket.once('connect', () => {
				this.isConnected = true;
			});
			socket.on('error', () => undefined);
			socket.once('close', () => {
				const isAnswered = this.answered === this.calls.length;
				const isNotRead = this.isCloseAnnounced || !this.isConnected;
				const lost = isNotRead ? ConnectionEnd.NotRead : ConnectionEnd.Lost;
				resolve(isAnswered ? ConnectionEnd.Answered : lost);
			});
		});
	}

	private readAnswers(): void {
		while (this.answered < this.calls.length && !this.isCloseAnnounced) {
			const end = this.rest.indexOf(headEnd);
			const head = this.rest.subarray(0, Math.max(0, end)).toString('latin1');
			const size = end === -1 ? undefined : findEnd(this.rest, head, end + headEnd.length);
			if (size === undefined) {
				return;
			}

			const call = this.calls[this.answered]!;
			call.status = Number(head.slice('HTTP/1.1 '.length).split(' ', 1)[0]);
			call.answeredId = /x-attempt-id: (\S+)/iv.exec(head)?.[1];
			this.isCloseAnnounced = /connection: close/iv.test(head);
			this.rest = this.rest.subarray(size);
			this.answered += 1;
		}
	}
}

/** @returns where the answer ends; undefined while it is incomplete. */
function findEnd(bytes: Buffer, head: string, bodyAt: number): number | undefined {
	if (!/transfer-encoding: chunked/iv.test(head)) {
		const end = bodyAt + Number(/content-length: (\d+)/iv.exec(head)?.[1] ?? 0);
		return end <= bytes.length ? end : undefined;
	}

	let at = bodyAt;
	for (;;) {
		const lineEnd = bytes.indexOf('\r\n', at);
		if (lineEnd === -1) {
			return undefined;
		}

		const length = Number.parseInt(bytes.subarray(at, lineEnd).toString('latin1'), 16);
		at = lineEnd + 2 * '\r\n'.length + length;
		if (at > bytes.length) {
			return undefined;
		}

		if (length === 0) {
			return at;
		}
	}
}

function formatRequest({host, timeout}: PipelineTarget, call: PipelinedCall): string {
	const {name, path, attempts, isSafe} = call;
	call.attempts += 1;
	const method = isSafe ? 'GET' : 'POST';
	const length = isSafe ? '' : 'Content-Length: 0\r\n';
	const id = `X-Attempt-Id: ${name}.${attempts}\r\nX-Request-Deadline: ${timeout}\r\n`;
	return `${method} ${path} HTTP/1.1\r\nHost: ${host}\r\n${id}${length}\r\n`;
}

/**
 * Sends requests on one connection at once, and those that may be sent again on further connections: all that count as
 * not read, and after the loss of the connection those that are safe.
 * @param targets - nodes; the next one is used after each loss of a connection.
 * @param calls - the requests, in order; their answers are recorded in them.
 * @param options - what the caller does to its first connection.
 */
export async function sendPipelined(
	targets: readonly PipelineTarget[],
	calls: readonly PipelinedCall[],
	options: PipelineOptions = {},
): Promise<void> {
	let open = calls;
	for (let i = 0; open.length > 0 && i < 2 * targets.length; i += 1) {
		const target = targets[i % targets.length]!;
		const connection = new PipelineConnection(target, open, i === 0 ? options : {});
		const end = await connection.run();
		open = open.filter(
			({status, isSafe}) => status === undefined && (end === ConnectionEnd.NotRead || isSafe),
		);
	}
}
