import {RefusalReason} from '../call/index.js';
import type {Undo} from '../clock/index.js';
import {
	AttemptEnd,
	createRefused,
	createStreamBody,
	createUnknown,
	createBufferedBody,
	type Attempt,
	type AttemptResult,
} from '../exchange/index.js';
import {withResolvers} from '../util/index.js';
import {BodyReceiver} from './body-receiver.js';
import {BodySender} from './body-sender.js';
import {FrameType, type AnswerFrame, type Frame, type OpenTarget} from './frame.js';
import type {Link} from './link.js';
import {windowBytes} from './link-limits.js';

/** Reason why the peer of an attempt counts as lost. */
export enum LossKind {
	/** The link closed. */
	Closed = 'closed',
	/** Nothing was received from the peer within the silence timeout. */
	Silent = 'silent',
}

/** Callbacks of an outgoing attempt into its session. */
export interface OutgoingAttemptDelegate {
	/** The stream has ended; no further frames are sent or expected on it. */
	streamEnded(stream: number): void;
	/**
	 * Determines the result of an attempt whose link was lost before an answer came.
	 * @param attempt - the attempt.
	 * @param link - the link on which it was sent.
	 * @returns the result; unknown when the executor could not be queried.
	 */
	resolveLostAttempt(attempt: Attempt, link: Link): Promise<AttemptResult>;
	/**
	 * Asks the peer on another link for an attempt on a silent one, so that the attempt never runs if it has not yet.
	 * @param attempt - the attempt.
	 * @param link - the silent link on which it was sent.
	 * @returns whether the peer has confirmed that it never runs.
	 */
	fenceSilentAttempt(attempt: Attempt, link: Link): Promise<boolean>;
}

/** An attempt that this node sends to a peer. */
export class OutgoingAttempt {
	/** Resolves with the result of the attempt. */
	readonly result: Promise<AttemptResult>;
	private sender: BodySender | undefined;
	private receiver: BodyReceiver | undefined;
	private isSettled = false;
	private isFencing = false;
	private readonly resolve: (result: AttemptResult) => void;
	private readonly cleanups: Undo[] = [];

	constructor(
		private readonly link: Link,
		private readonly stream: number,
		readonly attempt: Attempt,
		private readonly delegate: OutgoingAttemptDelegate,
	) {
		const {promise, resolve} = withResolvers<AttemptResult>();
		this.result = promise;
		this.resolve = resolve;
	}

	/** Whether the attempt has no result yet. */
	get isWaiting(): boolean {
		return !this.isSettled;
	}

	/**
	 * Sends the attempt.
	 * @param target - component of the peer that handles the attempt.
	 * @param timeLeft - time until the caller's deadline, in ms.
	 * @param objectiveLeft - time until the latency objective is missed, in ms.
	 */
	open(target: OpenTarget, timeLeft: number, objectiveLeft: number): void {
		const {head, id, share, canRetryElsewhere, body, transferTime} = this.attempt;
		this.link.send({
			type: FrameType.Open,
			stream: this.stream,
			target,
			sequence: id.sequence,
			service: head.service,
			customer: head.customer,
			method: head.method,
			path: head.path,
			headers: head.headers,
			isIdempotent: head.isIdempotent,
			key: head.key,
			origin: head.origin,
			fingerprint: head.fingerprint,
			share,
			canRetryElsewhere,
			timeLeft,
			objectiveLeft,
			body: body.bytes,
			allowedRegions: head.allowedRegions,
			transferTime,
		});
		this.cleanups.push(
			this.attempt.cancellation.registerListener(() => {
				this.abandon(RefusalReason.Canceled);
			}),
		);
	}

	/** Ends the attempt as timed out if it has no result yet. */
	expire(): void {
		if (!this.isSettled) {
			this.abandon(RefusalReason.AnswerTimeout);
		}
	}

