import {WebSocket, WebSocketServer} from 'ws';
import {AttemptState, RefusalReason, type LoadReport} from '../call/index.js';
import type {Millis, Undo} from '../clock/index.js';
import {
	createRefused,
	createUnknown,
	type Attempt,
	type AttemptResult,
	type AttemptRunner,
} from '../exchange/index.js';
import {bindPort} from '../net/index.js';
import {parseEndpoint} from '../settings/index.js';
import {logEvents, type Logger, type Metrics, type TrafficKind} from '../telemetry/index.js';
import {invariant, pause, withResolvers} from '../util/index.js';
import {FrameType, OpenTarget, type Frame} from './frame.js';
import {Link, LinkCloseReason, LinkRole, type LinkOwner, type PeerIdentity} from './link.js';
import {beatPeriod, maxFrameBytes, openTimeout} from './link-limits.js';
import {PeerSession, type PeerSessionDelegate} from './peer-session.js';

/** What the hub needs from its node, besides what each session needs. */
export interface LinkHubDelegate extends Omit<
	PeerSessionDelegate,
	'settleLost' | 'now' | 'after' | 'lateFrame' | 'callStarted'
> {
	/** A peer with calls in flight gives no sign of life. */
	peerSilent(id: string): void;
	/** The link to a peer broke, and the peer had not said that it leaves. */
	peerLost(id: string): void;
}

/** What a hub is made of. */
export interface LinkHubDependencies {
	readonly owner: Pick<LinkOwner, 'identity' | 'secret' | 'clock'>;
	/** IP number from which links are opened and on which they are taken. */
	readonly address: string;
	readonly delegate: LinkHubDelegate;
	readonly metrics: Metrics;
	readonly logger: Logger;
}

type Dial = {promise: Promise<PeerSession | undefined>};

const settleRetryPeriod: Millis = 100;

/** All links of a node: opens, takes, reuses and watches them. */
export class LinkHub {
	private readonly sessions = new Map<string, PeerSession>();
	private readonly byLink = new Map<Link, PeerSession>();
	private readonly dials = new Map<string, Dial>();
	private readonly opening = new Map<Link, (session: PeerSession | undefined) => void>();
	private readonly unproved = new Set<Link>();
	private readonly owner: LinkOwner;
	private readonly sessionHost: PeerSessionDelegate;
	private server: WebSocketServer | undefined;
	private undoBeat: Undo | undefined;
	private isStopped = false;

	constructor(private readonly parts: LinkHubDependencies) {
		this.owner = {
			...parts.owner,
			linkOpened: (link) => {
				this.linkOpened(link);
			},
			frameReceived: (link, frame) => {
				this.frameReceived(link, frame);
			},
			linkClosed: (link, reason) => {
				this.linkClosed(link, reason);
			},
			bytesSent: (link, bytes, kind) => {
				this.countBytes(link, bytes, kind);
			},
		};
		this.sessionHost = this.createSessionHost();
	}

	/**
	 * Takes links from peers.
	 * @param port - TCP port.
	 */
	async listen(port: number): Promise<void> {
		const server = new WebSocketServer({
			host: this.parts.address,
			port,
			maxPayload: maxFrameBytes,
			perMessageDeflate: false,
		});
		server.on('connection', (socket) => {
			this.watchOpening(new Link(socket, LinkRole.Acceptor, this.owner));
		});
		this.server = server;
		await bindPort(server, (done) => {
			server.once('listening', done);
		});
	}

	/**
	 * @param id - address of a peer.
	 * @param target - who handles attempts there.
	 * @returns a runner that sends attempts to the peer.
	 */
	runnerTo(id: string, target = OpenTarget.Executor): AttemptRunner {
		return {
			run: async (attempt) => this.run(id, attempt, target),
		};
	}

	/**
	 * @param id - address of a peer.
	 * @returns the open session with it, if there is one; opens none.
	 */
	getSession(id: string): PeerSession | undefined {
		return this.sessions.get(id);
	}

	/**
	 * Opens a link, or takes the one that is open.
	 * @param id - address of a peer.
	 * @returns the session; undefined when the peer cannot be reached.
	 */
	async connect(id: string): Promise<PeerSession | undefined> {
		const session = this.sessions.get(id);
		if (session) {
			return session;
		}

		const dial = this.dials.get(id) ?? this.dial(id);
		return dial.promise;
	}

