import {WebSocket} from 'ws';
import {createActor} from 'xstate';
import type {Clock, Millis} from '../clock/index.js';
import {TrafficKind} from '../telemetry/index.js';
import {withResolvers} from '../util/index.js';
import {
	FrameType,
	protocolVersion,
	type Frame,
	type HelloFrame,
	type WelcomeFrame,
} from './frame.js';
import {decodeFrame, encodeFrame} from './frame-codec.js';
import {createNonce, createProof, isProofValid} from './handshake.js';
import {LinkEvent, linkMachine, LinkState} from './link-lifecycle.js';

/** Side of the connection. The values are part of the handshake proof. */
export enum LinkRole {
	Dialer = 'dialer',
	Acceptor = 'acceptor',
}

/** Reason why a link was closed. The values are part of the metrics. */
export enum LinkCloseReason {
	BadFrame = 'bad-frame',
	BadProof = 'bad-proof',
	BadVersion = 'bad-version',
	OutOfOrder = 'out-of-order',
	OpenTimeout = 'open-timeout',
	Silent = 'silent',
	Replaced = 'replaced',
	Stopping = 'stopping',
	PeerClosed = 'peer-closed',
}

/** Identity of a node as sent to its peers. */
export interface PeerIdentity {
	/** Address and link port. */
	readonly id: string;
	/** Unique per start of the process. */
	readonly instance: string;
	readonly region: string;
}

/** Identity and callbacks that a link gets from its owner. */
export interface LinkOwner {
	readonly identity: PeerIdentity;
	readonly secret: string;
	readonly clock: Clock;
	/** The handshake has completed. */
	linkOpened(link: Link): void;
	/** A frame arrived on an open link. */
	frameReceived(link: Link, frame: Frame): void;
	linkClosed(link: Link, reason: LinkCloseReason): void;
	bytesSent(link: Link, bytes: number, kind: TrafficKind): void;
}

const normalClosure = 1000;

const callFrames: ReadonlySet<FrameType> = new Set([
	FrameType.Open,
	FrameType.Data,
	FrameType.End,
	FrameType.Answer,
]);

/** One connection to a peer; multiplexes calls as streams. */
export class Link {
	private readonly lifecycle = createActor(linkMachine).start();
	private readonly nonce = createNonce();
	private remote: PeerIdentity | undefined;
	private receivedAt: Millis;
	private sentAt: Millis;
	private nextStream: number;
	private reason = LinkCloseReason.PeerClosed;
	private pendingPing: Promise<boolean> | undefined;

	constructor(
		private readonly socket: WebSocket,
		private readonly role: LinkRole,
		private readonly owner: LinkOwner,
	) {
		const now = owner.clock.now();
		this.receivedAt = now;
		this.sentAt = now;
		this.nextStream = role === LinkRole.Dialer ? 0 : 1;
		this.listen();
		if (role === LinkRole.Acceptor) {
			this.send({type: FrameType.Challenge, version: protocolVersion, nonce: this.nonce});
		}
	}

	get isOpen(): boolean {
		return this.lifecycle.getSnapshot().value === LinkState.Open;
	}

	/** Identity of the peer; undefined until authenticated. */
	get peer(): PeerIdentity | undefined {
		return this.remote;
	}

	/** Monotonic time of the last received frame, in ms. */
	get lastReceived(): Millis {
		return this.receivedAt;
	}

	/** Monotonic time of the last sent frame, in ms. */
	get lastSent(): Millis {
		return this.sentAt;
	}

	/** Bytes buffered by the socket and not yet sent. */
	get backlog(): number {
		return this.socket.bufferedAmount;
	}

	/** @returns the number of a new stream: even for the dialer, odd for the acceptor. */
	openStream(): number {
		const stream = this.nextStream;
		this.nextStream += 2;
		return stream;
	}

	/**
	 * @param stream - stream number.
	 * @returns whether this side opened it.
	 */
	isOwnStream(stream: number): boolean {
		return stream % 2 === (this.role === LinkRole.Dialer ? 0 : 1);
	}

	/**
	 * @param frame - the frame; dropped when the link is not open.
	 */
	send(frame: Frame): void {
		if (this.socket.readyState !== WebSocket.OPEN) {
			return;
		}

		const bytes = encodeFrame(frame);
		this.socket.send(bytes);
		this.sentAt = this.owner.clock.now();
		const kind = callFrames.has(frame.type) ? TrafficKind.Call : TrafficKind.Control;
		this.owner.bytesSent(this, bytes.length, kind);
	}