	/**
	 * @param frame - a frame of this attempt's stream.
	 * @returns false when the frame breaks the protocol.
	 */
	receive(frame: Frame): boolean {
		switch (frame.type) {
			case FrameType.Answer: {
				return this.handleAnswer(frame);
			}

			case FrameType.Refused: {
				this.settle(createRefused(frame.reason, frame.load));
				this.end();
				return true;
			}

			case FrameType.Failed: {
				this.handleFailure(frame.reason);
				return true;
			}

			case FrameType.Data: {
				return this.receiver?.accept(frame.bytes) ?? false;
			}

			case FrameType.End: {
				this.receiver?.finish(frame.trailers);
				this.end();
				return true;
			}

			case FrameType.Credit: {
				this.addCredit(frame.bytes);
				return true;
			}

			default: {
				return false;
			}
		}
	}

	/**
	 * Handles the loss of the peer. An idempotent attempt ends at once as unknown. Another one is resolved by
	 * querying the executor when the link has closed. When the peer is only silent, it ends as not run if it has not
	 * run, and otherwise goes on waiting.
	 * @param kind - reason why the peer counts as lost.
	 */
	handlePeerLost(kind: LossKind): void {
		this.receiver?.fail(RefusalReason.ExecutorLost);
		if (this.isSettled) {
			this.end();
			return;
		}

		if (this.attempt.head.isIdempotent) {
			this.settle(createUnknown(RefusalReason.ExecutorLost));
			this.end();
		} else if (kind === LossKind.Closed) {
			this.end();
			void this.resolveLater();
		} else if (!this.isFencing) {
			this.isFencing = true;
			void this.fence();
		}
	}

	private async fence(): Promise<void> {
		const isFenced = await this.delegate.fenceSilentAttempt(this.attempt, this.link);
		this.isFencing = false;
		if (isFenced && !this.isSettled) {
			this.settle(createRefused(RefusalReason.LinkSilent));
			this.end();
		}
	}

	private async resolveLater(): Promise<void> {
		this.settle(await this.delegate.resolveLostAttempt(this.attempt, this.link));
	}

	private handleAnswer(frame: AnswerFrame): boolean {
		if (this.isSettled) {
			return false;
		}

		const {status, headers, load, body, trailers} = frame;
		if (body) {
			const whole = createBufferedBody(body, trailers);
			this.settle({end: AttemptEnd.Answered, status, headers, load, body: whole});
			this.end();
			return true;
		}

		const receiver = new BodyReceiver(this.link, this.stream, windowBytes);
		this.receiver = receiver;
		receiver.once('close', () => {
			this.abandonBody(receiver);
		});
		const streamed = createStreamBody(receiver, receiver.trailers);
		this.settle({end: AttemptEnd.Answered, status, headers, load, body: streamed});
		return true;
	}

	private handleFailure(reason: RefusalReason): void {
		if (this.isSettled) {
			this.receiver?.fail(reason);
		} else {
			this.settle(createUnknown(reason));
		}

		this.end();
	}

	private addCredit(bytes: number): void {
		const {stream: source, trailers} = this.attempt.body;
		if (this.sender) {
			this.sender.addCredit(bytes);
		} else if (source) {
			this.sender = new BodySender({
				link: this.link,
				stream: this.stream,
				source,
				trailers,
				initialCredit: bytes,
				finished: () => undefined,
			});
			this.sender.addCredit(0);
		}
	}

	private abandon(reason: RefusalReason): void {
		this.link.send({type: FrameType.Cancel, stream: this.stream});
		this.receiver?.fail(reason);
		this.settle(createUnknown(reason));
		this.end();
	}

	private abandonBody(receiver: BodyReceiver): void {
		if (!receiver.readableEnded) {
			this.link.send({type: FrameType.Cancel, stream: this.stream});
			this.end();
		}
	}

	private settle(result: AttemptResult): void {
		if (!this.isSettled) {
			this.isSettled = true;
			this.resolve(result);
		}
	}

	private end(): void {
		for (const undo of this.cleanups.splice(0)) {
			undo();
		}

		this.delegate.streamEnded(this.stream);
	}
}
