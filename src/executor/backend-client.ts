import {PassThrough, type Readable} from 'node:stream';
import {Pool} from 'undici';
import type {Clock} from '../clock/index.js';
import {maxInlineBodyBytes, type Attempt, type AttemptResult} from '../exchange/index.js';
import {formatEndpoint, type Endpoint} from '../settings/index.js';
import {
	AbortedError,
	BackendCall,
	type BackendCallListener,
	type WriteGate,
} from './backend-call.js';
import type {BackendProtocol} from './backend-protocol.js';
import {ResetWatch} from './reset-watch.js';

/** Address and limits of a backend server. */
export interface BackendTarget {
	readonly endpoint: Endpoint;
	/** Id that is unique to each start of the backend server. */
	readonly instance: string;
	/** Maximum number of connections to the backend server. */
	readonly connections: number;
}

/** The backend server is on the same VM, where a refused connection is reported immediately. */
const connectTimeoutMs = 1000;

function copyStream(stream: Readable): Readable {
	// The undici library destroys the body of an aborted request; the caller's socket must stay open.
	const copy = new PassThrough({highWaterMark: maxInlineBodyBytes});
	stream.pipe(copy);
	stream.once('error', (err) => {
		copy.destroy(err);
	});
	stream.once('close', () => {
		if (!stream.readableEnded) {
			copy.destroy(new AbortedError('request body truncated: the caller closed the connection'));
		}
	});
	return copy;
}

/** Sends requests to one backend server. */
export interface BackendSender {
	/**
	 * @param attempt - attempt to send.
	 * @param gate - checked immediately before the first byte is written.
	 * @param listener - receives the reported load and the end of the call.
	 * @returns the result; the body of an answer may still be streaming.
	 */
	send(attempt: Attempt, gate: WriteGate, listener: BackendCallListener): Promise<AttemptResult>;
	/** Closes each connection once its calls have ended. */
	close(): void;
}

/** Sends requests over pooled HTTP connections. */
export class BackendClient implements BackendSender {
	private readonly pool: Pool;
	private readonly resets = new ResetWatch();

	constructor(
		private readonly target: BackendTarget,
		private readonly protocol: BackendProtocol,
		private readonly clock: Pick<Clock, 'now'>,
	) {
		this.pool = new Pool(`http://${formatEndpoint(target.endpoint)}`, {
			connections: target.connections,
			pipelining: 1,
			headersTimeout: 0,
			bodyTimeout: 0,
			connect: this.resets.createConnector(connectTimeoutMs),
		});
	}

	async send(
		attempt: Attempt,
		gate: WriteGate,
		listener: BackendCallListener,
	): Promise<AttemptResult> {
		const {head, body, cancellation, deadline} = attempt;
		const timeLeft = deadline.timeLeft(this.clock.now());
		return new Promise((resolve) => {
			const {requestId} = head.origin;
			const {protocol, resets} = this;
			const call = new BackendCall({requestId, protocol, resets, gate, listener, resolve});
			cancellation.registerListener(() => {
				call.cancel();
			});
			this.pool.dispatch(
				{
					path: head.path,
					method: head.method,
					headers: this.protocol.requestHeaders(attempt, timeLeft, this.target.instance),
					body: body.stream ? copyStream(body.stream) : undefinedIfEmpty(body.bytes),
				},
				call,
			);
		});
	}

	close(): void {
		void this.pool.close();
	}
}

function undefinedIfEmpty(bytes: Uint8Array | undefined): Uint8Array | undefined {
	return bytes && bytes.length > 0 ? bytes : undefined;
}