	/**
	 * @param id - address of a peer.
	 * @returns the incarnation of the peer behind the open link.
	 */
	getPeerInstance(id: string): string | undefined {
		return this.sessions.get(id)?.link.peer?.instance;
	}

	/** Tells every linked peer that this node takes no new work. */
	broadcastLeaving(): void {
		for (const session of this.byLink.values()) {
			session.link.send({type: FrameType.Leaving});
		}
	}

	/**
	 * Tells the load of the own backend server to linked peers.
	 * @param load - the load.
	 * @param isReceiver - tells which peers hear of it, by who they are and whether calls of theirs are here.
	 */
	broadcastLoad(
		load: LoadReport,
		isReceiver: (peer: PeerIdentity, isWaiting: boolean) => boolean,
	): void {
		for (const session of this.sessions.values()) {
			if (session.link.peer && isReceiver(session.link.peer, session.hasIncoming)) {
				session.link.send({type: FrameType.Load, load});
			}
		}
	}

	/** Closes all links. */
	stop(): void {
		this.isStopped = true;
		this.undoBeat?.();
		this.server?.close();
		for (const link of [...this.byLink.keys(), ...this.unproved]) {
			link.close(LinkCloseReason.Stopping);
		}
	}

	/** Calls that travel on links now, both ways. */
	get callsInFlight(): number {
		let count = 0;
		for (const session of this.byLink.values()) {
			count += session.callsInFlight;
		}

		return count;
	}

	private createSessionHost(): PeerSessionDelegate {
		const {delegate: host, metrics} = this.parts;
		return {
			now: () => this.owner.clock.now(),
			after: (delay, run) => this.owner.clock.after(delay, run),
			staleness: () => host.staleness(),
			runnerFor: (target) => host.runnerFor(target),
			queryAndFence: (instance, sequence) => host.queryAndFence(instance, sequence),
			getContent: (hash) => host.getContent(hash),
			acceptHandover(from, records) {
				host.acceptHandover(from, records);
			},
			peerLeaving(id) {
				host.peerLeaving(id);
			},
			peerLoadReported(id, load) {
				host.peerLoadReported(id, load);
			},
			callStarted: () => {
				this.watchLater();
			},
			lateFrame() {
				metrics.lateAnswers.inc();
			},
			settleLost: async (attempt, link) => this.settleLost(attempt, link),
		};
	}

	private async run(id: string, attempt: Attempt, target: OpenTarget): Promise<AttemptResult> {
		const session = this.sessions.get(id) ?? (await this.connect(id));
		if (!session) {
			return createRefused(RefusalReason.LinkUnreachable);
		}

		if (attempt.deadline.isPast(this.owner.clock.now()) || attempt.cancellation.isCanceled) {
			return createRefused(RefusalReason.DeadlinePassed);
		}

		return session.run(attempt, target);
	}

	private dial(id: string): Dial {
		const endpoint = parseEndpoint(id);
		const {promise, resolve} = withResolvers<PeerSession | undefined>();
		const dial: Dial = {promise};
		if (!endpoint || this.isStopped) {
			resolve(undefined);
			return dial;
		}

		this.dials.set(id, dial);
		const socket = new WebSocket(`ws://${id}/`, {
			localAddress: this.parts.address,
			maxPayload: maxFrameBytes,
			perMessageDeflate: false,
		});
		const link = new Link(socket, LinkRole.Dialer, this.owner);
		this.opening.set(link, (session) => {
			this.dials.delete(id);
			resolve(session);
		});
		this.watchOpening(link);
		return dial;
	}

	private watchOpening(link: Link): void {
		this.unproved.add(link);
		this.owner.clock.after(openTimeout, () => {
			if (this.unproved.has(link)) {
				link.close(LinkCloseReason.OpenTimeout);
			}
		});
	}

