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
import {ByteBlocks} from '../util/index.js';
import {AnswerCheck, AnswerDefect, reportMalformed, type AnswerReport} from './answer-check.js';
import {AnswerStream} from './answer-stream.js';
import {AnswerKind} from './answer-table.js';
import type {BackendLoad, BackendNotice, BackendProtocol, SentRequest} from './backend-protocol.js';
import {BodyFraming} from './body-framing.js';
import {ConnectionState, type ConnectionEnds} from './connection-ends.js';
import {stripHeaders} from './headers.js';
import {InterimAnswers} from './interim-answers.js';

/** Checks whether a request may still be sent, immediately before its first byte is written. */
export interface WriteGate {
	/** @returns why the request must not be written; undefined if it may be. */
	check(): RefusalReason | undefined;
}

/** How a call to the backend server ended. */
export interface BackendCallEnd {
	readonly isFailure: boolean;
	/** Whether the connection was lost before the answer was complete. */
	readonly isBroken: boolean;
	/** How the body of the answer ended; undefined if there was no answer to the request. */
	readonly answer?: AnswerReport | undefined;
}

/** Receives the events of a call to the backend server. */
export interface BackendCallListener {
	/** Called when an answer reports the load of the backend server. */
	onLoad(load: BackendLoad): void;
	/** Called with each answer, ahead of `onLoad`, unless another backend server sent it. */
	onNotice(notice: BackendNotice): void;
	/** Called once, when the answer is complete or can no longer be completed. */
	onEnd(end: BackendCallEnd): void;
}

const continueStatus = 100;
const serverErrorStatus = 500;
/** Defects of a backend server that is there and has answered. */
const servingDefects: ReadonlySet<AnswerDefect> = new Set([
	AnswerDefect.Unproven,
	AnswerDefect.Status,
]);

/** The request was aborted by this node. */
export class AbortedError extends Error {
	override name = 'AbortedError';
}

/** What the backend server sent is not the whole answer to the request, or not only that. */
class SpoiledAnswerError extends Error {
	override name = 'SpoiledAnswerError';

	constructor(readonly defect: AnswerDefect) {
		super(`answer spoiled: ${defect}`);
	}
}

const notRunReasons: Readonly<Partial<Record<AnswerKind, RefusalReason>>> = {
	[AnswerKind.NotRun]: RefusalReason.BackendRefused,
	[AnswerKind.OtherInstance]: RefusalReason.BackendReplaced,
};

export interface BackendCallDependencies {
	readonly sent: SentRequest;
	readonly method: string;
	readonly protocol: BackendProtocol;
	readonly gate: WriteGate;
	readonly listener: BackendCallListener;
	/** Receives the result of the call; the body may still be streaming. */
	resolve(result: AttemptResult): void;
}

/** One request to the backend server. */
export class BackendCall implements Dispatcher.DispatchHandler {
	private controller: Dispatcher.DispatchController | undefined;
	private connection: ConnectionEnds | undefined;
	private gateReason: RefusalReason | undefined;
	private isWritten = false;
	private isEnded = false;
	private isCanceled = false;
	private hasConnectionEnded = false;
	private status = 0;
	private readonly interim = new InterimAnswers();
	private answerKind = AnswerKind.Answer;
	private headers: HeaderList = [];
	private readonly trailers: HeaderList = [];
	private readonly blocks = new ByteBlocks();
	private stream: AnswerStream | undefined;
	/** Bytes of the body of a refusal. */
	private skippedBytes = 0;
	private check: AnswerCheck | undefined;

	constructor(private readonly deps: BackendCallDependencies) {}

	/**
	 * @param connection - connection that the request is about to be sent on.
	 */
	setConnection(connection: ConnectionEnds): void {
		this.connection = connection;
	}

	// The undici library calls this in the same event loop turn in which it writes the first byte.
	onRequestStart(controller: Dispatcher.DispatchController): void {
		this.controller = controller;
		this.gateReason = this.isCanceled ? RefusalReason.DeadlinePassed : this.deps.gate.check();
		if (this.gateReason === undefined) {
			this.isWritten = true;
			this.connection?.recordRequest(this.deps.sent.requestId, this.acceptContinue);
		} else {
			controller.abort(new AbortedError('request refused before its first byte was written'));
		}
	}

