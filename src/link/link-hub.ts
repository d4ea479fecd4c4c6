import {WebSocket, WebSocketServer} from 'ws';
import {AttemptState, isRegionAllowed, RefusalReason, type LoadReport} from '../call/index.js';
import {second, type Millis, type Undo} from '../clock/index.js';
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
import {
	heartbeatPeriod,
	maxFrameBytes,
	openTimeout,
	pingTimeout,
	silenceTimeout,
} from './link-limits.js';
import {PeerSession, type PeerSessionDelegate} from './peer-session.js';
import {TextDeflater} from './text-compression.js';

/** Callbacks of the hub into its node. */
export interface LinkHubDelegate extends Omit<
	PeerSessionDelegate,
	| 'resolveLostAttempt'
	| 'fenceSilentAttempt'
	| 'now'
	| 'after'
	| 'lateFrame'
	| 'callStarted'
	| 'deflate'
> {
	/** Nothing was received within the silence timeout from a peer with calls in flight. */
	peerSilent(id: string): void;
	/** The peer closed or lost the link without having announced that it leaves. */
	peerLost(id: string): void;
}

export interface LinkHubDependencies {
	readonly owner: Pick<LinkOwner, 'identity' | 'secret' | 'clock'>;
	/** Local IP address for outgoing connections and for the listening socket. */
	readonly address: string;
	readonly delegate: LinkHubDelegate;
	readonly metrics: Metrics;
	readonly logger: Logger;
}

type Dial = {promise: Promise<PeerSession | undefined>};

const statusRetryPeriod: Millis = 100;
/** Time after a link has gone silent in which quiet links are checked before attempts that must not run twice. */
const suspicionTime: Millis = 5 * second;

/** Opens, accepts, reuses and monitors all links of a node. */
export class LinkHub {
	private readonly sessions = new Map<string, PeerSession>();
	private readonly sessionsByLink = new Map<Link, PeerSession>();
	private readonly dials = new Map<string, Dial>();
	private readonly dialCallbacks = new Map<Link, (session: PeerSession | undefined) => void>();
	private readonly unauthenticated = new Set<Link>();
	private readonly deflater = new TextDeflater();
	private readonly owner: LinkOwner;
	private readonly sessionDelegate: PeerSessionDelegate;
	private server: WebSocketServer | undefined;
	private cancelLivenessCheck: Undo | undefined;
	private isStopped = false;
	/** Time at which a link was last found to be silent. */
	private silentAt = Number.NEGATIVE_INFINITY;

