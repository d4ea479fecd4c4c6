import {randomInt} from 'node:crypto';
import {createActor} from 'xstate';
import {ColdLimit} from '../backend/index.js';
import type {Clock, Millis, Undo} from '../clock/index.js';
import {GossipSocket} from '../datagram/index.js';
import {RevisionTracker, type KnownRevisions} from '../declaration/index.js';
import type {AttemptRunner} from '../exchange/index.js';
import {EvacuatedZones} from '../evacuation/index.js';
import {
	BackendClient,
	Executor,
	PlaceCheck,
	type BackendProtocol,
	type ZoneGuard,
} from '../executor/index.js';
import {CallRunner, type BudgetBursts} from '../ingress/index.js';
import {LinkHub, OpenTarget, type ContentReply, type LinkHubDelegate} from '../link/index.js';
import {
	createLocalMember,
	defaultGossipSettings,
	Gossip,
	isPresent,
	type GossipHost,
	type HeldRevision,
	type Rumor,
} from '../membership/index.js';
import {BackendMonitor} from '../node/backend-monitor.js';
import {ColdMonitor} from '../node/cold-monitor.js';
import {CrashWatcher} from '../node/crash-watcher.js';
import {EvacuationMonitor} from '../node/evacuation-monitor.js';
import {LinkBudgets} from '../node/link-budgets.js';
import {NodeEvent, nodeMachine, NodeState} from '../node/node-lifecycle.js';
import {PauseDetector} from '../node/pause-detector.js';
import type {QuotaMessage} from '../quota/index.js';
import {createRandom, type Random} from '../random/index.js';
import type {Placement} from '../routing/index.js';
import {formatEndpoint, type NodeSettings} from '../settings/index.js';
import {logEvents, Metrics, type Logger} from '../telemetry/index.js';
import {pause} from '../util/index.js';

/** Behavior that differs between the kinds of node. */
export interface NodeCoreHooks {
	readonly backendProtocol: BackendProtocol;
	readonly announcementTimeout: Millis | undefined;
	/** Whether an earlier process may have acknowledged announcements of the backend server. */
	readonly isRestart: boolean;
	/** Called when a peer reports the load of its backend server. */
	readonly peerLoad: LinkHubDelegate['peerLoadReported'];
	readonly takeHandover: LinkHubDelegate['acceptHandover'];
	/** Runs attempts that are sent to this node as the owner of an idempotency key. */
	readonly keyOwnerRunner: AttemptRunner;
	/** Decision about attempts from other availability zones; undefined if they are treated alike. */
	readonly zoneGuard?: ZoneGuard | undefined;
	/** @returns the placement that chooses the executor of a call. */
	createPlacement(core: NodeCore): Placement;
	/** @returns the bursts that the retry and hedge budgets of this node allow. */
	budgetBursts(): BudgetBursts;
	/** Probes the speed of the local backend server. */
	probeSpeed(): Promise<void>;
	/** Called when the load of the local backend server has changed enough to be broadcast. */
	handleLoadChanged(): void;
	handleKnownRevisions(known: KnownRevisions, from: string): void;
	handleHeldRevision(held: HeldRevision): void;
	handleRumor(rumor: Rumor): void;
	/** Handles a message about the quotas of customers; absent where there are none. */
	handleQuotaMessage?(message: QuotaMessage): void;
}

/** Random part of an incarnation, so that two starts in the same millisecond rarely coincide. */
const incarnationRandomBound = 1024;
const maxSeed = 2 ** 31;
const gossipCheckPeriod: Millis = 50;
const drainPollPeriod: Millis = 50;
/** How long a leaving or silent peer is avoided if another executor can run the call. */
const peerAvoidTime: Millis = 2000;

/** Components that every kind of node shares: membership, links, executor and call runner. */
export class NodeCore {
	readonly metrics = new Metrics();
	readonly revisions = new RevisionTracker();
	readonly lifecycle = createActor(nodeMachine).start();
	readonly random: Random;
	readonly id: string;
	readonly instance: string;
	readonly gossip: Gossip;
	readonly evacuations: EvacuatedZones;
	readonly executor: Executor;
	readonly backend: BackendMonitor;
	readonly crashWatcher: CrashWatcher;
	readonly hub: LinkHub;
	readonly placement: Placement;
	readonly runner: CallRunner;
	readonly placeCheck: PlaceCheck;
	private readonly socket: GossipSocket;
	private readonly budgets: LinkBudgets;
	private readonly coldLimit: ColdLimit | undefined;
	private readonly cold: ColdMonitor | undefined;
	private readonly pauseDetector: PauseDetector;
	private undoGossipCheck: Undo | undefined;

