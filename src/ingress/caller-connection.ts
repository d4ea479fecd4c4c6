import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {second, type Clock, type Millis} from '../clock/index.js';
import {withResolvers, type Deferred} from '../util/index.js';
import {canDiscardRest, discardRest} from './discard.js';
import {decideParseFailure, ParseFailureAction} from './parse-failure.js';
import {RequestPipeline, type PipelinedRequest, type PipelineLimits} from './request-pipeline.js';

/** The connection closed before the request could be forwarded; the request counts as not read. */
export class ConnectionClosedError extends Error {
	override name = 'ConnectionClosedError';
}

/** Number of requests on a connection when it closed before all of them were answered. */
export interface UnansweredRequests {
	/** Requests that were forwarded and whose answers could not be written. */
	readonly canceled: number;
	/** Requests that were not forwarded. */
	readonly notForwarded: number;
}

/** Collaborators of {@link CallerConnection}. */
export interface CallerConnectionDependencies {
	readonly clock: Clock;
	readonly limits: PipelineLimits;
	/** @returns whether connections close as soon as the forwarded requests are answered. */
	isDraining(): boolean;
	/** Called when the connection closes with unanswered requests on it. */
	handleUnanswered(counts: UnansweredRequests): void;
}

/** The place of one request among the requests of its connection. */
export class CallerTurn {
	private forwarding: Deferred<Error | undefined> | undefined;
	private answerTurn: Deferred<void> | undefined;
	private isLost = false;
	private isAnswerTaken = false;
	private readonly lossListeners: Array<() => void> = [];

	constructor(
		private readonly connection: CallerConnection,
		readonly request: PipelinedRequest,
		readonly req: IncomingMessage,
		readonly res: ServerResponse,
	) {
		const {socket} = req;
		// When a connection is destroyed, `finish` is emitted and `writableFinished` is set for what it has not sent as well.
		res.once('finish', () => {
			this.isAnswerTaken = !socket.destroyed;
		});
	}

	/** Whether the connection has taken the answer completely. */
	get isTaken(): boolean {
		return this.isAnswerTaken;
	}

	/** Whether all earlier answers are complete. */
	get isNext(): boolean {
		return this.connection.mayAnswer(this);
	}

	/** Number of unanswered requests on the connection, for the log. */
	get unanswered(): number {
		return this.connection.unanswered;
	}

	/**
	 * Asks for the permission to forward the request.
	 * @param isConcurrent - whether it may run while requests ahead of it run.
	 * @returns whether it is forwarded now; otherwise `permission` waits.
	 */
	tryForward(isConcurrent: boolean): boolean {
		return !this.isLost && this.connection.tryForward(this, isConcurrent);
	}

	/**
	 * Waits until the request may be forwarded.
	 * @throws {@link ConnectionClosedError} when the connection closes first, and the error of `refuseWaiting`.
	 */
	async permission(): Promise<void> {
		if (!this.isLost) {
			this.forwarding = withResolvers();
			const err = await this.forwarding.promise;
			if (err) {
				throw err;
			}
		}

		if (this.isLost) {
			throw new ConnectionClosedError('the connection closed before the request was forwarded');
		}
	}

	/**
	 * Ends the wait for the permission to forward the request; the request is refused instead.
	 * @param err - the reason, with which `permission` fails.
	 */
	refuseWaiting(err: Error): void {
		if (this.request.isWaiting) {
			this.connection.refuse(this);
			this.forwarding?.resolve(err);
		}
	}

	/** Makes the connection close behind the answer to this request. */
	closeBehind(): void {
		this.request.closesConnection = true;
	}

	/** Records that the request is answered without being forwarded. */
	refuse(): void {
		if (!this.isLost && !this.request.isForwarded) {
			this.connection.refuse(this);
		}
	}

	/**
	 * Decides whether the connection closes behind the answer, if all earlier answers are complete.
	 * @returns whether the answer may be written now; otherwise `waitToAnswer` waits.
	 */
	tryAnswer(): boolean {
		const isPermitted = !this.isLost && this.isNext;
		if (isPermitted) {
			this.connection.startAnswer(this);
		}

		return isPermitted;
	}

	/**
	 * Waits until the answer may be written, and decides whether the connection closes behind it.
	 * @param bytes - memory that the answer takes while it waits, in bytes.
	 * @returns false if the answer cannot be written, as the connection closes before it.
	 */
	async waitToAnswer(bytes: number): Promise<boolean> {
		if (!this.isLost && !this.isNext) {
			this.connection.hold(this, bytes);
			await this.whenNext();
		}

		return this.tryAnswer();
	}

