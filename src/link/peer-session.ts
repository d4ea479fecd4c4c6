import {type AttemptState, type LoadReport, RefusalReason} from '../call/index.js';
import type {Millis, Undo} from '../clock/index.js';
import {
	createRefused,
	createUnknown,
	type Attempt,
	type AttemptResult,
	type AttemptRunner,
} from '../exchange/index.js';
import {withResolvers} from '../util/index.js';
import {
	FrameType,
	OpenTarget,
	type FetchFrame,
	type FetchResultFrame,
	type Frame,
	type OpenFrame,
} from './frame.js';
import {IncomingAttempt} from './incoming-attempt.js';
import type {Link} from './link.js';
import {heartbeatPeriod, maxStreams, requestTimeout, silenceTimeout} from './link-limits.js';
import {inflateText} from './text-compression.js';
import {LossKind, OutgoingAttempt, type OutgoingAttemptDelegate} from './outgoing-attempt.js';

/** Content of a configuration revision, in full or as a serialized delta from a content that the receiver holds. */
export interface ContentReply {
	readonly content: string | undefined;
	readonly delta: string | undefined;
}

const noContent: ContentReply = {content: undefined, delta: undefined};

/** Callbacks of a session into its node. */
export interface PeerSessionDelegate extends Omit<OutgoingAttemptDelegate, 'streamEnded'> {
	/** @returns monotonic time in ms. */
	now(): Millis;
	/**
	 * Sets a timer.
	 * @param delay - in ms.
	 * @param run - called when the delay has passed.
	 * @returns a function that cancels the timer.
	 */
	after(delay: Millis, run: () => void): Undo;
	/** @returns upper bound of the time that received frames waited unread in this process, in ms. */
	staleness(): Millis;
	/**
	 * @param target - component that an attempt is addressed to.
	 * @returns the runner for attempts of peers.
	 */
	runnerFor(target: OpenTarget): AttemptRunner;
	/**
	 * @param instance - instance of the querying peer.
	 * @param sequence - number of the attempt.
	 * @returns the state of the attempt, which is fenced if it has not run.
	 */
	queryAndFence(instance: string, sequence: number): AttemptState;
	/**
	 * @param hash - hash of a configuration's content.
	 * @param base - hash of a content that the peer holds.
	 * @returns the content or a delta from the base, if this node has it.
	 */
	getContent(hash: string, base: string | undefined): ContentReply;
	/**
	 * @param text - a text for a peer.
	 * @returns the compressed text; undefined when compression is not worth it.
	 */
	deflate(text: string): Uint8Array | undefined;
	/**
	 * Takes over the key records of a leaving peer.
	 * @param from - id of the peer.
	 * @param records - encoded idempotency key records.
	 */
	acceptHandover(from: string, records: Uint8Array): void;
	/** A peer announced that it takes no new calls. */
	peerLeaving(id: string): void;
	/** A peer sent a load report of its backend server. */
	peerLoadReported(id: string, load: LoadReport): void;
	/** A frame arrived for a stream or request that has ended. */
	lateFrame(): void;
	/** A call has started on the link, in either direction. */
	callStarted(): void;
}

type PendingRequest = {kind: FrameType; resolve: (frame: Frame | undefined) => void};

/** Attempts and requests on one open link, in both directions. */
export class PeerSession {
	private readonly outgoing = new Map<number, OutgoingAttempt>();
	private readonly incoming = new Map<number, IncomingAttempt>();
	private readonly pendingRequests = new Map<number, PendingRequest>();
	private lastCorrelationId = 0;
	private isPeerLeaving = false;
	/** Time since which calls wait for the peer without a gap. */
	private waitingSince: Millis = 0;

	constructor(
		readonly link: Link,
		private readonly instance: string,
		private readonly peerId: string,
		private readonly delegate: PeerSessionDelegate,
	) {}

	/** Calls in flight on the link, in both directions. */
	get callsInFlight(): number {
		return this.outgoing.size + this.incoming.size;
	}

	/** Whether the peer has announced that it takes no new calls. */
	get isLeaving(): boolean {
		return this.isPeerLeaving;
	}

	/** Whether this node handles calls of the peer. */
	get hasIncoming(): boolean {
		return this.incoming.size > 0;
	}

	/** Whether calls wait for the peer and nothing was received from it within the silence timeout. */
	get isSilent(): boolean {
		// A peer sends nothing on a link without calls.
		const silence = this.delegate.now() - Math.max(this.link.lastReceived, this.waitingSince);
		return this.outgoing.size > 0 && silence > silenceTimeout;
	}

