import {second, type Clock, type Millis, type Undo} from '../clock/index.js';
import {
	ConfigurationFeed,
	EvacuationReader,
	findReaderSlot,
	mustReadStore,
	Roster,
	type ConfigurationSource,
} from '../control/index.js';
import type {DeclarationIndex} from '../declaration/index.js';
import {createUnknown} from '../exchange/index.js';
import {RefusalReason} from '../call/index.js';
import type {BackendProtocol} from '../executor/index.js';
import {
	Ingress,
	type CustomerUse,
	type BudgetBursts,
	type CallerProtocol,
} from '../ingress/index.js';
import {
	Distance,
	distanceBetween,
	isPresent,
	isRoutable,
	MemberPhase,
	type Member,
} from '../membership/index.js';
import {BackendFinder} from '../node/backend-finder.js';
import {BackendProbe, type ProbeRate} from '../node/backend-probe.js';
import {LoadBroadcaster} from '../node/load-broadcaster.js';
import {QuotaAgent} from '../node/quota-agent.js';
import {NodeEvent, NodeState} from '../node/node-lifecycle.js';
import {jsonReply, OperatorServer, textReply} from '../operations/index.js';
import {ObjectivePlacement, type SpilloverChange} from '../routing/index.js';
import type {NodeSettings} from '../settings/index.js';
import type {RestoreListener, RowFeed, TableService} from '../store/index.js';
import {logEvents, type Logger, type Metrics} from '../telemetry/index.js';
import {pause} from '../util/index.js';
import {closeIngress, depart} from './departure.js';
import {explainRequest, parseExplainedRequest} from './explain.js';
import {NodeCore, type NodeCoreHooks} from './node-core.js';
import {registerOperatorRoutes} from './operator-routes.js';

/** Platform store that a routed node uses. */
export interface RoutedStore extends TableService, RowFeed {
	close(): void;
	/**
	 * @param listener - called when an answer shows that the store was restored.
	 * @returns a function that ends the registration.
	 */
	registerRestoreListener(listener: RestoreListener): Undo;
}

/** Adapters of a routed node to its platform, callers and backend server. */
export interface RoutedNodeAdapters {
	readonly source: ConfigurationSource;
	readonly backendProtocol: BackendProtocol;
	/** Method and path of the readiness check. */
	readonly readinessRoute: string;
	/**
	 * @param metrics - counts the store operations.
	 * @returns the client of the platform store.
	 */
	createStore(metrics: Metrics): RoutedStore;
	/**
	 * @param isNestedCall - returns whether the request with this id is made on behalf of a running one.
	 * @param regionsOfParent - returns the regions that the request which a nested call belongs to may be sent
	 * to; undefined for any.
	 * @returns the protocol for callers.
	 */
	createCallerProtocol(
		isNestedCall: (requestId: string) => boolean,
		regionsOfParent: (requestId: string) => readonly string[] | undefined,
	): CallerProtocol;
	/** Registers the routes for announcements of the backend server. */
	registerAnnouncements(server: OperatorServer, node: RoutedNode): void;
}

const readyPollPeriod: Millis = 25;
/** Time for the last gossip messages to be sent before the sockets close. */
const leaveNoticeTime: Millis = 200;
/** Covers two readiness checks, a second apart, and the transfer time of calls sent before the second. */
const readinessLingerTime: Millis = 2.6 * second;
/** Final part of the linger time in which a stopping node accepts no calls from peers; most calls are shorter. */
const executorDrainTime: Millis = 0.8 * second;
/** Part of the stop timeout that is reserved for announcing that the node has left. */
const stopReserve: Millis = 0.7 * second;
/** How long a node with a configuration waits for peers before it accepts calls without any. */
const peerWaitTimeout: Millis = second;
/** Number of missed announcements after which a backend server counts as gone. */
const maxMissedAnnouncements = 6;
/** Schedule of the speed probes; answers carry most of the speed readings without a probe. */
const speedProbes: ProbeRate = {
	period: 100,
	maxSpeedAge: 200,
	idleTimeout: second,
	defaultBudget: 150,
};
/** Maximum number of members of the zone, or of the deployment, up to which all are linked for load updates. */
const fullMeshMembers = 32;
/** Delay, and its random spread, before a link to a new member is opened without a call. */
const linkDelay: Millis = 2 * second;
const linkSpread: Millis = 4 * second;
/** Idle connections are closed this much later than callers stop reusing them. */
const idleMargin: Millis = second;
/** Share of the budget for further attempts that is reserved for hedges. */
const hedgeBudgetShare = 0.4;
/** Share of the common budget that is handed out, as nodes don't know how much the others spend. */
const usableBudgetShare = 0.8;