	onResponseStart(controller: Dispatcher.DispatchController, status: number): void {
		const headers = toHeaderList(controller.rawHeaders);
		const kind = this.classify(status, headers);
		if (kind === AnswerKind.Interim && this.interim.accept(headers)) {
			return;
		}

		this.status = status;
		this.headers = headers;
		this.answerKind = kind === AnswerKind.Interim ? AnswerKind.Invalid : kind;
		this.check = this.createCheck();
		const defect = this.headDefect();
		if (defect !== undefined) {
			controller.abort(new SpoiledAnswerError(defect));
			return;
		}

		if (this.answerKind !== AnswerKind.OtherInstance) {
			this.deps.listener.onNotice(this.deps.protocol.readNotice(this.headers));
		}

		const load = this.deps.protocol.readLoad(this.headers);
		if (load) {
			this.deps.listener.onLoad(load);
		}

		// At once, as the request may go elsewhere. A refusal that is cut or goes on without end is one as well.
		const notRun = notRunReasons[this.answerKind];
		if (notRun !== undefined) {
			this.deps.resolve(createRefused(notRun));
		}
	}

	// An answer is buffered until it is complete or exceeds the limit, since a truncated answer can be
	// replaced by another attempt only while none of it has been forwarded.
	onResponseData(controller: Dispatcher.DispatchController, chunk: Uint8Array): void {
		this.check?.add(chunk);
		if (this.answerKind !== AnswerKind.Answer) {
			this.skipRefusal(controller, chunk.length);
			return;
		}

		if (this.check?.hasSecondAnswer) {
			controller.abort(new SpoiledAnswerError(AnswerDefect.SecondAnswer));
			return;
		}

		if (!this.stream) {
			this.blocks.append(chunk);
			if (this.blocks.length <= maxInlineBodyBytes) {
				return;
			}

			this.startStream(controller);
			return;
		}

		this.write(this.stream, chunk, controller);
	}

	onResponseEnd(controller: Dispatcher.DispatchController): void {
		this.trailers.push(...toHeaderList(controller.rawTrailers));
		if (this.check?.mayContinue) {
			setImmediate(() => {
				this.completeUnlessContinued();
			});
		} else {
			this.complete(this.defect());
		}
	}

	onResponseError(_controller: Dispatcher.DispatchController | undefined, err: Error): void {
		if (!this.isWritten) {
			const reason = this.gateReason ?? RefusalReason.BackendUnreachable;
			this.end({isFailure: this.gateReason === undefined, isBroken: false});
			this.deps.resolve(createRefused(reason));
			return;
		}

		// The undici library fails an answer without content whose head names a length, as one to a conditional request may.
		const isOwn = err instanceof AbortedError || err instanceof SpoiledAnswerError;
		const isWhole =
			this.answerKind === AnswerKind.Answer && this.check?.framing === BodyFraming.None;
		if (isWhole && !isOwn) {
			this.complete(this.defect());
			return;
		}

		this.fail(err);
	}

	/** Aborts the request, as its answer is no longer needed. */
	cancel(): void {
		this.isCanceled = true;
		this.controller?.abort(new AbortedError('canceled'));
	}

	private readonly acceptContinue = (headers: HeaderList): boolean =>
		this.classify(continueStatus, headers) === AnswerKind.Interim && this.interim.accept(headers);

	private classify(status: number, headers: HeaderList): AnswerKind {
		return this.deps.protocol.classify({status, headers}, this.deps.sent);
	}

	private complete(defect: AnswerDefect | undefined): void {
		if (defect !== undefined) {
			this.fail(new SpoiledAnswerError(defect));
			return;
		}

		this.end({isFailure: this.status >= serverErrorStatus, isBroken: false});
		if (this.stream) {
			this.stream.complete();
		} else if (this.answerKind === AnswerKind.Answer) {
			this.deps.resolve(this.createResult());
		}
	}

	// What goes on behind the length of a body closes the connection.
	private completeUnlessContinued(): void {
		if (this.connectionState !== ConnectionState.Open) {
			this.check?.recordSecondAnswer();
		}

		this.complete(this.defect());
	}

