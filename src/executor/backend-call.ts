import {PassThrough} from 'node:stream';
import type {Dispatcher} from 'undici';
import {RefusalReason, type HeaderList} from '../call/index.js';
import {
	AttemptEnd,
	createRefused,
	createStreamBody,
	createUnknown,
	createBufferedBody,
	maxInlineBodyBytes,
	type AttemptResult,
} from '../exchange/index.js';
import {concatBytes} from '../util/index.js';
import {AnswerKind, type BackendLoad, type BackendProtocol} from './backend-protocol.js';
import {hasHeader, stripHeaders} from './headers.js';
import type {ResetWatch} from './reset-watch.js';

/** What the executor says just before the first byte of a request is written. */
export interface WriteGate {
	/** @returns why the request must not be written; undefined to go on. */
	check(): RefusalReason | undefined;
}

/** How a call at the backend server went. */
export interface BackendCallEnd {
	readonly isFailure: boolean;
	/** Whether the backend server broke off a call that was in flight. */
	readonly isBroken: boolean;
}

/** Hears how a call at the backend server goes. */
export interface BackendCallListener {
	/** An answer told the load of the backend server. */
	onLoad(load: BackendLoad): void;
	/** The backend server has answered in full, or will not answer. */
	onEnd(end: BackendCallEnd): void;
}

const serverErrorStatus = 500;

/** The request was taken back by this node. */
export class AbortedError extends Error {
	override name = 'AbortedError';
}

/** The backend server wrote something else than the answer to the request. */
class ForeignAnswerError extends Error {
	override name = 'ForeignAnswerError';
}

/** The connection was reset before the answer was whole. */
class ResetAnswerError extends Error {
	override name = 'ResetAnswerError';
}

const notRunReasons: Readonly<Partial<Record<AnswerKind, RefusalReason>>> = {
	[AnswerKind.NotRun]: RefusalReason.BackendRefused,
	[AnswerKind.OtherInstance]: RefusalReason.BackendReplaced,
};

/** What a call is made of. */
export interface BackendCallDependencies {
	readonly requestId: string;
	readonly protocol: BackendProtocol;
	readonly resets: ResetWatch;
	readonly gate: WriteGate;
	readonly listener: BackendCallListener;
	/** Takes the end of the call; its body may still stream. */
	resolve(result: AttemptResult): void;
}

/** One request on its way to the backend server. */
export class BackendCall implements Dispatcher.DispatchHandler {
	private controller: Dispatcher.DispatchController | undefined;
	private gateReason: RefusalReason | undefined;
	private isWritten = false;
	private isEnded = false;
	private isCanceled = false;
	private status = 0;
	private verdict = AnswerKind.Answer;
	private headers: HeaderList = [];
	private readonly trailers: HeaderList = [];
	private readonly chunks: Uint8Array[] = [];
	private heldBytes = 0;
	private stream: PassThrough | undefined;

	constructor(private readonly parts: BackendCallDependencies) {}

	// The library calls this in the loop turn in which it writes the first byte.
	onRequestStart(controller: Dispatcher.DispatchController): void {
		this.controller = controller;
		this.gateReason = this.isCanceled ? RefusalReason.DeadlinePassed : this.parts.gate.check();
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
		this.verdict = this.parts.protocol.classify(
			{status, headers: this.headers},
			this.parts.requestId,
		);
		if (this.verdict === AnswerKind.Foreign) {
			controller.abort(new ForeignAnswerError('the answer belongs to no request'));
			return;
		}

		const load = this.parts.protocol.readLoad(this.headers);
		if (load) {
			this.parts.listener.onLoad(load);
		}
	}

	// An answer is held until it is whole, or too large for that: one that breaks off can be replaced.
	onResponseData(controller: Dispatcher.DispatchController, chunk: Uint8Array): void {
		if (!this.stream) {
			this.chunks.push(chunk);
			this.heldBytes += chunk.length;
			if (this.heldBytes <= maxInlineBodyBytes) {
				return;
			}

			this.startStream(controller);
			return;
		}

		if (!this.stream.write(chunk)) {
			controller.pause();
		}
	}

	onResponseEnd(controller: Dispatcher.DispatchController): void {
		if (this.parts.resets.isResetting) {
			this.onResponseError(controller, new ResetAnswerError('the connection was reset'));
			return;
		}

		this.trailers.push(...toHeaderList(controller.rawTrailers));
		this.end({isFailure: this.status >= serverErrorStatus, isBroken: false});
		if (this.stream) {
			this.stream.end();
		} else {
			this.parts.resolve(this.wholeAnswer());
		}
	}

	onResponseError(_controller: Dispatcher.DispatchController | undefined, err: Error): void {
		if (!this.isWritten) {
			const reason = this.gateReason ?? RefusalReason.BackendUnreachable;
			this.end({isFailure: this.gateReason === undefined, isBroken: false});
			this.parts.resolve(createRefused(reason));
			return;
		}

		const isAborted = err instanceof AbortedError;
		const isForeign = err instanceof ForeignAnswerError;
		this.end({isFailure: !isAborted, isBroken: !isAborted && !isForeign});
		this.stream?.destroy(err);
		this.parts.resolve(
			createUnknown(isAborted ? RefusalReason.Canceled : RefusalReason.BackendLost),
		);
	}

	/** Tells the backend server that nobody waits for the answer. */
	cancel(): void {
		this.isCanceled = true;
		this.controller?.abort(new AbortedError('canceled'));
	}

	private startStream(controller: Dispatcher.DispatchController): void {
		const stream = new PassThrough({highWaterMark: maxInlineBodyBytes});
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
		for (const chunk of this.chunks.splice(0)) {
			if (!stream.write(chunk)) {
				controller.pause();
			}
		}

		this.parts.resolve({
			end: AttemptEnd.Answered,
			status: this.status,
			headers: stripHeaders(this.headers),
			body: createStreamBody(stream, this.trailers, isDelimited(this.headers)),
			load: undefined,
		});
	}

	private wholeAnswer(): AttemptResult {
		const notRun = notRunReasons[this.verdict];
		if (notRun !== undefined) {
			return createRefused(notRun);
		}

		const bytes = concatBytes(this.chunks);
		return {
			end: AttemptEnd.Answered,
			status: this.status,
			headers: stripHeaders(this.headers),
			body: createBufferedBody(bytes, this.trailers, isDelimited(this.headers)),
			load: undefined,
		};
	}

	private end(end: BackendCallEnd): void {
		if (!this.isEnded) {
			this.isEnded = true;
			this.parts.listener.onEnd(end);
		}
	}
}

// RFC 9112, section 6.3: an answer with neither of these ends with its connection.
function isDelimited(headers: HeaderList): boolean {
	return hasHeader(headers, 'content-length') || hasHeader(headers, 'transfer-encoding');
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