/** A node that routes calls by host and path and reads its configuration from the store. */
export class RoutedNode {
	readonly core: NodeCore;
	readonly keyedCalls = undefined;
	/** Quotas of the customers over all nodes. */
	readonly quotas: QuotaAgent;
	private placement: ObjectivePlacement | undefined;
	private readonly store: RoutedStore;
	private readonly feed: ConfigurationFeed;
	private readonly roster: Roster;
	private readonly ingress: Ingress;
	private readonly operatorServer = new OperatorServer();
	private readonly readinessServer = new OperatorServer();
	private readonly announcementServer = new OperatorServer();
	private readonly probe: BackendProbe;
	private readonly loadBroadcaster: LoadBroadcaster;
	private readonly pendingLinks = new Set<string>();
	private configuredAt: Millis | undefined;
	private lowestPriority = 0;
	/** Set once the node stops; a further signal waits for the same end. */
	private stopping: Promise<boolean> | undefined;

	constructor(
		private readonly settings: NodeSettings,
		private readonly clock: Clock,
		private readonly logger: Logger,
		private readonly adapters: RoutedNodeAdapters,
	) {
		this.core = new NodeCore(settings, clock, logger, this.createHooks());
		const {gossip, hub, revisions, metrics, random, executor, backend, runner} = this.core;
		const {source, backendProtocol} = adapters;
		this.store = adapters.createStore(metrics);
		const {store} = this;
		this.loadBroadcaster = new LoadBroadcaster({
			clock,
			gossip,
			hub,
			disabled: settings.disabled,
			report: () => executor.report(),
		});
		const {
			isFirstStart,
			backend: {service},
		} = settings;
		this.quotas = new QuotaAgent({
			clock,
			random,
			logger,
			metrics,
			gossip,
			revisions,
			settings: settings.quota,
			send: (to, message) => {
				this.core.sendQuotaMessage(to, message);
			},
		});
		this.roster = new Roster({clock, random, logger, gossip, store, service, isFirstStart});
		this.feed = new ConfigurationFeed({
			clock,
			random,
			logger,
			revisions,
			gossip,
			hub,
			store,
			source,
			evacuations: this.createEvacuationReader(),
			applyBound: settings.applyBound,
			isReader: () => mustReadStore(gossip, clock),
			readerSlot: () => findReaderSlot(gossip, clock),
		});
		this.probe = new BackendProbe({
			clock,
			metrics,
			revisions,
			backend,
			executor,
			protocol: backendProtocol,
			rate: speedProbes,
		});
		this.ingress = new Ingress({
			clock,
			metrics,
			logger,
			revisions,
			protocol: adapters.createCallerProtocol(
				(id) => executor.isRunningParentOf(id),
				(id) => this.core.placeCheck.regionsOfParent(id),
			),
			keyedCalls: undefined,
			quota: this.quotas,
			configuration: () => (this.core.isAcceptingCalls ? revisions.inForce : undefined),
			runCall: async (call) => runner.run(call),
			refuseAhead: async (call) => runner.refuseAhead(call),
		});
		revisions.registerListener((index) => {
			this.applyConfiguration(index);
		});
		gossip.registerListener((member) => {
			this.scheduleLink(member);
		});
		store.registerRestoreListener((era, previous) => {
			logger.log(logEvents.storeRestored, {era, previous});
			void this.roster.restoreRows();
		});
		registerOperatorRoutes(this.operatorServer, this);
		this.registerExplain();
		this.registerReadiness();
		adapters.registerAnnouncements(this.announcementServer, this);
	}

	/** State of the node in its lifecycle. */
	get state(): NodeState {
		return this.core.state;
	}

	/** Whether the platform store has answered recently. */
	get isStoreUp(): boolean {
		return this.feed.isStoreUp;
	}

	/** @returns what customers use at the ingress. */
	customerUses(): readonly CustomerUse[] {
		return this.ingress.customers.report();
	}

	/** Opens the ports and joins the other nodes. */
	async start(): Promise<void> {
		const {address, operatorPort, callerPort, readinessPort, announcementPort} = this.settings;
		this.feed.start();
		await this.core.listen();
		await this.ingress.listen(address, callerPort);
		if (readinessPort !== undefined) {
			await this.readinessServer.listen(address, readinessPort);
		}

		if (announcementPort !== undefined) {
			await this.announcementServer.listen(address, announcementPort);
		}

		this.core.startGossip();
		this.roster.start();
		await this.operatorServer.listen(address, operatorPort);
		this.probe.start();
		this.startZoneReports();
		this.findBackend();
		this.checkReady();
	}

