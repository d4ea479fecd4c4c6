import {PassThrough, type Readable} from 'node:stream';
import {LRUCache} from 'lru-cache';
import {Client, Pool, type Dispatcher} from 'undici';
import {RefusalReason} from '../call/index.js';
import type {Clock} from '../clock/index.js';
import {
	AttemptEnd,
	maxInlineBodyBytes,
	type Attempt,
	type AttemptResult,
} from '../exchange/index.js';
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
/** Refused requests that are remembered; a request is repeated within its deadline, if at all. */
const maxRefusedRequests = 4096;

function copyStream(stream: Readable): Readable {
	// The undici library destroys the body of an aborted request; the caller's socket must stay open.
	const copy = new PassThrough({highWaterMark: maxInlineBodyBytes});
	// The library listens once the request is at a connection.
	copy.on('error', () => undefined);
	const handleClose = () => {
		if (!stream.readableEnded) {
			copy.destroy(new AbortedError('request body truncated: the caller closed the connection'));
		}
	};

	stream.pipe(copy);
	stream.once('error', (err) => {
		copy.destroy(err);
	});
	stream.once('close', handleClose);
	// A body that was lost while its call waited for a slot reports nothing any more.
	if (stream.closed) {
		handleClose();
	}

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
	private readonly refusedRequests = new LRUCache<string, true>({max: maxRefusedRequests});

	constructor(
		private readonly target: BackendTarget,
		private readonly protocol: BackendProtocol,
		private readonly clock: Pick<Clock, 'now'>,
	) {
		this.pool = new Pool(this.origin, {...this.options, connections: target.connections});
	}

	async send(
		attempt: Attempt,
		gate: WriteGate,
		listener: BackendCallListener,
	): Promise<AttemptResult> {
		const {head, body, cancellation, deadline} = attempt;
		const timeLeft = deadline.timeLeft(this.clock.now());
		const {requestId} = head.origin;
		const result = await new Promise<AttemptResult>((resolve) => {
			const {protocol, resets} = this;
			const call = new BackendCall({requestId, protocol, resets, gate, listener, resolve});
			cancellation.registerListener(() => {
				call.cancel();
			});
			this.dispatch(
				requestId,
				{
					path: head.path,
					method: head.method,
					headers: this.protocol.requestHeaders(attempt, timeLeft, this.target.instance),
					body: body.stream ? copyStream(body.stream) : undefinedIfEmpty(body.bytes),
				},
				call,
			);
		});
		if (result.end === AttemptEnd.Refused && result.reason === RefusalReason.BackendRefused) {
			this.refusedRequests.set(requestId, true);
		}

		return result;
	}

	close(): void {
		void this.pool.close();
	}

	private get origin(): string {
		return `http://${formatEndpoint(this.target.endpoint)}`;
	}

	private get options(): Client.Options {
		return {
			pipelining: 1,
			headersTimeout: 0,
			bodyTimeout: 0,
			connect: this.resets.createConnector(connectTimeoutMs),
		};
	}

	// A faulty backend server may write a refusal again on a kept connection. There it would look like the answer to
	// the same request when that is sent again, so the request gets a connection of its own.
	private dispatch(
		requestId: string,
		options: Dispatcher.DispatchOptions,
		call: BackendCall,
	): void {
		if (this.refusedRequests.has(requestId)) {
			const client = new Client(this.origin, this.options);
			client.dispatch(options, call);
			void client.close();
		} else {
			this.pool.dispatch(options, call);
		}
	}
}

function undefinedIfEmpty(bytes: Uint8Array | undefined): Uint8Array | undefined {
	return bytes && bytes.length > 0 ? bytes : undefined;
}
