import {Deadline, RefusalReason, type LoadReport} from '../call/index.js';
import type {Millis} from '../clock/index.js';
import {
	AttemptEnd,
	Cancellation,
	createStreamBody,
	createBufferedBody,
	type AnsweredAttempt,
	type Attempt,
	type AttemptResult,
	type AttemptRunner,
	type Body,
} from '../exchange/index.js';
import {BodyReceiver} from './body-receiver.js';
import {BodySender} from './body-sender.js';
import {FrameType, type Frame, type OpenFrame} from './frame.js';
import type {Link} from './link.js';
import {windowBytes} from './link-limits.js';

const emptyLoad: LoadReport = {
	inFlight: 0,
	queued: 0,
	slots: 0,
	serviceTime: 0,
	failureShare: 0,
	slowdown: 1,
};

/** An attempt that a peer sent to this node. */
export class IncomingAttempt {
	private readonly cancellation = new Cancellation();
	private readonly receiver: BodyReceiver | undefined;
	private sender: BodySender | undefined;
	/** Whether nobody waits for the answer any more. */
	private isAbandoned = false;

	constructor(
		private readonly link: Link,
		private readonly frame: OpenFrame,
		private readonly ended: () => void,
	) {
		if (!frame.body) {
			this.receiver = new BodyReceiver(link, frame.stream, 0);
		}
	}

	/**
	 * @param instance - the peer's instance.
	 * @param now - monotonic time in ms.
	 * @param staleness - upper bound of the time the frame waited unread, in ms; subtracted from its deadlines.
	 * @returns the attempt for the runner.
	 */
	toAttempt(instance: string, now: Millis, staleness: Millis): Attempt {
		const {sequence, share, canRetryElsewhere, timeLeft, objectiveLeft, transferTime} = this.frame;
		const {service, customer, method, path, headers, isIdempotent, key, fingerprint, origin} =
			this.frame;
		const {allowedRegions} = this.frame;
		const target = {service, customer, method, path, headers, allowedRegions};
		return {
			id: {instance, sequence},
			head: {...target, isIdempotent, key, origin, fingerprint},
			share,
			canRetryElsewhere,
			deadline: Deadline.in(now, timeLeft - staleness),
			objective: Deadline.in(now, objectiveLeft - staleness),
			body: this.body(),
			transferTime,
			cancellation: this.cancellation,
		};
	}

	/**
	 * Runs the attempt and sends its result to the peer.
	 * @param runner - runs the attempt.
	 * @param attempt - the attempt, as returned by {@link toAttempt}.
	 */
	async run(runner: AttemptRunner, attempt: Attempt): Promise<void> {
		const result = await runner.run(attempt);
		this.sendResult(result);
	}

	/**
	 * @param frame - a frame of this attempt's stream.
	 * @returns false when the frame breaks the protocol.
	 */
	receive(frame: Frame): boolean {
		switch (frame.type) {
			case FrameType.Data: {
				return this.receiver?.accept(frame.bytes) ?? false;
			}

			case FrameType.End: {
				this.receiver?.finish(frame.trailers);
				return true;
			}

			case FrameType.Failed: {
				this.receiver?.fail(frame.reason);
				return true;
			}

			case FrameType.Credit: {
				this.sender?.addCredit(frame.bytes);
				return true;
			}

			case FrameType.Cancel: {
				this.cancel();
				return true;
			}

			default: {
				return false;
			}
		}
	}

	/**
	 * Handles the loss of the link. Cancels the attempt only if it is idempotent: another one must not run
	 * twice, and it may have run already.
	 */
	handlePeerLost(): void {
		this.receiver?.fail(RefusalReason.ExecutorLost);
		this.abandonAnswer();
		if (this.frame.isIdempotent) {
			this.cancellation.cancel();
		}
	}

	private cancel(): void {
		this.abandonAnswer();
		this.cancellation.cancel();
	}

	private abandonAnswer(): void {
		this.isAbandoned = true;
		this.sender?.cancel();
	}

	private body(): Body {
		if (this.receiver) {
			return createStreamBody(this.receiver, this.receiver.trailers);
		}

		return createBufferedBody(this.frame.body ?? new Uint8Array());
	}

	private sendResult(result: AttemptResult): void {
		const {stream} = this.frame;
		switch (result.end) {
			case AttemptEnd.Answered: {
				this.sendAnswer(result);
				break;
			}

			case AttemptEnd.Refused: {
				const {reason, load} = result;
				this.link.send({type: FrameType.Refused, stream, reason, load});
				this.ended();
				break;
			}

			case AttemptEnd.Unknown: {
				this.link.send({type: FrameType.Failed, stream, reason: result.reason});
				this.ended();
				break;
			}
		}
	}

	private sendAnswer(result: AnsweredAttempt): void {
		const {status, headers, body} = result;
		const load = result.load ?? emptyLoad;
		const {stream} = this.frame;
		const {bytes, trailers, isDelimited} = body;
		if (this.isAbandoned) {
			// No credit would ever arrive for the body.
			body.stream?.destroy();
			this.ended();
			return;
		}

		this.link.send({
			type: FrameType.Answer,
			stream,
			status,
			headers,
			load,
			body: bytes,
			trailers,
			isDelimited,
		});
		if (body.stream) {
			this.sender = new BodySender({
				link: this.link,
				stream,
				source: body.stream,
				trailers,
				initialCredit: windowBytes,
				finished: this.ended,
			});
			this.sender.addCredit(0);
		} else {
			this.ended();
		}
	}
}