	/**
	 * Stops gracefully: requests in flight finish within the stop timeout.
	 * @returns whether all requests in flight ended in time.
	 */
	async stop(): Promise<boolean> {
		this.stopping ??= this.leave();
		return this.stopping;
	}

	private async leave(): Promise<boolean> {
		const {clock} = this;
		const {lifecycle, backend, gossip, hub, executor} = this.core;
		const until = clock.now() + this.settings.stopTimeout - stopReserve;
		lifecycle.send({type: NodeEvent.StopRequested});
		this.logger.log(logEvents.nodeDraining, {
			inFlight: this.ingress.inFlight,
			running: executor.callCount,
		});
		this.ingress.drain();
		await pause(clock, readinessLingerTime - executorDrainTime);
		backend.drainNode();
		gossip.updateLocalMember({phase: MemberPhase.Draining});
		hub.broadcastLeaving();
		gossip.flush();
		await pause(clock, executorDrainTime);
		// While the backend server runs calls, it may make calls of its own through this ingress.
		this.ingress.refuseBeyond(until);
		await this.core.waitUntilIdle(() => executor.callCount, until);
		await closeIngress(this.core, this.ingress, until);
		const times = {notice: leaveNoticeTime, until};
		const {cut, running} = await depart(this.core, this.ingress, times);
		const isClean = cut + running === 0;
		this.closeAll();
		lifecycle.send({type: NodeEvent.Finished});
		this.logger.log(isClean ? logEvents.nodeStopped : logEvents.nodeStopForced, {cut, running});
		return isClean;
	}

	private createEvacuationReader(): EvacuationReader | undefined {
		const {source} = this.adapters;
		const {evacuations: zones} = this.core;
		const {logger} = this;
		const evacuatedZone = source.evacuatedZone?.bind(source);
		return evacuatedZone && new EvacuationReader({logger, zones, evacuatedZone});
	}

	private startZoneReports(): void {
		if (this.placement?.zones) {
			this.loadBroadcaster.startZoneReports();
		}
	}

	private findBackend(): void {
		const {clock, logger} = this;
		const {endpoint, service} = this.settings.backend;
		const {revisions, backend, executor} = this.core;
		if (endpoint) {
			const {backendProtocol: protocol} = this.adapters;
			const deps = {clock, logger, revisions, backend, executor, protocol, endpoint, service};
			new BackendFinder(deps).start();
		}
	}

	private createHooks(): NodeCoreHooks {
		const {settings} = this;
		return {
			backendProtocol: this.adapters.backendProtocol,
			announcementTimeout: settings.backend.announcePeriod * maxMissedAnnouncements,
			isRestart: !settings.isFirstStart,
			zoneGuard: {
				isFromOtherZone: (instance) => this.placement?.isFromOtherZone(instance) ?? false,
				roomForOtherZones: () => this.placement?.roomForOtherZones(),
				reportZone: (...loads) => this.placement?.reportZone(...loads),
			},
			createPlacement: (core) => this.createPlacement(core),
			budgetBursts: () => this.budgetBursts(),
			probeSpeed: async () => this.probe.probeNow(),
			handleLoadChanged: () => {
				this.loadBroadcaster.scheduleBroadcast();
				this.recordLocalLoad();
			},
			handleKnownRevisions: (known, from) => {
				this.feed.handleKnownRevisions(known, from);
			},
			handleHeldRevision: () => undefined,
			handleRumor: () => undefined,
			handleQuotaMessage: (message) => {
				this.quotas.handleMessage(message);
			},
			peerLoad: (id, load) => {
				this.placement?.recordLoad(id, load);
				this.core.runner.reconsiderHedges(id);
			},
			takeHandover: () => undefined,
			keyOwnerRunner: {run: async () => createUnknown(RefusalReason.KeyNotChecked)},
		};
	}

	private recordLocalLoad(): void {
		const {id, executor, runner} = this.core;
		this.placement?.recordLoad(id, executor.report());
		runner.reconsiderHedges(id);
	}

	private createPlacement({
		clock,
		gossip,
		random,
		evacuations: zones,
	}: NodeCore): ObjectivePlacement {
		const {
			otherZoneCost: otherZone,
			otherRegionCost: otherRegion,
			isSpilloverEnabled,
		} = this.settings.ways;
		this.placement = new ObjectivePlacement({
			clock,
			directory: gossip.directory,
			self: () => gossip.localMember,
			random,
			disabled: this.settings.disabled,
			costs: {otherZone, otherRegion},
			isSpilloverEnabled,
			zones,
			linkRate: this.settings.linkRate,
			lowestPriority: () => this.lowestPriority,
			onSpilloverChange: (change) => {
				this.handleSpilloverChange(change);
			},
		});
		return this.placement;
	}

