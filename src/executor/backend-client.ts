import {PassThrough, type Readable} from 'node:stream';
import {Pool, type Dispatcher} from 'undici';
import {RefusalReason, type HeaderList} from '../call/index.js';
import {
	AttemptEnd,
	createRefused,
	createStreamBody,
	createUnknown,
	createWholeBody,
	inlineBodyBytes,
	type Attempt,
	type AttemptResult,
} from '../exchange/index.js';
import {formatEndpoint, type Endpoint} from '../settings/index.js';
import {stripHeaders} from './headers.js';

/** What the executor says just before the first byte of a request is written. */
export interface WriteGate {
	/** @returns why the request must not be written; undefined to go on. */
	check(): RefusalReason | undefined;
}

/** Hears how a call at the backend server goes. */
export interface BackendCallListener {
	/**
	 * The backend server has answered in full, or will not answer.
	 * @param isFailure - whether it failed.
	 * @param isBroken - whether it broke off a call that was in flight.
	 */
	ended(isFailure: boolean, isBroken: boolean): void;
}

const connectTimeout = 1000;
const serverErrorStatus = 500;
const refusedStatus = 503;

/** With status 503, says that the backend server refused the request before any work. */
export const refusedBeforeWorkHeader = 'turmeric-refused';

class AbortedError extends Error {
	override name = 'AbortedError';
}

/** One request on its way to the backend server. */
class BackendCall implements Dispatcher.DispatchHandler {
	private controller: Dispatcher.DispatchController | undefined;
	private gateReason: RefusalReason | undefined;
	private isWritten = false;
	private isEnded = false;
	private status = 0;
	private headers: HeaderList = [];
	private readonly trailers: HeaderList = [];
	private chunks: Uint8Array[] | undefined;
	private stream: PassThrough | undefined;

	constructor(
		private readonly gate: WriteGate,
		private readonly listener: BackendCallListener,
		private readonly resolve: (result: AttemptResult) => void,
	) {}

	// The library calls this in the loop turn in which it writes the first byte.
	onRequestStart(controller: Dispatcher.DispatchController): void {
		this.controller = controller;
		this.gateReason = this.gate.check();
		if (this.gateReason === undefined) {
			this.isWritten = true;
		} else {
			controller.abort(new AbortedError('refused before the first byte'));
		}
	}

	onResponseStart(controller: Dispatcher.DispatchController, status: number): void {
		if (status < 200) {
			return;
		}

		this.status = status;
		this.headers = toHeaderList(controller.rawHeaders);
		if (isWholeLength(this.headers)) {
			this.chunks = [];
		} else {
			this.startStream(controller);
		}
	}

	onResponseData(controller: Dispatcher.DispatchController, chunk: Uint8Array): void {
		if (this.chunks) {
			this.chunks.push(chunk);
		} else if (this.stream && !this.stream.write(chunk)) {
			controller.pause();
		}
	}

	onResponseEnd(controller: Dispatcher.DispatchController): void {
		this.trailers.push(...toHeaderList(controller.rawTrailers));
		this.end(this.status >= serverErrorStatus, false);
		if (this.stream) {
			this.stream.end();
		} else {
			this.resolve(this.wholeAnswer());
		}
	}

	onResponseError(_controller: Dispatcher.DispatchController | undefined, err: Error): void {
		if (!this.isWritten) {
			const reason = this.gateReason ?? RefusalReason.BackendUnreachable;
			this.end(this.gateReason === undefined, false);
			this.resolve(createRefused(reason));
			return;
		}

		const isAborted = err instanceof AbortedError;
		this.end(!isAborted, !isAborted);
		this.stream?.destroy(err);
		this.resolve(createUnknown(isAborted ? RefusalReason.Canceled : RefusalReason.BackendLost));
	}

	/** Tells the backend server that nobody waits for the answer. */
	cancel(): void {
		this.controller?.abort(new AbortedError('canceled'));
	}

	private startStream(controller: Dispatcher.DispatchController): void {
		const stream = new PassThrough({highWaterMark: inlineBodyBytes});
		this.stream = stream;
		stream.on('drain', () => {
			controller.resume();
		});
		stream.on('error', () => undefined);
		stream.once('close', () => {
			if (!stream.readableEnded) {
				this.cancel();
			}
		});
		this.resolve({
			end: AttemptEnd.Answered,
			status: this.status,
			headers: stripHeaders(this.headers),
			body: createStreamBody(stream, this.trailers),
			load: undefined,
		});
	}

	private wholeAnswer(): AttemptResult {
		if (this.status === refusedStatus && hasHeader(this.headers, refusedBeforeWorkHeader)) {
			return createRefused(RefusalReason.BackendRefused);
		}

		const chunks = this.chunks ?? [];
		const bytes = chunks.length === 1 ? chunks[0]! : concat(chunks);
		return {
			end: AttemptEnd.Answered,
			status: this.status,
			headers: stripHeaders(this.headers),
			body: createWholeBody(bytes, this.trailers),
			load: undefined,
		};
	}

	private end(isFailure: boolean, isBroken: boolean): void {
		if (!this.isEnded) {
			this.isEnded = true;
			this.listener.ended(isFailure, isBroken);
		}
	}
}

function concat(chunks: readonly Uint8Array[]): Uint8Array {
	let length = 0;
	for (const chunk of chunks) {
		length += chunk.length;
	}

	const bytes = new Uint8Array(length);
	let at = 0;
	for (const chunk of chunks) {
		bytes.set(chunk, at);
		at += chunk.length;
	}

	return bytes;
}

function toHeaderList(raw: Dispatcher.DispatchController['rawHeaders']): HeaderList {
	const headers: HeaderList = [];
	if (Array.isArray(raw)) {
		for (const item of raw) {
			headers.push(typeof item === 'string' ? item : item.toString('latin1'));
		}
	}

	return headers;
}

function headerValue(headers: HeaderList, name: string): string | undefined {
	for (let i = 0; i < headers.length; i += 2) {
		if (headers[i]!.toLowerCase() === name) {
			return headers[i + 1];
		}
	}

	return undefined;
}

function hasHeader(headers: HeaderList, name: string): boolean {
	return headerValue(headers, name) !== undefined;
}

function isWholeLength(headers: HeaderList): boolean {
	const length = headerValue(headers, 'content-length');
	return length !== undefined && Number(length) <= inlineBodyBytes;
}

function protect(stream: Readable): Readable {
	// The library destroys a body that it gives up; the caller's socket must outlive that.
	const copy = new PassThrough({highWaterMark: inlineBodyBytes});
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

	constructor(endpoint: Endpoint, connections: number) {
		this.pool = new Pool(`http://${formatEndpoint(endpoint)}`, {
			connections,
			pipelining: 1,
			headersTimeout: 0,
			bodyTimeout: 0,
			connectTimeout,
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
		const {head, body, cancellation} = attempt;
		return new Promise((resolve) => {
			const call = new BackendCall(gate, listener, resolve);
			cancellation.registerListener(() => {
				call.cancel();
			});
			this.pool.dispatch(
				{
					path: head.path,
					method: head.method,
					headers: head.headers,
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