	/**
	 * Checks that the peer can still be reached on the link.
	 * @param patience - longest wait for its reply, in ms.
	 * @returns whether the peer has replied.
	 */
	async ping(patience: Millis): Promise<boolean> {
		this.pendingPing ??= this.sendPing(patience).finally(() => {
			this.pendingPing = undefined;
		});
		return this.pendingPing;
	}

	/**
	 * Closes the link: with a closing handshake when stopping, otherwise by terminating the connection.
	 * @param reason - passed to {@link LinkOwner.linkClosed}.
	 */
	close(reason: LinkCloseReason): void {
		this.reason = reason;
		if (reason === LinkCloseReason.Stopping) {
			this.socket.close(normalClosure);
		} else {
			this.socket.terminate();
		}
	}

	private async sendPing(patience: Millis): Promise<boolean> {
		if (this.socket.readyState !== WebSocket.OPEN) {
			return false;
		}

		const {promise, resolve} = withResolvers<boolean>();
		const handlePong = () => {
			this.receivedAt = this.owner.clock.now();
			resolve(true);
		};

		this.socket.once('pong', handlePong);
		const undoTimer = this.owner.clock.after(patience, () => {
			resolve(false);
		});
		this.socket.ping();
		const isAlive = await promise;
		undoTimer();
		this.socket.off('pong', handlePong);
		return isAlive;
	}

	private listen(): void {
		this.socket.on('message', (data, isBinary) => {
			if (isBinary && data instanceof Uint8Array) {
				this.receive(data);
			} else {
				this.close(LinkCloseReason.BadFrame);
			}
		});
		this.socket.on('error', () => {
			this.socket.terminate();
		});
		this.socket.once('close', () => {
			this.lifecycle.send({type: LinkEvent.Ended});
			this.owner.linkClosed(this, this.reason);
		});
	}

	private receive(data: Uint8Array): void {
		this.receivedAt = this.owner.clock.now();
		let frame: Frame;
		try {
			frame = decodeFrame(data);
		} catch {
			this.close(LinkCloseReason.BadFrame);
			return;
		}

		if (this.isOpen) {
			this.owner.frameReceived(this, frame);
		} else {
			this.authenticate(frame);
		}
	}

	private authenticate(frame: Frame): void {
		if (frame.type === FrameType.Challenge && this.role === LinkRole.Dialer) {
			this.sendHello(frame.version, frame.nonce);
		} else if (frame.type === FrameType.Hello && this.role === LinkRole.Acceptor) {
			this.handleHello(frame);
		} else if (frame.type === FrameType.Welcome && this.role === LinkRole.Dialer) {
			this.verifyPeer(frame);
		} else {
			this.close(LinkCloseReason.OutOfOrder);
		}
	}

	private sendHello(version: number, challenge: string): void {
		if (version !== protocolVersion) {
			this.close(LinkCloseReason.BadVersion);
			return;
		}

		const {id, instance, region} = this.owner.identity;
		const proof = this.computeProof(challenge, LinkRole.Dialer, this.owner.identity);
		const {nonce} = this;
		this.send({type: FrameType.Hello, version, id, instance, region, nonce, proof});
	}

	private handleHello(frame: HelloFrame): void {
		if (frame.version !== protocolVersion) {
			this.close(LinkCloseReason.BadVersion);
			return;
		}

		if (this.verifyPeer(frame)) {
			const proof = this.computeProof(frame.nonce, LinkRole.Acceptor, this.owner.identity);
			this.send({type: FrameType.Welcome, ...this.owner.identity, proof});
			this.owner.linkOpened(this);
		}
	}

	private verifyPeer(frame: HelloFrame | WelcomeFrame): boolean {
		const {id, instance, region} = frame;
		const peerRole = this.role === LinkRole.Dialer ? LinkRole.Acceptor : LinkRole.Dialer;
		const expected = this.computeProof(this.nonce, peerRole, frame);
		if (!isProofValid(expected, frame.proof)) {
			this.close(LinkCloseReason.BadProof);
			return false;
		}

		this.remote = {id, instance, region};
		this.lifecycle.send({type: LinkEvent.Authenticated});
		if (this.role === LinkRole.Dialer) {
			this.owner.linkOpened(this);
		}

		return true;
	}

	private computeProof(nonce: string, role: LinkRole, identity: PeerIdentity): string {
		const {id, instance, region} = identity;
		return createProof(this.owner.secret, nonce, [role, id, instance, region].join('\n'));
	}
}