	constructor(
		readonly settings: NodeSettings,
		readonly clock: Clock,
		readonly logger: Logger,
		private readonly hooks: NodeCoreHooks,
	) {
		const {metrics, revisions} = this;
		this.random = createRandom(settings.randomSeed ?? randomInt(maxSeed));
		this.id = formatEndpoint({address: settings.advertise, port: settings.linkPort});
		const incarnation =
			clock.wallNow() * incarnationRandomBound + randomInt(incarnationRandomBound);
		this.instance = `${this.id}#${incarnation}`;
		this.evacuations = new EvacuatedZones(clock, this.id);
		const {evacuations: zones} = this;
		this.placeCheck = new PlaceCheck({place: settings, zones, revisions, clock});
		this.pauseDetector = new PauseDetector(clock);
		this.budgets = new LinkBudgets({clock, metrics, revisions, gossip: () => this.gossip});
		this.socket = this.createGossipSocket();
		this.gossip = new Gossip(createLocalMember(this.id, incarnation, settings), {
			settings: defaultGossipSettings,
			clock,
			random: this.random,
			host: this.createGossipHost(),
		});
		this.crashWatcher = this.createCrashWatcher();
		this.coldLimit = settings.cold && new ColdLimit(clock, settings.cold, hooks.isRestart);
		this.cold = this.createColdMonitor();
		this.executor = this.createExecutor();
		this.backend = new BackendMonitor({
			clock,
			logger,
			revisions,
			executor: this.executor,
			gossip: this.gossip,
			cold: this.cold,
			announcementTimeout: hooks.announcementTimeout,
			isRestart: hooks.isRestart,
			ownService: settings.backend.service,
		});
		this.hub = this.createHub();
		this.placement = hooks.createPlacement(this);
		this.runner = new CallRunner({
			clock,
			metrics,
			logger,
			placement: this.placement,
			promises: hooks.backendProtocol.promises,
			disabled: settings.disabled,
			instance: this.instance,
			budgetBursts: () => hooks.budgetBursts(),
			runnerTo: (executor) => (executor === this.id ? this.executor : this.hub.runnerTo(executor)),
		});
		this.watchMembers();
		const {gossip, executor} = this;
		new EvacuationMonitor({
			clock,
			logger,
			metrics,
			gossip,
			zones,
			executor,
			onOwnZoneReturned: () => {
				this.backend.assumeCold();
			},
		}).start();
	}

	/** State of the node in its lifecycle. */
	get state(): NodeState {
		return this.lifecycle.getSnapshot().value;
	}

	/** Whether the node accepts calls and routes them to executors. */
	get isAcceptingCalls(): boolean {
		return this.state === NodeState.Ready || this.state === NodeState.Draining;
	}

	/** Opens the ports for links and gossip. */
	async listen(): Promise<void> {
		const {address, linkPort} = this.settings;
		await this.hub.listen(linkPort);
		await this.socket.bind(address, linkPort);
	}

	/** Starts the gossip rounds. */
	startGossip(): void {
		this.lifecycle.send({type: NodeEvent.Listening});
		this.logger.log(logEvents.nodeStarted, {id: this.id, instance: this.instance});
		this.clock.repeat(defaultGossipSettings.probePeriod, () => {
			this.gossip.tick();
			this.checkGossipLater();
		});
	}

	/**
	 * @param to - id of the receiver.
	 * @param message - a message about the quotas of customers.
	 */
	sendQuotaMessage(to: string, message: QuotaMessage): void {
		this.socket.sendQuota(to, message);
	}

	/** Moves the node to the ready state, once it has a configuration and a membership. */
	markReady(): void {
		this.lifecycle.send({type: NodeEvent.Synchronized});
		this.logger.log(logEvents.nodeReady, {revision: this.revisions.inForce?.revision});
	}

	/**
	 * Waits until nothing is in flight.
	 * @param countInFlight - returns the number of calls in flight.
	 * @param until - monotonic time in ms at which waiting ends.
	 * @returns whether nothing is in flight any more.
	 */
	async waitUntilIdle(countInFlight: () => number, until: Millis): Promise<boolean> {
		while (this.clock.now() < until) {
			if (countInFlight() === 0) {
				return true;
			}

			await pause(this.clock, drainPollPeriod); // eslint-disable-line no-await-in-loop
		}

		return false;
	}

	/** Closes links and sockets. */
	close(): void {
		this.hub.stop();
		this.socket.close();
	}

	// The timer runs only while an answer is pending, so that an idle node is not woken up.
	private checkGossipLater(): void {
		if (!this.gossip.hasPendingChecks) {
			this.undoGossipCheck?.();
			this.undoGossipCheck = undefined;
			return;
		}

		this.undoGossipCheck ??= this.clock.after(gossipCheckPeriod, () => {
			this.undoGossipCheck = undefined;
			this.gossip.checkProbes();
			this.checkGossipLater();
		});
	}

	private createGossipSocket(): GossipSocket {
		return new GossipSocket({
			secret: this.settings.secret,
			onMessage: (message) => {
				this.gossip.receive(message);
				this.checkGossipLater();
			},
			onQuotaMessage: (message) => {
				this.hooks.handleQuotaMessage?.(message);
			},
			onReject: (reason) => {
				this.metrics.gossipRejects.inc({reason});
				this.logger.log(logEvents.datagramRejected, {reason});
			},
			onSent: (to, bytes) => {
				this.budgets.chargeControl(to, bytes);
			},
		});
	}