	private linkOpened(link: Link): void {
		const {peer} = link;
		invariant(peer !== undefined, 'an open link has a proved peer');
		this.unproved.delete(link);
		const session = new PeerSession(link, peer.instance, peer.id, this.sessionHost);
		this.byLink.set(link, session);
		this.dropOtherIncarnations(peer);
		// The newest link is used for new calls; an older one ends with its last call.
		this.sessions.set(peer.id, session);
		this.opening.get(link)?.(session);
		this.opening.delete(link);
		this.parts.logger.log(logEvents.linkOpened, {peer: peer.id});
	}

	// A new process at the same address: what the old one was sent can no longer be answered.
	private dropOtherIncarnations(peer: PeerIdentity): void {
		for (const link of this.byLink.keys()) {
			if (link.peer?.id === peer.id && link.peer.instance !== peer.instance) {
				link.close(LinkCloseReason.Replaced);
			}
		}
	}

	private frameReceived(link: Link, frame: Frame): void {
		const session = this.byLink.get(link);
		if (session && !session.receive(frame)) {
			this.parts.logger.log(logEvents.frameRejected, {peer: link.peer?.id, type: frame.type});
			link.close(LinkCloseReason.BadFrame);
		}
	}

	private linkClosed(link: Link, reason: LinkCloseReason): void {
		const {logger, metrics} = this.parts;
		const session = this.byLink.get(link);
		this.unproved.delete(link);
		this.byLink.delete(link);
		if (link.peer && this.sessions.get(link.peer.id) === session) {
			this.sessions.delete(link.peer.id);
		}

		this.opening.get(link)?.(undefined);
		this.opening.delete(link);
		metrics.linkRejects.inc({reason});
		const isRejected = reason === LinkCloseReason.BadProof || reason === LinkCloseReason.BadVersion;
		const event = isRejected ? logEvents.linkRejected : logEvents.linkClosed;
		logger.log(event, {peer: link.peer?.id, reason});
		session?.close();
		if (link.peer && reason === LinkCloseReason.PeerClosed && !session?.isLeaving) {
			this.parts.delegate.peerLost(link.peer.id);
		}
	}

	// The link was lost with an attempt out that must not run twice: only its executor can tell.
	private async settleLost(attempt: Attempt, lost: Link): Promise<AttemptResult> {
		const {peer} = lost;
		invariant(peer !== undefined, 'attempts travel on open links only');
		while (!attempt.deadline.isPast(this.owner.clock.now()) && !this.isStopped) {
			// eslint-disable-next-line no-await-in-loop
			const session = await this.connect(peer.id);
			if (session && session.link.peer?.instance !== peer.instance) {
				return createUnknown(RefusalReason.ExecutorLost);
			}

			// eslint-disable-next-line no-await-in-loop
			const state = await session?.queryAndFence(attempt.id.sequence);
			if (state !== undefined) {
				return settledBy(state);
			}

			// eslint-disable-next-line no-await-in-loop
			await pause(this.owner.clock, settleRetryPeriod);
		}

		return createUnknown(RefusalReason.ExecutorLost);
	}

	// Without calls in flight there is nothing to watch, and the node is not woken up.
	private watchLater(): void {
		this.undoBeat ??= this.owner.clock.after(beatPeriod, () => {
			this.undoBeat = undefined;
			this.watch();
			if (this.callsInFlight > 0 && !this.isStopped) {
				this.watchLater();
			}
		});
	}

	private watch(): void {
		for (const session of this.byLink.values()) {
			session.beat();
			if (session.isSilent) {
				session.loseSilent();
				const id = session.link.peer?.id;
				if (id !== undefined) {
					this.retire(id, session);
					this.parts.delegate.peerSilent(id);
				}
			}
		}
	}

	// New calls go over a new link; the silent one is kept for answers that may still come.
	private retire(id: string, session: PeerSession): void {
		if (this.sessions.get(id) === session) {
			this.sessions.delete(id);
		}
	}

	private countBytes(link: Link, bytes: number, kind: TrafficKind): void {
		const region = link.peer?.region ?? 'unknown';
		this.parts.metrics.linkBytes.inc({region, kind}, bytes);
	}
}

function settledBy(state: AttemptState): AttemptResult {
	const isNotRun = state === AttemptState.Fenced || state === AttemptState.Refused;
	return isNotRun ? createRefused(RefusalReason.Fenced) : createUnknown(RefusalReason.ExecutorLost);
}