	constructor(private readonly deps: LinkHubDependencies) {
		this.owner = {
			...deps.owner,
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
				this.recordBytes(link, bytes, kind);
			},
		};
		this.sessionDelegate = this.createSessionDelegate();
	}

	/**
	 * Accepts links from peers.
	 * @param port - TCP port.
	 */
	async listen(port: number): Promise<void> {
		const server = new WebSocketServer({
			host: this.deps.address,
			port,
			maxPayload: maxFrameBytes,
			perMessageDeflate: false,
		});
		server.on('connection', (socket) => {
			this.startOpenTimeout(new Link(socket, LinkRole.Acceptor, this.owner));
		});
		this.server = server;
		await bindPort(server, (done) => {
			server.once('listening', done);
		});
	}

	/**
	 * @param id - address of a peer.
	 * @param target - component of the peer that handles the attempts.
	 * @returns a runner that sends attempts to the peer.
	 */
	runnerTo(id: string, target = OpenTarget.Executor): AttemptRunner {
		return {
			run: async (attempt) => this.run(id, attempt, target),
		};
	}

	/**
	 * @param id - address of a peer.
	 * @returns the open session with the peer, if any; does not connect.
	 */
	getSession(id: string): PeerSession | undefined {
		return this.sessions.get(id);
	}

	/**
	 * Returns the open session with a peer, or connects.
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
	 * Returns a session whose link is known to work: the open one if the peer replies on it, otherwise one on a new link.
	 * @param id - address of a peer.
	 * @param maxQuiet - time in ms since the last frame from the peer up to which its link counts as working.
	 * @param patience - longest wait for the reply, in ms.
	 * @returns the session; undefined when the peer cannot be reached.
	 */
	async connectAlive(
		id: string,
		maxQuiet: Millis,
		patience: Millis,
	): Promise<PeerSession | undefined> {
		const session = this.sessions.get(id);
		if (session) {
			if (await session.isAlive(maxQuiet, patience)) {
				return session;
			}

			this.replaceSilent(id, session);
		}

		return this.connect(id);
	}

	/**
	 * @param id - address of a peer.
	 * @returns the peer's instance; undefined without an open link.
	 */
	getPeerInstance(id: string): string | undefined {
		return this.sessions.get(id)?.link.peer?.instance;
	}

	/** Announces to all connected peers that this node takes no new calls. */
	broadcastLeaving(): void {
		for (const session of this.sessionsByLink.values()) {
			session.link.send({type: FrameType.Leaving});
		}
	}

	/**
	 * Sends the load of the node's backend server to connected peers.
	 * @param load - the load.
	 * @param isRecipient - selects the receiving peers, by identity and by whether this node handles calls
	 * of theirs.
	 */
	broadcastLoad(
		load: LoadReport,
		isRecipient: (peer: PeerIdentity, hasIncomingCalls: boolean) => boolean,
	): void {
		for (const session of this.sessions.values()) {
			if (session.link.peer && isRecipient(session.link.peer, session.hasIncoming)) {
				session.link.send({type: FrameType.Load, load});
			}
		}
	}

	/** Closes all links. */
	stop(): void {
		this.isStopped = true;
		this.cancelLivenessCheck?.();
		this.server?.close();
		for (const link of [...this.sessionsByLink.keys(), ...this.unauthenticated]) {
			link.close(LinkCloseReason.Stopping);
		}
	}

	/** Calls in flight on all links, in both directions. */
	get callsInFlight(): number {
		let count = 0;
		for (const session of this.sessionsByLink.values()) {
			count += session.callsInFlight;
		}

		return count;
	}

	/** Number of links that have not sent all their frames. */
	get unsentLinks(): number {
		return [...this.sessionsByLink.values()].filter(({link}) => link.backlog > 0).length;
	}

	private createSessionDelegate(): PeerSessionDelegate {
		const {delegate, metrics} = this.deps;
		return {
			now: () => this.owner.clock.now(),
			after: (delay, run) => this.owner.clock.after(delay, run),
			staleness: () => delegate.staleness(),
			runnerFor: (target) => delegate.runnerFor(target),
			queryAndFence: (instance, sequence) => delegate.queryAndFence(instance, sequence),
			getContent: (hash, base) => delegate.getContent(hash, base),
			deflate: (text) => this.deflater.deflate(text),
			acceptHandover(from, records) {
				delegate.acceptHandover(from, records);
			},
			peerLeaving(id) {
				delegate.peerLeaving(id);
			},
			peerLoadReported(id, load) {
				delegate.peerLoadReported(id, load);
			},
			callStarted: () => {
				this.scheduleLivenessCheck();
			},
			lateFrame() {
				metrics.lateAnswers.inc();
			},
			resolveLostAttempt: async (attempt, link) => this.resolveLostAttempt(attempt, link),
			fenceSilentAttempt: async (attempt, link) => this.fenceSilentAttempt(attempt, link),
		};
	}

	private async run(id: string, attempt: Attempt, target: OpenTarget): Promise<AttemptResult> {
		// Where one link has gone silent, others may have too. An idempotent attempt is repeated without a check.
		const isSuspect = this.owner.clock.now() - this.silentAt < suspicionTime;
		const session =
			isSuspect && !attempt.head.isIdempotent
				? await this.connectAlive(id, silenceTimeout, pingTimeout)
				: (this.sessions.get(id) ?? (await this.connect(id)));
		if (!session) {
			return createRefused(RefusalReason.LinkUnreachable);
		}

		if (attempt.deadline.isPast(this.owner.clock.now()) || attempt.cancellation.isCanceled) {
			return createRefused(RefusalReason.DeadlinePassed);
		}

		if (!isRegionAllowed(session.link.peer?.region ?? '', attempt.head.allowedRegions)) {
			return createRefused(RefusalReason.RegionNotAllowed);
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
			localAddress: this.deps.address,
			maxPayload: maxFrameBytes,
			perMessageDeflate: false,
		});
		const link = new Link(socket, LinkRole.Dialer, this.owner);
		this.dialCallbacks.set(link, (session) => {
			this.dials.delete(id);
			resolve(session);
		});
		this.startOpenTimeout(link);
		return dial;
	}

	private startOpenTimeout(link: Link): void {
		this.unauthenticated.add(link);
		this.owner.clock.after(openTimeout, () => {
			if (this.unauthenticated.has(link)) {
				link.close(LinkCloseReason.OpenTimeout);
			}
		});
	}

	private linkOpened(link: Link): void {
		const {peer} = link;
		invariant(peer !== undefined, 'an open link has an authenticated peer');
		this.unauthenticated.delete(link);
		const session = new PeerSession(link, peer.instance, peer.id, this.sessionDelegate);
		this.sessionsByLink.set(link, session);
		this.closeOtherIncarnations(peer);
		// New calls use the newest link; older links to the same process only complete their calls in flight.
		this.sessions.set(peer.id, session);
		this.dialCallbacks.get(link)?.(session);
		this.dialCallbacks.delete(link);
		this.deps.logger.log(logEvents.linkOpened, {peer: peer.id});
	}

	// A new process runs at the same address, so attempts sent to the old one can no longer be answered.
	private closeOtherIncarnations(peer: PeerIdentity): void {
		for (const link of this.sessionsByLink.keys()) {
			if (link.peer?.id === peer.id && link.peer.instance !== peer.instance) {
				link.close(LinkCloseReason.Replaced);
			}
		}
	}

	private frameReceived(link: Link, frame: Frame): void {
		const session = this.sessionsByLink.get(link);
		if (session && !session.receive(frame)) {
			this.deps.logger.log(logEvents.frameRejected, {peer: link.peer?.id, type: frame.type});
			link.close(LinkCloseReason.BadFrame);
		}
	}

	private linkClosed(link: Link, reason: LinkCloseReason): void {
		const {logger, metrics} = this.deps;
		const session = this.sessionsByLink.get(link);
		this.unauthenticated.delete(link);
		this.sessionsByLink.delete(link);
		if (link.peer && this.sessions.get(link.peer.id) === session) {
			this.sessions.delete(link.peer.id);
		}

		this.dialCallbacks.get(link)?.(undefined);
		this.dialCallbacks.delete(link);
		metrics.linkRejects.inc({reason});
		const isRejected = reason === LinkCloseReason.BadProof || reason === LinkCloseReason.BadVersion;
		const event = isRejected ? logEvents.linkRejected : logEvents.linkClosed;
		logger.log(event, {peer: link.peer?.id, reason});
		session?.close();
		if (link.peer && reason === LinkCloseReason.PeerClosed && !session?.isLeaving) {
			this.deps.delegate.peerLost(link.peer.id);
		}
	}

	// Queries the executor of a non-idempotent attempt whose link was lost: only it knows whether the attempt
	// has run. Retries until the deadline, and ends as unknown when another process runs at the address.
	private async resolveLostAttempt(attempt: Attempt, lost: Link): Promise<AttemptResult> {
		const {peer} = lost;
		invariant(peer !== undefined, 'attempts are sent on open links only');
		while (!attempt.deadline.isPast(this.owner.clock.now()) && !this.isStopped) {
			// eslint-disable-next-line no-await-in-loop
			const session = await this.connect(peer.id);
			if (session && session.link.peer?.instance !== peer.instance) {
				return createUnknown(RefusalReason.ExecutorLost);
			}

			// eslint-disable-next-line no-await-in-loop
			const state = await session?.queryAndFence(attempt.id.sequence);
			if (state !== undefined) {
				return resultForState(state);
			}

			// eslint-disable-next-line no-await-in-loop
			await pause(this.owner.clock, statusRetryPeriod);
		}

		return createUnknown(RefusalReason.ExecutorLost);
	}

	// A session that has opened meanwhile belongs to the same process, or else the silent link was closed.
	private async fenceSilentAttempt(attempt: Attempt, silent: Link): Promise<boolean> {
		const {peer} = silent;
		invariant(peer !== undefined, 'attempts are sent on open links only');
		const session = await this.connect(peer.id);
		if (!session || session.link === silent || session.link.peer?.instance !== peer.instance) {
			return false;
		}

		const state = await session.queryAndFence(attempt.id.sequence);
		return state !== undefined && isNotRun(state);
	}

	// Runs only while calls are in flight, so that an idle node has no wake-ups.
	private scheduleLivenessCheck(): void {
		this.cancelLivenessCheck ??= this.owner.clock.after(heartbeatPeriod, () => {
			this.cancelLivenessCheck = undefined;
			this.checkLiveness();
			if (this.callsInFlight > 0 && !this.isStopped) {
				this.scheduleLivenessCheck();
			}
		});
	}

	private checkLiveness(): void {
		for (const session of this.sessionsByLink.values()) {
			session.sendHeartbeat();
			if (session.isSilent) {
				const id = session.link.peer?.id;
				if (id !== undefined) {
					this.stopUsing(id, session);
					this.deps.delegate.peerSilent(id);
				}

				session.handleSilence();
			}
		}
	}

	// Without calls in flight nothing more is expected on the link.
	private replaceSilent(id: string, session: PeerSession): void {
		this.stopUsing(id, session);
		if (session.callsInFlight === 0) {
			session.link.close(LinkCloseReason.Silent);
		}
	}

	// New calls open a new link; the silent one stays open for answers that may still arrive.
	private stopUsing(id: string, session: PeerSession): void {
		if (this.sessions.get(id) === session) {
			this.sessions.delete(id);
			this.silentAt = this.owner.clock.now();
			this.deps.logger.log(logEvents.linkSilent, {peer: id, calls: session.callsInFlight});
		}
	}

	private recordBytes(link: Link, bytes: number, kind: TrafficKind): void {
		const region = link.peer?.region ?? 'unknown';
		this.deps.metrics.linkBytes.inc({region, kind}, bytes);
	}
}

function resultForState(state: AttemptState): AttemptResult {
	return isNotRun(state)
		? createRefused(RefusalReason.Fenced)
		: createUnknown(RefusalReason.ExecutorLost);
}

function isNotRun(state: AttemptState): boolean {
	return state === AttemptState.Fenced || state === AttemptState.Refused;
}
