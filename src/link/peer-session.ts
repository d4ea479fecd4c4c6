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
import {FrameType, OpenTarget, type Frame, type OpenFrame} from './frame.js';
import {IncomingAttempt} from './incoming-attempt.js';
import type {Link} from './link.js';
import {beatPeriod, maxStreams, questionTimeout, silenceLimit} from './link-limits.js';
import {LossKind, OutgoingAttempt, type OutgoingHost} from './outgoing-attempt.js';

/** What a session needs from its node. */
export interface PeerSessionDelegate extends Omit<OutgoingHost, 'streamEnded'> {
	/** @returns monotonic time in ms. */
	now(): Millis;
	/**
	 * Sets a timer.
	 * @param delay - in ms.
	 * @param run - what to run.
	 */
	after(delay: Millis, run: () => void): Undo;
	/** @returns how long this process may have left frames unread, in ms. */
	staleness(): Millis;
	/**
	 * @param target - who is meant.
	 * @returns who runs attempts that come from peers.
	 */
	runnerFor(target: OpenTarget): AttemptRunner;
	/**
	 * @param instance - incarnation of the peer that asks.
	 * @param sequence - number of the attempt.
	 * @returns what became of the attempt; it is fenced if it has not run.
	 */
	queryAndFence(instance: string, sequence: number): AttemptState;
	/**
	 * @param hash - hash of a configuration's content.
	 * @returns the content, if this node holds it.
	 */
	getContent(hash: string): string | undefined;
	/**
	 * Takes over what a leaving peer remembers.
	 * @param from - id of the peer.
	 * @param records - its remembered keys.
	 */
	acceptHandover(from: string, records: Uint8Array): void;
	/** A peer takes no new work. */
	peerLeaving(id: string): void;
	/** A peer tells the load of its backend server. */
	peerLoadReported(id: string, load: LoadReport): void;
	/** An answer came for an attempt that has ended. */
	lateFrame(): void;
	/** A call travels on the link from now on. */
	callStarted(): void;
}

type Answerable = {kind: FrameType; resolve: (frame: Frame | undefined) => void};

/** Everything that travels over one open link. */
export class PeerSession {
	private readonly outgoing = new Map<number, OutgoingAttempt>();
	private readonly incoming = new Map<number, IncomingAttempt>();
	private readonly questions = new Map<number, Answerable>();
	private nextQuestion = 0;
	private isPeerLeaving = false;

	constructor(
		readonly link: Link,
		private readonly instance: string,
		private readonly peerId: string,
		private readonly host: PeerSessionDelegate,
	) {}

	/** Calls that travel on the link now, both ways. */
	get callsInFlight(): number {
		return this.outgoing.size + this.incoming.size;
	}

	/** Whether the peer has said that it takes no new work. */
	get isLeaving(): boolean {
		return this.isPeerLeaving;
	}

	/** Whether calls of the peer are here. */
	get hasIncoming(): boolean {
		return this.incoming.size > 0;
	}

	/** Whether the peer ought to have given a sign of life by now. */
	get isSilent(): boolean {
		const silence = this.host.now() - this.link.lastHeard;
		return this.outgoing.size > 0 && silence > silenceLimit;
	}

	/**
	 * Sends an attempt to the peer.
	 * @param attempt - what to run.
	 * @param target - who handles it there.
	 * @returns how it ended.
	 */
	async run(attempt: Attempt, target: OpenTarget): Promise<AttemptResult> {
		const timeLeft = attempt.deadline.timeLeft(this.host.now());
		if (this.outgoing.size >= maxStreams) {
			return createRefused(RefusalReason.TooManyCalls);
		}

		const stream = this.link.openStream();
		const outgoing = new OutgoingAttempt(this.link, stream, attempt, {
			streamEnded: (ended) => {
				this.outgoing.delete(ended);
			},
			settleLost: async (lost, link) =>
				target === OpenTarget.Executor
					? this.host.settleLost(lost, link)
					: createUnknown(RefusalReason.ExecutorLost),
		});
		this.outgoing.set(stream, outgoing);
		this.host.callStarted();
		const cancelTimer = this.host.after(timeLeft, () => {
			outgoing.expire();
		});
		outgoing.open(target, timeLeft, attempt.objective.timeLeft(this.host.now()));
		const result = await outgoing.result;
		cancelTimer();
		return result;
	}

