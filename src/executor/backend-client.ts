import {PassThrough, type Readable} from 'node:stream';
import {LRUCache} from 'lru-cache';
import {Pool} from 'undici';
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
import {BackendConnection, type BackendRequest} from './backend-connection.js';
import type {BackendProtocol} from './backend-protocol.js';

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
	private readonly refusedRequests = new LRUCache<string, true>({max: maxRefusedRequests});

	constructor(
		private readonly target: BackendTarget,
		private readonly protocol: BackendProtocol,
		private readonly clock: Pick<Clock, 'now'>,
	) {
		this.pool = new Pool(this.origin, {
			connections: target.connections,
			factory: () => this.createConnection(),
		});
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
			const {protocol, target} = this;
			const {method, isIdempotent} = head;
			const sent = {requestId, instance: target.instance, isIdempotent};
			const call = new BackendCall({sent, method, protocol, gate, listener, resolve});
			cancellation.registerListener(() => {
				call.cancel();
			});
			this.dispatch(requestId, {
				path: head.path,
				method,
				headers: this.protocol.requestHeaders(attempt, timeLeft, this.target.instance),
				body: body.stream ? copyStream(body.stream) : undefinedIfEmpty(body.bytes),
				call,
			});
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

	private createConnection(): BackendConnection {
		return new BackendConnection(this.origin, connectTimeoutMs);
	}

	// A faulty backend server may write a refusal again on a kept connection. There it would look like the answer to
	// the same request when that is sent again, so the request gets a connection of its own.
	private dispatch(requestId: string, request: BackendRequest): void {
		if (this.refusedRequests.has(requestId)) {
			const connection = this.createConnection();
			connection.dispatch(request, request.call);
			void connection.close();
		} else {
			this.pool.dispatch(request, request.call);
		}
	}
}

function undefinedIfEmpty(bytes: Uint8Array | undefined): Uint8Array | undefined {
	return bytes && bytes.length > 0 ? bytes : undefined;
}