	// Other zones must learn soon that this one is short, so that they send it no more calls.
	private handleSpilloverChange({service, share, isShort, ...change}: SpilloverChange): void {
		const {metrics, gossip} = this.core;
		metrics.spilloverShare.set({service}, share);
		metrics.zoneShort.set({service}, isShort ? 1 : 0);
		if (change.isShortChanged) {
			this.logger.log(isShort ? logEvents.zoneShort : logEvents.zoneSufficient, {service});
			if (service === gossip.localMember.service) {
				this.loadBroadcaster.scheduleBroadcast();
			}
		}

		if (change.isLeavingChanged) {
			const event = share > 0 ? logEvents.spilloverStarted : logEvents.spilloverEnded;
			this.logger.log(event, {service, share: Math.round(share * 100) / 100});
		}
	}

	// Each node uses an equal share of the slack that all nodes have in common in a window.
	private budgetBursts(): BudgetBursts {
		const nodes = Math.max(1, this.core.gossip.directory.countPresent());
		const share = (this.settings.budgets.slack * usableBudgetShare) / nodes;
		return {
			retries: Math.max(1, share * (1 - hedgeBudgetShare)),
			hedges: Math.max(1, share * hedgeBudgetShare),
		};
	}

	private applyConfiguration(index: DeclarationIndex): void {
		const {routes = [], customers = [], callerLimits} = index.declaration;
		const priorities = [...routes, ...customers].map(({priority = 0}) => priority);
		this.lowestPriority = Math.max(0, ...priorities);
		if (callerLimits) {
			this.ingress.setIdleTimeout(callerLimits.idleTimeout + idleMargin);
			this.ingress.setMaxHeaderBytes(callerLimits.maxHeaderBytes);
		}
	}

	// Links for load updates are opened ahead of calls, but not all at once: after a restart of many
	// nodes, waiting calls need the CPU more.
	private scheduleLink(member: Member): void {
		const {id} = member;
		if (this.core.id >= id || !isRoutable(member) || this.pendingLinks.has(id)) {
			return;
		}

		this.pendingLinks.add(id);
		this.clock.after(linkDelay + linkSpread * this.core.random.next(), () => {
			this.pendingLinks.delete(id);
			this.openLink(id);
		});
	}

	// Called on one node of each pair only, as a link opened by the other one would be a duplicate.
	private openLink(id: string): void {
		const {gossip, hub} = this.core;
		const member = gossip.directory.get(id);
		if (!member || !isRoutable(member)) {
			return;
		}

		const isSameZone = distanceBetween(gossip.localMember, member) === Distance.SameZone;
		const {directory} = gossip;
		const size = isSameZone ? directory.countInZone(member) : directory.size;
		if (size <= fullMeshMembers) {
			void hub.connect(id);
		}
	}

	private registerExplain(): void {
		this.operatorServer.registerHandler('POST /v1/explain', (body) => {
			const index = this.core.isAcceptingCalls ? this.core.revisions.inForce : undefined;
			return jsonReply(explainRequest(parseExplainedRequest(body), index, this.placement!));
		});
	}

	private registerReadiness(): void {
		this.readinessServer.registerHandler(this.adapters.readinessRoute, () => {
			const isReady = this.state === NodeState.Ready;
			return textReply(`${this.state}\n`, isReady ? 200 : 503);
		});
	}

	private checkReady(): void {
		if (this.state !== NodeState.Joining) {
			return;
		}

		if (this.isSynchronized()) {
			this.core.markReady();
			return;
		}

		this.clock.after(readyPollPeriod, () => {
			this.checkReady();
		});
	}

	private isSynchronized(): boolean {
		const {revisions, gossip} = this.core;
		if (revisions.inForce === undefined) {
			return false;
		}

		const now = this.clock.now();
		this.configuredAt ??= now;
		const others = [...gossip.directory.all()].filter((member) => isPresent(member)).length - 1;
		return others > 0 || now - this.configuredAt >= peerWaitTimeout;
	}

	private closeAll(): void {
		this.feed.stop();
		this.roster.stop();
		this.core.close();
		this.operatorServer.close();
		this.readinessServer.close();
		this.announcementServer.close();
		this.store.close();
	}
}