	/**
	 * Checks that the peer can still be reached. An idle link is not watched, so it may have gone silent unnoticed.
	 * @param maxQuiet - time in ms since the last frame from the peer up to which the link counts as working.
	 * @param patience - longest wait for a reply of the peer, in ms.
	 * @returns whether something was received from the peer a short time ago or is received now.
	 */
	async isAlive(maxQuiet: Millis, patience: Millis): Promise<boolean> {
		const quiet = this.delegate.now() - this.link.lastReceived;
		return quiet < maxQuiet || this.link.ping(patience);
	}

	/**
	 * Sends an attempt to the peer.
	 * @param attempt - the attempt.
	 * @param target - component of the peer that handles it.
	 * @returns the result.
	 */
	async run(attempt: Attempt, target: OpenTarget): Promise<AttemptResult> {
		const timeLeft = attempt.deadline.timeLeft(this.delegate.now());
		if (this.outgoing.size >= maxStreams) {
			return createRefused(RefusalReason.TooManyCalls);
		}

		if (this.outgoing.size === 0) {
			this.waitingSince = this.delegate.now();
		}

		const stream = this.link.openStream();
		const outgoing = new OutgoingAttempt(this.link, stream, attempt, {
			streamEnded: (ended) => {
				this.outgoing.delete(ended);
			},
			resolveLostAttempt: async (lost, link) =>
				target === OpenTarget.Executor
					? this.delegate.resolveLostAttempt(lost, link)
					: createUnknown(RefusalReason.ExecutorLost),
			fenceSilentAttempt: async (silent, link) =>
				target === OpenTarget.Executor && this.delegate.fenceSilentAttempt(silent, link),
		});
		this.outgoing.set(stream, outgoing);
		this.delegate.callStarted();
		const cancelTimer = this.delegate.after(timeLeft, () => {
			outgoing.expire();
		});
		outgoing.open(target, timeLeft, attempt.objective.timeLeft(this.delegate.now()));
		const result = await outgoing.result;
		cancelTimer();
		return result;
	}

	/**
	 * Queries the state of an attempt, and fences the attempt if it has not run.
	 * @param sequence - number of the attempt.
	 * @returns its state; undefined when the link was lost or the request timed out.
	 */
	async queryAndFence(sequence: number): Promise<AttemptState | undefined> {
		const frame = await this.request(FrameType.AttemptStatus, (correlationId) => ({
			type: FrameType.AttemptQuery,
			correlationId,
			sequence,
		}));
		return frame?.type === FrameType.AttemptStatus ? frame.state : undefined;
	}

	/**
	 * @param hash - hash of a configuration's content.
	 * @param base - hash of a content that this node holds; undefined to get the content in full.
	 * @returns the content, or a delta from the base; neither when the peer does not have it or did not reply.
	 */
	async fetchContent(hash: string, base: string | undefined): Promise<ContentReply> {
		const frame = await this.request(FrameType.FetchResult, (correlationId) => ({
			type: FrameType.Fetch,
			correlationId,
			hash,
			base: base ?? '',
		}));
		return frame?.type === FrameType.FetchResult ? readContent(frame) : noContent;
	}

	/**
	 * Hands idempotency key records over to the peer.
	 * @param records - the encoded records.
	 * @returns whether the peer has acknowledged them.
	 */
	async handOver(records: Uint8Array): Promise<boolean> {
		const frame = await this.request(FrameType.HandoverAck, (correlationId) => ({
			type: FrameType.Handover,
			correlationId,
			records,
		}));
		return frame !== undefined;
	}

	/** Sends a heartbeat if the peer waits for calls and nothing was sent within the heartbeat period. */
	sendHeartbeat(): void {
		const quiet = this.delegate.now() - this.link.lastSent;
		if (this.incoming.size > 0 && quiet >= heartbeatPeriod) {
			this.link.send({type: FrameType.Heartbeat});
		}
	}

	/** Ends the outgoing attempts that are idempotent or have not arrived, as the peer is silent. */
	handleSilence(): void {
		for (const outgoing of this.outgoing.values()) {
			outgoing.handlePeerLost(LossKind.Silent);
		}
	}

	/** Ends all attempts and requests after the link has closed. */
	close(): void {
		for (const outgoing of this.outgoing.values()) {
			outgoing.handlePeerLost(LossKind.Closed);
		}

		for (const incoming of this.incoming.values()) {
			incoming.handlePeerLost();
		}

		for (const pending of this.pendingRequests.values()) {
			pending.resolve(undefined);
		}

		this.outgoing.clear();
		this.incoming.clear();
		this.pendingRequests.clear();
	}