	/** Waits until all earlier answers are complete, or the connection is lost. */
	async whenNext(): Promise<void> {
		if (!this.isLost && !this.isNext) {
			this.answerTurn ??= withResolvers();
			await this.answerTurn.promise;
		}
	}

	/**
	 * @param listener - called once if the connection closes before the answer was written.
	 */
	onLost(listener: () => void): void {
		if (this.isLost) {
			listener();
		} else {
			this.lossListeners.push(listener);
		}
	}

	/** Called by the connection when the request may be forwarded. */
	permitForwarding(): void {
		this.forwarding?.resolve(undefined);
	}

	/** Called by the connection when the answer may be written. */
	permitAnswer(): void {
		this.answerTurn?.resolve();
	}

	/** Called by the connection when the answer can no longer be written. */
	lose(): void {
		this.isLost = true;
		this.permitForwarding();
		this.permitAnswer();
		for (const listener of this.lossListeners.splice(0)) {
			listener();
		}
	}
}

/** How long a closed connection is read, so that the caller gets the last answer before it notices the close. */
const lingerTime: Millis = second;

/** Applies the rules of {@link RequestPipeline} to the connection of a caller. */
export class CallerConnection {
	private readonly pipeline: RequestPipeline;
	private readonly turns = new Map<PipelinedRequest, CallerTurn>();
	private requests = 0;
	private isReadPaused = false;
	/** Whether the listener that keeps the connection paused is registered. */
	private isPauseKept = false;
	private isClosing = false;
	/** Whether the connection closes behind an answer that its caller may not have received. */
	private hasLastAnswer = false;
	/** The request whose answer closes the connection. */
	private lastRequest: IncomingMessage | undefined;

	constructor(
		private readonly socket: Socket,
		private readonly deps: CallerConnectionDependencies,
	) {
		this.pipeline = new RequestPipeline(deps.limits, () => deps.isDraining());
		socket.once('close', () => {
			this.loseAll();
		});
		// The HTTP server calls this behind an answer that closes the connection.
		socket.destroySoon = () => {
			this.closeBehindAnswer();
		};
	}

	/**
	 * @param req - a request whose head was read.
	 * @param res - its response.
	 * @returns its turn; undefined if the request counts as not read, as the connection closes before it.
	 */
	receive(req: IncomingMessage, res: ServerResponse): CallerTurn | undefined {
		const request = this.pipeline.receive();
		if (!request) {
			return undefined;
		}

		this.requests += 1;
		const turn = new CallerTurn(this, request, req, res);
		this.turns.set(request, turn);
		res.once('close', () => {
			this.handleClosed(turn);
		});
		this.updateReading();
		return turn;
	}

	/** Whether all answers are written and what the caller still sends is dropped. */
	get isDroppingInput(): boolean {
		return this.isClosing;
	}

	/** Whether the connection closes behind an answer that its caller may not have received. */
	get isLingering(): boolean {
		return this.hasLastAnswer;
	}

	/** Closes the connection if it has had requests and all of them are answered. */
	closeIfUsed(): void {
		if (this.requests > 0) {
			this.closeIfIdle();
		}
	}

	/** Closes the connection once all its requests are answered; what the caller still sends is not read as requests. */
	closeBehindLast(): void {
		this.pipeline.endInput();
		this.closeIfIdle();
	}

	/** Number of requests that have not been answered completely. */
	get unanswered(): number {
		return this.pipeline.unanswered;
	}

	/**
	 * Handles a failure of the HTTP parser.
	 * @param code - code of the parser's error.
	 * @returns what was decided; only a refusal is left to the caller of this method.
	 */
	handleParseFailure(code: string | undefined): ParseFailureAction {
		const {pipeline, socket} = this;
		const {newest} = pipeline;
		const isNewestComplete = (newest && this.turns.get(newest))?.req.complete ?? true;
		const action = decideParseFailure({
			code,
			unanswered: this.unanswered,
			isNewestStreaming: !isNewestComplete && (newest?.isForwarded ?? false),
			requests: this.requests,
			hasBytes: socket.bytesRead > 0,
		});
		switch (action) {
			case ParseFailureAction.Destroy: {
				socket.destroy();
				break;
			}

			case ParseFailureAction.CloseSilently: {
				socket.end();
				break;
			}

			case ParseFailureAction.CloseBehindLast: {
				if (newest?.isWaiting && !isNewestComplete) {
					this.drop(newest);
				}

				pipeline.endInput();
				break;
			}

			case ParseFailureAction.Refuse: {
				break;
			}
		}

		return action;
	}

