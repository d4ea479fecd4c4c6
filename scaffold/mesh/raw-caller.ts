/** A caller that controls when the bytes of its requests are sent and when those of the answers are read. */
import {Buffer} from 'node:buffer';
import {connect, type Socket} from 'node:net';

/** An answer as the caller got it. */
export interface RawAnswer {
	readonly status: number;
	/** Attempt id in its head. */
	readonly id: string | undefined;
	readonly isComplete: boolean;
}

const headEnd = '\r\n\r\n';

/** One connection of a caller. */
export class RawCaller {
	/** @returns a caller with an open connection. */
	static async open(address: string, port: number): Promise<RawCaller> {
		const caller = new RawCaller(address, port);
		await new Promise((resolve, reject) => {
			caller.socket.once('connect', resolve);
			caller.socket.once('error', reject);
		});
		return caller;
	}

	/** Resolves once the connection has closed. */
	readonly closed: Promise<void>;
	private readonly chunks: Buffer[] = [];
	private readonly socket: Socket;

	private constructor(address: string, port: number) {
		this.socket = connect(port, address);
		this.socket.on('data', (chunk) => {
			this.chunks.push(chunk);
		});
		this.socket.on('error', () => undefined);
		this.closed = new Promise((resolve) => {
			this.socket.once('close', () => {
				resolve();
			});
		});
	}

	/** Bytes of answers that were read so far. */
	get receivedBytes(): number {
		return this.socket.bytesRead;
	}

	/** All bytes that were read so far. */
	get received(): Buffer {
		return Buffer.concat(this.chunks);
	}

	send(text: string): void {
		this.socket.write(text);
	}

	/** Reads no more, so that answers stay in the buffers of the node. */
	pause(): void {
		this.socket.pause();
	}

	resume(): void {
		this.socket.resume();
	}

	destroy(): void {
		this.socket.destroy();
	}

	/** @returns the answers so far; the last one may be incomplete. Interim answers are left out. */
	answers(): RawAnswer[] {
		let rest = this.received;
		const answers: RawAnswer[] = [];
		while (rest.length > 0) {
			const end = rest.indexOf(headEnd);
			const head = rest.subarray(0, Math.max(0, end)).toString('latin1');
			const status = Number(head.slice('HTTP/1.1 '.length).split(' ', 1)[0]);
			const size = end + headEnd.length + Number(/content-length: (\d+)/iv.exec(head)?.[1] ?? 0);
			const id = /x-attempt-id: (\S+)/iv.exec(head)?.[1];
			const isComplete = end !== -1 && size <= rest.length;
			if (status >= 200 || !isComplete) {
				answers.push({status, id, isComplete});
			}

			if (!isComplete) {
				break;
			}

			rest = rest.subarray(size);
		}

		return answers;
	}
}

/** What the head of a request says beside its target. */
export interface RawHeadOptions {
	/** Length of the body, in bytes. */
	readonly length?: number;
	/** Time limit of the request, in ms. */
	readonly deadline?: number;
	readonly version?: string;
	/** Whether the connection is to close behind the answer. */
	readonly isLast?: boolean;
}

/** @returns the head of a request with an attempt id. */
export function rawHead(
	method: string,
	path: string,
	id: string,
	{length = 0, deadline = 2000, version = '1.1', isLast = false}: RawHeadOptions = {},
): string {
	const lines = [`${method} ${path} HTTP/${version}`, 'Host: a.example', `X-Attempt-Id: ${id}`];
	const body = length > 0 || method === 'POST' ? [`Content-Length: ${length}`] : [];
	const close = isLast ? ['Connection: close'] : [];
	return [...lines, `X-Request-Deadline: ${deadline}`, ...close, ...body, '', ''].join('\r\n');
}