	/**
	 * @param frame - the received frame.
	 * @returns false when the frame breaks the protocol.
	 */
	receive(frame: Frame): boolean {
		switch (frame.type) {
			case FrameType.Open: {
				return this.receiveOpen(frame);
			}

			case FrameType.Answer:
			case FrameType.Refused:
			case FrameType.Failed:
			case FrameType.Data:
			case FrameType.End:
			case FrameType.Credit:
			case FrameType.Cancel: {
				return this.receiveOnStream(frame.stream, frame);
			}

			case FrameType.AttemptStatus:
			case FrameType.FetchResult:
			case FrameType.HandoverAck: {
				return this.receiveReply(frame.correlationId, frame);
			}

			case FrameType.AttemptQuery: {
				const state = this.delegate.queryAndFence(this.instance, frame.sequence);
				this.link.send({type: FrameType.AttemptStatus, correlationId: frame.correlationId, state});
				return true;
			}

			case FrameType.Fetch: {
				this.sendContent(frame);
				return true;
			}

			case FrameType.Handover: {
				this.delegate.acceptHandover(this.peerId, frame.records);
				this.link.send({type: FrameType.HandoverAck, correlationId: frame.correlationId});
				return true;
			}

			case FrameType.Leaving: {
				this.isPeerLeaving = true;
				this.delegate.peerLeaving(this.peerId);
				return true;
			}

			case FrameType.Load: {
				this.delegate.peerLoadReported(this.peerId, frame.load);
				return true;
			}

			case FrameType.Heartbeat: {
				return true;
			}

			default: {
				return false;
			}
		}
	}

	private sendContent({correlationId, hash, base}: FetchFrame): void {
		const {content, delta} = this.delegate.getContent(hash, base);
		const text = delta ?? content;
		const isCompressing = base !== undefined && text !== undefined;
		const deflated = isCompressing ? this.delegate.deflate(text) : undefined;
		this.link.send({
			type: FrameType.FetchResult,
			correlationId,
			content: deflated ? undefined : content,
			delta: deflated ? undefined : delta,
			deflated,
			isDelta: delta !== undefined,
		});
	}

	private receiveOpen(frame: OpenFrame): boolean {
		const {stream} = frame;
		if (this.link.isOwnStream(stream) || this.incoming.has(stream)) {
			return false;
		}

		if (this.incoming.size >= maxStreams) {
			const reason = RefusalReason.TooManyCalls;
			this.link.send({type: FrameType.Refused, stream, reason, load: undefined});
			return true;
		}

		const incoming = new IncomingAttempt(this.link, frame, () => {
			this.incoming.delete(stream);
		});
		this.incoming.set(stream, incoming);
		this.delegate.callStarted();
		const attempt = incoming.toAttempt(
			this.instance,
			this.delegate.now(),
			this.delegate.staleness(),
		);
		void incoming.run(this.delegate.runnerFor(frame.target), attempt);
		return true;
	}

	private receiveOnStream(stream: number, frame: Frame): boolean {
		const attempt = this.link.isOwnStream(stream)
			? this.outgoing.get(stream)
			: this.incoming.get(stream);
		if (!attempt) {
			this.delegate.lateFrame();
			return true;
		}

		return attempt.receive(frame);
	}

	private receiveReply(correlationId: number, frame: Frame): boolean {
		const pending = this.pendingRequests.get(correlationId);
		if (!pending) {
			this.delegate.lateFrame();
			return true;
		}

		if (pending.kind !== frame.type) {
			return false;
		}

		this.pendingRequests.delete(correlationId);
		pending.resolve(frame);
		return true;
	}

	private async request(
		kind: FrameType,
		build: (correlationId: number) => Frame,
	): Promise<Frame | undefined> {
		this.lastCorrelationId += 1;
		const correlationId = this.lastCorrelationId;
		const {promise, resolve} = withResolvers<Frame | undefined>();
		this.pendingRequests.set(correlationId, {kind, resolve});
		this.delegate.after(requestTimeout, () => {
			this.pendingRequests.delete(correlationId);
			resolve(undefined);
		});
		this.link.send(build(correlationId));
		return promise;
	}
}

function readContent({content, delta, deflated, isDelta}: FetchResultFrame): ContentReply {
	if (!deflated) {
		return {content, delta};
	}

	const text = inflateText(deflated);
	return isDelta ? {content: undefined, delta: text} : {content: text, delta: undefined};
}