	/**
	 * Asks what became of an attempt, and keeps it from running if it has not run.
	 * @param sequence - number of the attempt.
	 * @returns its state; undefined when the link was lost.
	 */
	async queryAndFence(sequence: number): Promise<AttemptState | undefined> {
		const frame = await this.ask(FrameType.AttemptStatus, (question) => ({
			type: FrameType.AttemptQuery,
			correlationId: question,
			sequence,
		}));
		return frame?.type === FrameType.AttemptStatus ? frame.state : undefined;
	}

	/**
	 * @param hash - hash of a configuration's content.
	 * @returns the content, if the peer holds it.
	 */
	async fetchContent(hash: string): Promise<string | undefined> {
		const frame = await this.ask(FrameType.FetchResult, (question) => ({
			type: FrameType.Fetch,
			correlationId: question,
			hash,
		}));
		return frame?.type === FrameType.FetchResult ? frame.content : undefined;
	}

	/**
	 * Hands remembered keys to the peer.
	 * @param records - the keys.
	 * @returns whether the peer has taken them.
	 */
	async handOver(records: Uint8Array): Promise<boolean> {
		const frame = await this.ask(FrameType.HandoverAck, (question) => ({
			type: FrameType.Handover,
			correlationId: question,
			records,
		}));
		return frame !== undefined;
	}

	/** Gives a sign of life when calls wait and nothing else was sent of late. */
	beat(): void {
		const quiet = this.host.now() - this.link.lastSent;
		if (this.incoming.size > 0 && quiet >= beatPeriod) {
			this.link.send({type: FrameType.Heartbeat});
		}
	}

	/** Gives up what can be given up safely, as the peer is silent. */
	loseSilent(): void {
		for (const outgoing of this.outgoing.values()) {
			outgoing.lose(LossKind.Silent);
		}
	}

	/** The link has closed. */
	close(): void {
		for (const outgoing of this.outgoing.values()) {
			outgoing.lose(LossKind.Closed);
		}

		for (const incoming of this.incoming.values()) {
			incoming.lose();
		}

		for (const question of this.questions.values()) {
			question.resolve(undefined);
		}

		this.outgoing.clear();
		this.incoming.clear();
		this.questions.clear();
	}

	/**
	 * @param frame - what came.
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
				const state = this.host.queryAndFence(this.instance, frame.sequence);
				this.link.send({type: FrameType.AttemptStatus, correlationId: frame.correlationId, state});
				return true;
			}

			case FrameType.Fetch: {
				const content = this.host.getContent(frame.hash);
				this.link.send({type: FrameType.FetchResult, correlationId: frame.correlationId, content});
				return true;
			}

			case FrameType.Handover: {
				this.host.acceptHandover(this.peerId, frame.records);
				this.link.send({type: FrameType.HandoverAck, correlationId: frame.correlationId});
				return true;
			}

			case FrameType.Leaving: {
				this.isPeerLeaving = true;
				this.host.peerLeaving(this.peerId);
				return true;
			}

			case FrameType.Load: {
				this.host.peerLoadReported(this.peerId, frame.load);
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
		this.host.callStarted();
		const attempt = incoming.toAttempt(this.instance, this.host.now(), this.host.staleness());
		void incoming.run(this.host.runnerFor(frame.target), attempt);
		return true;
	}

	private receiveOnStream(stream: number, frame: Frame): boolean {
		const party = this.link.isOwnStream(stream)
			? this.outgoing.get(stream)
			: this.incoming.get(stream);
		if (!party) {
			this.host.lateFrame();
			return true;
		}

		return party.receive(frame);
	}

	private receiveReply(question: number, frame: Frame): boolean {
		const asked = this.questions.get(question);
		if (!asked) {
			this.host.lateFrame();
			return true;
		}

		if (asked.kind !== frame.type) {
			return false;
		}

		this.questions.delete(question);
		asked.resolve(frame);
		return true;
	}

	private async ask(
		kind: FrameType,
		build: (question: number) => Frame,
	): Promise<Frame | undefined> {
		this.nextQuestion += 1;
		const question = this.nextQuestion;
		const {promise, resolve} = withResolvers<Frame | undefined>();
		this.questions.set(question, {kind, resolve});
		this.host.after(questionTimeout, () => {
			this.questions.delete(question);
			resolve(undefined);
		});
		this.link.send(build(question));
		return promise;
	}
}
