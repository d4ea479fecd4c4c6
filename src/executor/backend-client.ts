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

/** A backend server to send requests to. */
export interface BackendTarget {
	readonly endpoint: Endpoint;
	/** Unique for each start of the backend server. */
	readonly instance: string;
	/** Connections that it takes at the most. */
	readonly connections: number;
}

/** Time to open a connection to a backend server on the same VM; a refusal comes at once. */
const connectTimeout = 1000;

function protect(stream: Readable): Readable {
	// The library destroys a body that it gives up; the caller's socket must outlive that.
	const copy = new PassThrough({highWaterMark: maxInlineBodyBytes});
	stream.pipe(copy);
	stream.once('error', (err) => {
		copy.destroy(err);
	});
	stream.once('close', () => {
		if (!stream.readableEnded) {
			copy.destroy(new AbortedError('the caller broke off its request'));
		}
	});
	return copy;
}

/** Sends requests to one backend server. */
export class BackendClient {
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
			connect: this.resets.createConnector(connectTimeout),
		});
	}

	/**
	 * @param attempt - what to send.
	 * @param gate - asked right before the first byte is written.
	 * @param listener - hears of the end.
	 * @returns how it ended; the body may still stream.
	 */
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
					body: body.stream ? protect(body.stream) : emptyToNone(body.bytes),
				},
				call,
			);
		});
	}

	/** Closes the connections as their calls end. */
	close(): void {
		void this.pool.close();
	}
}

function emptyToNone(bytes: Uint8Array | undefined): Uint8Array | undefined {
	return bytes && bytes.length > 0 ? bytes : undefined;
}
