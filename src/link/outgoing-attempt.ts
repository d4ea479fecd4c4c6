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

/** How the far side of an attempt was lost. */
export enum LossKind {
	/** The link closed. */
	Closed = 'closed',
	/** The peer sends no sign of life. */
	Silent = 'silent',
}

/** What an attempt needs from the link it travels on. */
export interface OutgoingHost {
	/** Nothing more travels on the stream. */
	streamEnded(stream: number): void;
	/**
	 * The attempt was sent, and its end is not known.
	 * @param attempt - the attempt.
	 * @param link - the link that it was sent on.
	 * @returns what could be found out.
	 */
	settleLost(attempt: Attempt, link: Link): Promise<AttemptResult>;
}

/** An attempt that was sent to a peer. */
export class OutgoingAttempt {
	/** Resolves with the end of the attempt. */
	readonly result: Promise<AttemptResult>;
	private sender: BodySender | undefined;
	private receiver: BodyReceiver | undefined;
	private isSettled = false;
	private readonly resolve: (result: AttemptResult) => void;
	private readonly undos: Undo[] = [];

	constructor(
		private readonly link: Link,
		private readonly stream: number,
		readonly attempt: Attempt,
		private readonly host: OutgoingHost,
	) {
		const {promise, resolve} = withResolvers<AttemptResult>();
		this.result = promise;
		this.resolve = resolve;
	}

	/** Whether no answer has come yet. */
	get isWaiting(): boolean {
		return !this.isSettled;
	}

	/**
	 * Sends the attempt.
	 * @param target - who handles it at the other side.
	 * @param timeLeft - how long the caller still waits, in ms.
	 * @param objectiveLeft - how long an answer is still in time, in ms.
	 */
	open(target: OpenTarget, timeLeft: number, objectiveLeft: number): void {
		const {head, id, share, canRetryElsewhere: isBounceable, body} = this.attempt;
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
			canRetryElsewhere: isBounceable,
			timeLeft,
			objectiveLeft,
			body: body.bytes,
		});
		this.undos.push(
			this.attempt.cancellation.registerListener(() => {
				this.abandon(RefusalReason.Canceled);
			}),
		);
	}

	/** The caller no longer waits for the answer. */
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
				return this.takeAnswer(frame);
			}

			case FrameType.Refused: {
				this.settle(createRefused(frame.reason, frame.load));
				this.end();
				return true;
			}

			case FrameType.Failed: {
				this.takeFailure(frame.reason);
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
				this.grant(frame.bytes);
				return true;
			}

			default: {
				return false;
			}
		}
	}

	/**
	 * The peer can no longer be heard.
	 * @param kind - how it was lost.
	 */
	lose(kind: LossKind): void {
		this.receiver?.fail();
		if (this.isSettled) {
			this.end();
			return;
		}

		if (this.attempt.head.isIdempotent) {
			this.settle(createUnknown(RefusalReason.ExecutorLost));
			this.end();
		} else if (kind === LossKind.Closed) {
			this.end();
			void this.settleLater();
		}
	}

	private async settleLater(): Promise<void> {
		this.settle(await this.host.settleLost(this.attempt, this.link));
	}

	private takeAnswer(frame: AnswerFrame): boolean {
		if (this.isSettled) {
			return false;
		}

		const {status, headers, load, body, trailers, isDelimited} = frame;
		if (body) {
			const whole = createBufferedBody(body, trailers, isDelimited);
			this.settle({end: AttemptEnd.Answered, status, headers, load, body: whole});
			this.end();
			return true;
		}

		const receiver = new BodyReceiver(this.link, this.stream, windowBytes);
		this.receiver = receiver;
		receiver.once('close', () => {
			this.abandonBody(receiver);
		});
		const streamed = createStreamBody(receiver, receiver.trailers, isDelimited);
		this.settle({end: AttemptEnd.Answered, status, headers, load, body: streamed});
		return true;
	}

	private takeFailure(reason: RefusalReason): void {
		if (this.isSettled) {
			this.receiver?.fail();
		} else {
			this.settle(createUnknown(reason));
		}

		this.end();
	}

	private grant(bytes: number): void {
		const {stream: source, trailers} = this.attempt.body;
		if (this.sender) {
			this.sender.grant(bytes);
		} else if (source) {
			this.sender = new BodySender({
				link: this.link,
				stream: this.stream,
				source,
				trailers,
				initialCredit: bytes,
				finished: () => undefined,
			});
			this.sender.grant(0);
		}
	}

	private abandon(reason: RefusalReason): void {
		this.link.send({type: FrameType.Cancel, stream: this.stream});
		this.receiver?.fail();
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
		for (const undo of this.undos.splice(0)) {
			undo();
		}

		this.host.streamEnded(this.stream);
	}
}
