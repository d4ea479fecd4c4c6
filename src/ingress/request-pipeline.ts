/** Where a request stands on its connection. */
enum Stage {
	/** Its head was read; whether it may run beside others is not known yet. */
	Received = 'received',
	/** It waits until it may be forwarded. */
	Waiting = 'waiting',
	/** It was passed on, so that it may run. */
	Forwarded = 'forwarded',
	/** It is answered without being passed on. */
	Refused = 'refused',
}

/** A request of a connection that has not been answered completely. */
export class PipelinedRequest {
	stage = Stage.Received;
	/** Whether it may run while requests ahead of it run: it is safe and has no body. */
	isConcurrent = false;
	/** Whether the connection has to close behind its answer. */
	closesConnection = false;
	/** Size of its answer while that waits for earlier answers, in bytes. */
	heldBytes = 0;

	get isWaiting(): boolean {
		return this.stage === Stage.Waiting;
	}

	get isForwarded(): boolean {
		return this.stage === Stage.Forwarded;
	}
}

/** Bounds of one connection. */
export interface PipelineLimits {
	/** Requests that run at the same time. */
	readonly maxForwarded: number;
	/** Unanswered requests from which no more bytes are read from the connection. */
	readonly maxUnanswered: number;
	/** Bytes of answers that wait for earlier ones, from which no further request is forwarded. */
	readonly maxHeldBytes: number;
}

/** What happens to the connection when the next answer is written. */
export interface AnswerStart {
	/** Whether the connection closes behind the answer. */
	readonly closes: boolean;
	/** Requests behind the answer that are not answered, in order; empty if the connection stays open. */
	readonly dropped: readonly PipelinedRequest[];
}

/**
 * Decides the order of the requests of one connection (RFC 9112, section 9.3.2). Answers are sent in the order of
 * the requests. Requests behind an answer that closes the connection count as not read, and callers send them again
 * whatever their kind. So a request that must not run twice is forwarded only once every earlier answer is complete,
 * and the connection is closed only behind the last forwarded request.
 */
export class RequestPipeline {
	private readonly queue: PipelinedRequest[] = [];
	private forwarded = 0;
	private heldBytes = 0;
	private isInputEnded = false;
	private isClosed = false;

	/**
	 * @param limits - bounds of the connection.
	 * @param isDraining - returns whether the connection is to close as soon as the forwarded requests are answered.
	 */
	constructor(
		private readonly limits: PipelineLimits,
		private readonly isDraining: () => boolean,
	) {}

	/** Number of requests that have not been answered completely. */
	get unanswered(): number {
		return this.queue.length;
	}

	/** Whether so many requests are unanswered that no more bytes are read. */
	get isFull(): boolean {
		return this.queue.length >= this.limits.maxUnanswered;
	}

	/** Whether no further request of the connection is forwarded or answered. */
	get isEnded(): boolean {
		return this.isClosed || this.isInputEnded;
	}

	/** Whether the input has ended and all requests are answered, but no answer has closed the connection. */
	get isExhausted(): boolean {
		return this.isInputEnded && !this.isClosed && this.queue.length === 0;
	}

	/** The request that is answered next; undefined if all are answered. */
	get first(): PipelinedRequest | undefined {
		return this.queue[0];
	}

	/** The request that arrived last, if it has not been answered. */
	get newest(): PipelinedRequest | undefined {
		return this.queue.at(-1);
	}

	/** @returns the request whose head was read now; undefined if it counts as not read. */
	receive(): PipelinedRequest | undefined {
		if (this.isEnded) {
			return undefined;
		}

		const request = new PipelinedRequest();
		this.queue.push(request);
		return request;
	}

	/**
	 * @param request - a request that is to be forwarded; also one whose route has changed before it was passed on.
	 * @param isConcurrent - whether it may run while requests ahead of it run.
	 */
	wait(request: PipelinedRequest, isConcurrent: boolean): void {
		this.forwarded -= request.isForwarded ? 1 : 0;
		request.stage = Stage.Waiting;
		request.isConcurrent = isConcurrent;
	}