	/**
	 * @param turn - turn of a received request.
	 * @param isConcurrent - whether it may run while requests ahead of it run.
	 * @returns whether it is forwarded now; otherwise it waits.
	 */
	tryForward({request}: CallerTurn, isConcurrent: boolean): boolean {
		const {pipeline} = this;
		pipeline.wait(request, isConcurrent);
		const isPermitted = pipeline.nextToForward() === request;
		if (isPermitted) {
			pipeline.forward(request);
		}

		return isPermitted;
	}

	/**
	 * @param turn - turn of a request that is not forwarded.
	 */
	refuse({request}: CallerTurn): void {
		this.pipeline.refuse(request);
		this.update();
	}

	/**
	 * @param turn - a turn.
	 * @returns whether the answer may be written, as all earlier ones are complete.
	 */
	mayAnswer({request}: CallerTurn): boolean {
		return this.pipeline.isNext(request);
	}

	/**
	 * Records an answer that waits for earlier ones.
	 * @param turn - turn of its request.
	 * @param bytes - memory that it takes, in bytes.
	 */
	hold({request}: CallerTurn, bytes: number): void {
		this.pipeline.hold(request, bytes);
	}

	/**
	 * Decides whether the connection closes behind the answer that is written next. It does so if the request has not
	 * been read to its end, unless its rest is discarded: nobody may read the rest of a body of which a part was read,
	 * and then the next request on the connection would not be seen.
	 * @param turn - turn of its request.
	 */
	startAnswer({req, res}: CallerTurn): void {
		const isUnread = !req.complete && !canDiscardRest(req);
		const {closes, dropped} = this.pipeline.startAnswer(isUnread || !res.shouldKeepAlive);
		if (closes) {
			res.shouldKeepAlive = false;
			this.lastRequest = req;
			this.lose(dropped);
		} else {
			discardRest(req, this.deps.clock);
		}
	}

	// Closing a connection with unread bytes resets it, and the caller may lose the answer (RFC 9112, section 9.6).
	// So only the sending side is closed at first, and what the caller still sends is read and dropped.
	private closeGracefully(): void {
		const {socket, deps} = this;
		this.isReadPaused = false;
		this.isClosing = true;
		socket.end();
		this.lastRequest?.unpipe();
		this.lastRequest?.resume();
		socket.resume();
		const undo = deps.clock.after(lingerTime, () => {
			socket.destroy();
		});
		socket.once('close', undo);
	}

	private closeBehindAnswer(): void {
		this.hasLastAnswer = true;
		this.closeGracefully();
	}

	private closeIfIdle(): void {
		if (!this.isClosing && this.unanswered === 0) {
			this.pipeline.endInput();
			this.closeGracefully();
		}
	}

	private handleClosed({request, isTaken}: CallerTurn): void {
		if (!isTaken) {
			// The connection was lost; its own event ends all its requests.
			return;
		}

		this.turns.delete(request);
		this.pipeline.complete(request);
		if (this.pipeline.isExhausted) {
			this.closeBehindAnswer();
		}

		this.update();
	}

	private drop(request: PipelinedRequest): void {
		this.pipeline.discard(request);
		this.lose([request]);
	}

	private loseAll(): void {
		this.lose(this.pipeline.abandon());
	}

	private lose(requests: readonly PipelinedRequest[]): void {
		if (requests.length === 0) {
			return;
		}

		const canceled = requests.filter(({isForwarded}) => isForwarded).length;
		this.deps.handleUnanswered({canceled, notForwarded: requests.length - canceled});
		for (const request of requests) {
			const turn = this.turns.get(request);
			this.turns.delete(request);
			turn?.lose();
		}
	}

	private update(): void {
		const {pipeline} = this;
		for (let request = pipeline.nextToForward(); request; request = pipeline.nextToForward()) {
			pipeline.forward(request);
			this.turns.get(request)?.permitForwarding();
		}

		if (pipeline.first) {
			this.turns.get(pipeline.first)?.permitAnswer();
		}

		this.updateReading();
	}

	// The HTTP server resumes the connection whenever the body of a request is read.
	private keepPaused(): void {
		if (!this.isPauseKept) {
			this.isPauseKept = true;
			this.socket.on('resume', () => {
				if (this.isReadPaused) {
					this.socket.pause();
				}
			});
		}
	}

	// A connection with many unanswered requests is not read further, so that the requests of one caller take a
	// bounded amount of memory: those of one read beyond the limit.
	private updateReading(): void {
		const isFull = this.pipeline.isFull && !this.isClosing;
		if (isFull && !this.isReadPaused) {
			this.isReadPaused = true;
			this.keepPaused();
			this.socket.pause();
		} else if (!isFull && this.isReadPaused) {
			this.isReadPaused = false;
			this.socket.resume();
		}
	}
}