	private createGossipHost(): GossipHost {
		return {
			send: (to, message) => {
				this.socket.send(to, message);
			},
			mayProbe: (member) => this.budgets.mayProbe(member),
			knownRevisions: () => {
				const {known} = this.revisions;
				const evacuation = this.evacuations.advertised;
				return evacuation ? {...known, evacuation} : known;
			},
			handleKnownRevisions: (known, from) => {
				if (known.evacuation) {
					this.evacuations.merge(known.evacuation, from);
				}

				this.hooks.handleKnownRevisions(known, from);
			},
			handleRumor: (rumor) => {
				this.crashWatcher.handleRumor(rumor);
				this.hooks.handleRumor(rumor);
			},
			handleHeldRevision: (held) => {
				this.hooks.handleHeldRevision(held);
			},
			handlePause: (duration) => {
				this.logger.log(logEvents.nodePaused, {pause: Math.round(duration)});
			},
		};
	}

	private createCrashWatcher(): CrashWatcher {
		return new CrashWatcher({
			clock: this.clock,
			logger: this.logger,
			gossip: this.gossip,
			instance: this.instance,
			endpoint: () => this.backend.current,
			markUnreachable: () => {
				this.backend.markUnreachable();
			},
		});
	}

	private createExecutor(): Executor {
		return new Executor({
			clock: this.clock,
			metrics: this.metrics,
			logger: this.logger,
			disabled: this.settings.disabled,
			createSender: (target) => new BackendClient(target, this.hooks.backendProtocol, this.clock),
			crashWatch: this.crashWatcher,
			checkPlace: (head) => this.placeCheck.check(head),
			coldLimit: this.coldLimit,
			linkRate: this.settings.linkRate,
			onColdReport: (left, sentAt) => {
				this.cold?.recordAnswer(left, sentAt);
			},
			zoneGuard: this.hooks.zoneGuard,
			onBackendUnreachable: () => {
				this.backend.markUnreachable();
			},
			onBackendLeaving: (instance) => {
				this.backend.handleLeaving(instance);
			},
			probeSpeed: async () => this.hooks.probeSpeed(),
			onLoadChanged: () => {
				this.cold?.checkSpeed(this.executor.report().slowdown);
				this.hooks.handleLoadChanged();
			},
		});
	}

	private createColdMonitor(): ColdMonitor | undefined {
		const {clock, logger, metrics, coldLimit} = this;
		return (
			coldLimit &&
			new ColdMonitor({
				clock,
				logger,
				metrics,
				limit: coldLimit,
				onLimitChanged: () => {
					this.hooks.handleLoadChanged();
				},
				askHealthPath: () => {
					void this.hooks.probeSpeed();
				},
			})
		);
	}

	private getContent(hash: string, base: string | undefined): ContentReply {
		const delta = base === undefined ? undefined : this.revisions.deltaOf(hash, base);
		return {content: delta === undefined ? this.revisions.contentOf(hash) : undefined, delta};
	}

	private createHub(): LinkHub {
		const {region, secret, address} = this.settings;
		const avoid = (id: string) => {
			this.placement.avoid(id, peerAvoidTime);
		};

		return new LinkHub({
			owner: {identity: {id: this.id, instance: this.instance, region}, secret, clock: this.clock},
			address,
			metrics: this.metrics,
			logger: this.logger,
			delegate: {
				staleness: () => this.pauseDetector.staleness(),
				runnerFor: (target) =>
					target === OpenTarget.Executor ? this.executor : this.hooks.keyOwnerRunner,
				queryAndFence: (peer, sequence) => this.executor.queryAndFence({instance: peer, sequence}),
				getContent: (hash, base) => this.getContent(hash, base),
				acceptHandover: (from, records) => {
					this.hooks.takeHandover(from, records);
				},
				peerLoadReported: (id, load) => {
					this.hooks.peerLoad(id, load);
				},
				peerLeaving: avoid,
				peerSilent: avoid,
				peerLost: (id) => {
					this.gossip.sendSuspicionProbe(id);
					this.checkGossipLater();
				},
			},
		});
	}

	private watchMembers(): void {
		this.gossip.registerListener((member, previous) => {
			const isChanged = member.liveness !== previous?.liveness || member.phase !== previous.phase;
			if (isChanged && member.id !== this.id) {
				const {id, liveness, phase, service, incarnation} = member;
				this.logger.log(logEvents.memberChanged, {id, liveness, phase, service, incarnation});
			}

			if (!isPresent(member)) {
				this.placement.forget(member.id);
			}
		});
		this.revisions.registerListener((index) => {
			this.metrics.revision.set(index.revision);
			this.logger.log(logEvents.revisionInForce, {revision: index.revision});
		});
	}
}