	/** @returns the first waiting request, if it may be forwarded now; those behind it wait for it. */
	nextToForward(): PipelinedRequest | undefined {
		for (const request of this.queue) {
			if (request.isWaiting) {
				const isPermitted = request === this.queue[0] || this.mayForwardBeside(request);
				return isPermitted ? request : undefined;
			}

			if (!isPassable(request)) {
				return undefined;
			}
		}

		return undefined;
	}

	/**
	 * @param request - a waiting request that may be forwarded.
	 */
	forward(request: PipelinedRequest): void {
		request.stage = Stage.Forwarded;
		this.forwarded += 1;
	}

	/**
	 * @param request - a request that was not forwarded and is answered without running.
	 */
	refuse(request: PipelinedRequest): void {
		request.stage = Stage.Refused;
	}

	/**
	 * Records that the answer of a request is ready while earlier answers are not complete.
	 * @param request - the request.
	 * @param bytes - memory that the answer takes while it waits, in bytes.
	 */
	hold(request: PipelinedRequest, bytes: number): void {
		this.heldBytes += bytes - request.heldBytes;
		request.heldBytes = bytes;
	}

	/**
	 * @param request - a request.
	 * @returns whether all earlier answers are complete, so that its answer may be written.
	 */
	isNext(request: PipelinedRequest): boolean {
		return request === this.queue[0];
	}

	/**
	 * Decides whether the connection closes behind the answer that is written next.
	 * @param mustClose - whether it has to close, as the rest of the request is not read.
	 * @returns the decision.
	 */
	startAnswer(mustClose: boolean): AnswerStart {
		const [request] = this.queue;
		const isInputOver = this.isInputEnded && this.queue.length === 1;
		const isLast = this.forwarded === (request?.isForwarded ? 1 : 0);
		const isRequired = mustClose || (request?.closesConnection ?? false);
		const closes = isRequired || isInputOver || (this.isDraining() && isLast);
		if (!closes) {
			return {closes, dropped: []};
		}

		this.isClosed = true;
		return {closes, dropped: this.drop(this.queue.slice(1))};
	}

	/**
	 * @param request - the request whose answer has been written completely.
	 */
	complete(request: PipelinedRequest): void {
		if (request === this.queue[0]) {
			this.queue.shift();
			this.account(request);
		}
	}

	/**
	 * @param request - a request that was not forwarded and counts as not read.
	 */
	discard(request: PipelinedRequest): void {
		this.drop([request]);
	}

	/** Ends the input: what follows is not a request. The connection closes behind the last answer. */
	endInput(): void {
		this.isInputEnded = true;
	}

	/** @returns all unanswered requests, in order; none of them is answered, as the connection was lost. */
	abandon(): readonly PipelinedRequest[] {
		this.isClosed = true;
		return this.drop([...this.queue]);
	}

	private mayForwardBeside({isConcurrent}: PipelinedRequest): boolean {
		const {maxForwarded, maxHeldBytes} = this.limits;
		const hasRoom = this.forwarded < maxForwarded && this.heldBytes < maxHeldBytes;
		return isConcurrent && hasRoom && !this.isDraining();
	}

	private drop(requests: readonly PipelinedRequest[]): readonly PipelinedRequest[] {
		for (const request of requests) {
			const i = this.queue.indexOf(request);
			if (i !== -1) {
				this.queue.splice(i, 1);
				this.account(request);
			}
		}

		return requests;
	}

	private account(removed: PipelinedRequest): void {
		this.heldBytes -= removed.heldBytes;
		this.forwarded -= removed.isForwarded ? 1 : 0;
	}
}

/** Whether a later request may run before this one is answered. */
function isPassable({stage, isConcurrent, closesConnection}: PipelinedRequest): boolean {
	return (
		!closesConnection && (stage === Stage.Refused || (stage === Stage.Forwarded && isConcurrent))
	);
}