	private startStream(controller: Dispatcher.DispatchController): void {
		const resume = () => {
			controller.resume();
		};

		// In a microtask, as undici can't resume one connection while it reads from another.
		const stream = new AnswerStream(() => {
			queueMicrotask(resume);
		});
		this.stream = stream;
		this.connection?.setAnswer(() => {
			this.hasConnectionEnded = true;
			resume();
		});
		stream.on('error', () => undefined);
		stream.once('close', () => {
			if (!stream.readableEnded) {
				this.cancel();
			}
		});
		for (const chunk of this.blocks.takeAll()) {
			this.write(stream, chunk, controller);
		}

		this.deps.resolve({
			end: AttemptEnd.Answered,
			status: this.status,
			headers: stripHeaders(this.headers),
			body: createStreamBody(stream, this.trailers, this.isDelimited),
			load: undefined,
		});
	}

	// A paused answer gets an empty chunk when it is resumed at the end of its connection.
	private write(
		stream: AnswerStream,
		chunk: Uint8Array,
		controller: Dispatcher.DispatchController,
	): void {
		if (!stream.write(chunk) && !this.hasConnectionEnded) {
			controller.pause();
		}
	}

	// Its head says all that matters of it.
	private skipRefusal(controller: Dispatcher.DispatchController, bytes: number): void {
		this.skippedBytes += bytes;
		if (this.skippedBytes > maxInlineBodyBytes) {
			controller.abort(new AbortedError('body of a refusal too long'));
		}
	}

	private createResult(): AttemptResult {
		const bytes = this.blocks.joinAll();
		return {
			end: AttemptEnd.Answered,
			status: this.status,
			headers: stripHeaders(this.headers),
			body: createBufferedBody(bytes, this.trailers, this.isDelimited),
			load: undefined,
		};
	}

	// Why what was received is no answer to the request, as far as its head tells.
	private headDefect(): AnswerDefect | undefined {
		switch (this.answerKind) {
			case AnswerKind.Foreign: {
				const {protocol, sent} = this.deps;
				const id = protocol.readRequestId(this.headers);
				this.check?.recordForeign(id === sent.requestId ? undefined : id);
				return AnswerDefect.Foreign;
			}

			case AnswerKind.Unproven: {
				this.check?.recordDefect(AnswerDefect.Unproven);
				return AnswerDefect.Unproven;
			}

			case AnswerKind.Invalid: {
				this.check?.recordDefect(AnswerDefect.Status);
				return AnswerDefect.Status;
			}

			default: {
				return undefined;
			}
		}
	}

	private fail(err: Error): void {
		const isAborted = err instanceof AbortedError;
		const defect = err instanceof SpoiledAnswerError ? err.defect : undefined;
		const isRejected = defect === undefined && this.connectionState === ConnectionState.Rejected;
		const isSpoiled = defect !== undefined && defect !== AnswerDefect.Cut;
		this.end({isFailure: !isAborted, isBroken: !isAborted && !isSpoiled && !isRejected});
		this.stream?.destroy(err);
		if (notRunReasons[this.answerKind] === undefined) {
			this.deps.resolve(createUnknown(failureReason(err, isRejected)));
		}
	}

	private defect(): AnswerDefect | undefined {
		return this.answerKind === AnswerKind.Answer
			? this.check?.defect(this.connectionState)
			: undefined;
	}

	private createCheck(): AnswerCheck {
		const {status, headers} = this;
		const {protocol, method} = this.deps;
		const carriedIds = this.connection?.carriedIds ?? new Set();
		return new AnswerCheck({status, headers}, {protocol, method, carriedIds});
	}

	private get isDelimited(): boolean {
		return this.check?.framing !== BodyFraming.Connection;
	}

	private get connectionState(): ConnectionState {
		return this.connection?.state ?? ConnectionState.Lost;
	}

	private report(): AnswerReport | undefined {
		const error = this.connection?.error;
		const isRejected = this.connectionState === ConnectionState.Rejected;
		const malformed = isRejected && this.isWritten ? reportMalformed(error) : undefined;
		return this.check?.report(this.connectionState, error) ?? malformed;
	}

	private end(end: BackendCallEnd): void {
		if (!this.isEnded) {
			this.isEnded = true;
			this.deps.listener.onEnd({...end, answer: this.report()});
		}
	}
}

function failureReason(err: Error, isRejected: boolean): RefusalReason {
	if (err instanceof AbortedError) {
		return RefusalReason.Canceled;
	}

	// The backend server is still there.
	const isServing = err instanceof SpoiledAnswerError && servingDefects.has(err.defect);
	return isServing || isRejected ? RefusalReason.BackendFailed : RefusalReason.BackendLost;
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
