import {second, type Clock, type Millis} from '../clock/index.js';
import {
	ConfigurationFeed,
	mustReadStore,
	Roster,
	type ConfigurationSource,
} from '../control/index.js';
import type {DeclarationIndex} from '../declaration/index.js';
import {createUnknown} from '../exchange/index.js';
import {RefusalReason} from '../call/index.js';
import type {BackendProtocol} from '../executor/index.js';
import {Ingress, type BudgetBursts, type CallerProtocol} from '../ingress/index.js';
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
import {LoadBroadcaster} from '../node/load-news.js';
import {NodeEvent, NodeState} from '../node/node-lifecycle.js';
import {OperatorServer, textReply} from '../operations/index.js';
import {ObjectivePlacement} from '../routing/index.js';
import type {NodeSettings} from '../settings/index.js';
import type {RowFeed, TableService} from '../store/index.js';
import {logEvents, type Logger, type Metrics} from '../telemetry/index.js';
import {pause} from '../util/index.js';
import {NodeCore, type NodeCoreHooks} from './node-core.js';
import {registerOperatorRoutes} from './operator-routes.js';

/** What a routed node needs of the platform's store. */
export type RoutedStore = TableService & RowFeed & {close(): void};

/** How a routed node speaks to what surrounds it. */
export interface RoutedNodeAdapters {
	readonly source: ConfigurationSource;
	readonly backendProtocol: BackendProtocol;
	/** Path of the question whether the node is ready, with its method. */
	readonly readinessRoute: string;
	/**
	 * @param metrics - counts what is asked.
	 * @returns the client of the platform's store.
	 */
	createStore(metrics: Metrics): RoutedStore;
	/**
	 * @param isNestedCall - tells by its id whether a request is part of another one.
	 * @returns the protocol towards callers.
	 */
	createCallerProtocol(isNestedCall: (requestId: string) => boolean): CallerProtocol;
	/** Registers what the backend server may say of itself. */
	registerAnnouncements(server: OperatorServer, node: RoutedNode): void;
}

const readyPollPeriod: Millis = 25;
const farewellTime: Millis = 200;
/** Two questions for readiness, a second apart, and the way of what was sent before the second. */
const lingerTime: Millis = 2.6 * second;
/** How long before its end a node that stops takes no more work from others; most calls are shorter. */
const handBackTime: Millis = 0.8 * second;
/** Kept back from the time to stop, for the farewell. */
const stopReserve: Millis = 0.7 * second;
/** A node that has its configuration waits so long for peers before it takes calls alone. */
const peerWait: Millis = second;
/** Announcements that may be missed before a backend server counts as gone. */
const missedAnnouncements = 6;
/** Speed readings a second that are wanted; answers bring most of them for nothing. */
const speedProbes: ProbeRate = {
	period: 100,
	maxSpeedAge: 200,
	idleTimeout: second,
	defaultBudget: 150,
};
/** Up to so many members of the zone, or of all, a node keeps a link to each, so that load news reach it. */
const fullMeshMembers = 32;
/** How long after a member was found a link to it is opened that no call has opened, and the spread. */
const linkDelay: Millis = 2 * second;
const linkSpread: Millis = 4 * second;
/** Connections stay open longer than callers may use them idle. */
const idleMargin: Millis = second;
/** Part of the budget for further attempts that goes to second attempts beside slow ones. */
const hedgePart = 0.4;
/** Part of the shared budget that is handed out, as nodes don't know what the others spend. */
const budgetPart = 0.8;

/** A node whose callers are routed by host and path, and whose configuration lies in the store. */
export class RoutedNode {
	readonly core: NodeCore;
	readonly keyedCalls = undefined;
	private placement: ObjectivePlacement | undefined;
	private readonly store: RoutedStore;
	private readonly feed: ConfigurationFeed;
	private readonly roster: Roster;
	private readonly ingress: Ingress;
	private readonly operators = new OperatorServer();
	private readonly readiness = new OperatorServer();
	private readonly announcements = new OperatorServer();
	private readonly probe: BackendProbe;
	private readonly news: LoadBroadcaster;
	private readonly linking = new Set<string>();
	private informedAt: Millis | undefined;
	private lowestPriority = 0;

	constructor(
		private readonly settings: NodeSettings,
		private readonly clock: Clock,
		private readonly logger: Logger,
		private readonly surroundings: RoutedNodeAdapters,
	) {
		this.core = new NodeCore(settings, clock, logger, this.createHooks());
		const {gossip, hub, revisions: keeper, metrics, random, executor, backend, runner} = this.core;
		const {source, backendProtocol} = surroundings;
		this.store = surroundings.createStore(metrics);
		const {store} = this;
		this.news = new LoadBroadcaster({clock, gossip, hub, report: () => executor.report()});
		const {
			isFirstStart,
			backend: {service},
		} = settings;
		this.roster = new Roster({clock, random, logger, gossip, store, service, isFirstStart});
		this.feed = new ConfigurationFeed({
			clock,
			random,
			logger,
			revisions: keeper,
			gossip,
			hub,
			store,
			source,
			isReader: () => mustReadStore(gossip, clock),
		});
		this.probe = new BackendProbe({
			clock,
			metrics,
			revisions: keeper,
			backend,
			executor,
			protocol: backendProtocol,
			rate: speedProbes,
		});
		this.ingress = new Ingress({
			clock,
			metrics,
			logger,
			protocol: surroundings.createCallerProtocol((id) => executor.isRunningParentOf(id)),
			keyedCalls: undefined,
			configuration: () => (this.core.isAcceptingCalls ? keeper.inForce : undefined),
			runCall: async (call) => runner.run(call),
		});
		keeper.registerListener((index) => {
			this.applyConfiguration(index);
		});
		gossip.registerListener((member) => {
			this.linkLater(member);
		});
		registerOperatorRoutes(this.operators, this);
		this.registerReadiness();
		surroundings.registerAnnouncements(this.announcements, this);
	}

	/** Where the node is between start and stop. */
	get state(): NodeState {
		return this.core.state;
	}

	/** Whether the platform's store has answered of late. */
	get isStoreUp(): boolean {
		return this.feed.isStoreUp;
	}

	/** Opens the ports and joins the others. */
	async start(): Promise<void> {
		const {address, operatorPort, callerPort, readinessPort, announcementPort} = this.settings;
		this.feed.start();
		await this.core.listen();
		await this.ingress.listen(address, callerPort);
		if (readinessPort !== undefined) {
			await this.readiness.listen(address, readinessPort);
		}

		if (announcementPort !== undefined) {
			await this.announcements.listen(address, announcementPort);
		}

		this.core.startGossip();
		this.roster.start();
		await this.operators.listen(address, operatorPort);
		this.probe.start();
		this.findBackend();
		this.checkReady();
	}

	/**
	 * Stops gracefully: no request in flight is cut.
	 * @returns whether everything in flight has ended in time.
	 */
	async stop(): Promise<boolean> {
		if (this.state === NodeState.Draining || this.state === NodeState.Stopped) {
			return true;
		}

		const {clock} = this;
		const {lifecycle, backend, gossip, hub, executor} = this.core;
		const until = clock.now() + this.settings.stopTimeout - stopReserve;
		lifecycle.send({type: NodeEvent.StopRequested});
		this.logger.log(logEvents.nodeDraining, {
			inFlight: this.ingress.inFlight,
			running: executor.callCount,
		});
		this.ingress.drain();
		await pause(clock, lingerTime - handBackTime);
		backend.drainNode();
		gossip.updateLocalMember({phase: MemberPhase.Draining});
		hub.broadcastLeaving();
		gossip.flush();
		await pause(clock, handBackTime);
		// The backend server's own calls come in here as long as it works.
		await this.core.waitUntilIdle(() => executor.callCount, until);
		this.ingress.close();
		const isClean = await this.core.waitUntilIdle(
			() => this.ingress.inFlight + executor.callCount + hub.callsInFlight,
			until,
		);
		gossip.updateLocalMember({phase: MemberPhase.Left});
		gossip.flush();
		await pause(clock, farewellTime);
		this.closeAll();
		lifecycle.send({type: NodeEvent.Finished});
		this.logger.log(isClean ? logEvents.nodeStopped : logEvents.nodeStopForced);
		return isClean;
	}

	private findBackend(): void {
		const {clock, logger} = this;
		const {endpoint, service} = this.settings.backend;
		const {revisions: revisions, backend} = this.core;
		if (endpoint) {
			const {backendProtocol: protocol} = this.surroundings;
			const parts = {clock, logger, revisions: revisions, backend, protocol, endpoint, service};
			new BackendFinder(parts).start();
		}
	}

	private createHooks(): NodeCoreHooks {
		const {settings} = this;
		return {
			backendProtocol: this.surroundings.backendProtocol,
			announcementTimeout: settings.backend.announcePeriod * missedAnnouncements,
			isRestart: !settings.isFirstStart,
			createPlacement: (core) => this.createPlacement(core),
			budgetBursts: () => this.budgetBursts(),
			probeSpeed: async () => this.probe.probeNow(),
			handleLoadChanged: () => {
				this.news.scheduleBroadcast();
				this.noteOwnLoad();
			},
			handleKnownRevisions: (news, from) => {
				this.feed.handleKnownRevisions(news, from);
			},
			handleHeldRevision: () => undefined,
			handleRumor: () => undefined,
			peerLoad: (id, load) => {
				this.placement?.recordLoad(id, load);
				this.core.runner.reconsiderHedges(id);
			},
			takeHandover: () => undefined,
			keyOwnerRunner: {run: async () => createUnknown(RefusalReason.KeyNotChecked)},
		};
	}

	private noteOwnLoad(): void {
		const {id, executor, runner} = this.core;
		this.placement?.recordLoad(id, executor.report());
		runner.reconsiderHedges(id);
	}

	private createPlacement({clock, gossip, random}: NodeCore): ObjectivePlacement {
		const {otherZoneCost: otherZone, otherRegionCost: otherRegion} = this.settings.ways;
		this.placement = new ObjectivePlacement({
			clock,
			directory: gossip.directory,
			self: () => gossip.localMember,
			random,
			costs: {otherZone, otherRegion},
			lowestPriority: () => this.lowestPriority,
		});
		return this.placement;
	}

	// Each node hands out its part of the slack that all nodes together have in a window.
	private budgetBursts(): BudgetBursts {
		const nodes = Math.max(1, this.core.gossip.directory.countPresent());
		const part = (this.settings.budgets.slack * budgetPart) / nodes;
		return {retries: Math.max(1, part * (1 - hedgePart)), hedges: Math.max(1, part * hedgePart)};
	}

	private applyConfiguration(index: DeclarationIndex): void {
		const {routes = [], callerLimits} = index.declaration;
		this.lowestPriority = Math.max(0, ...routes.map(({priority}) => priority));
		if (callerLimits) {
			this.ingress.setIdleTimeout(callerLimits.idleTimeout + idleMargin);
		}
	}

	// Links for load news are opened ahead of the calls, but not all at once: after a restart of many
	// nodes the calls that wait need the processor more.
	private linkLater(member: Member): void {
		const {id} = member;
		if (this.core.id >= id || !isRoutable(member) || this.linking.has(id)) {
			return;
		}

		this.linking.add(id);
		this.clock.after(linkDelay + linkSpread * this.core.random.next(), () => {
			this.linking.delete(id);
			this.linkTo(id);
		});
	}

	// One of two nodes opens the link: the other one would only open a second.
	private linkTo(id: string): void {
		const {gossip, hub} = this.core;
		const member = gossip.directory.get(id);
		if (!member || !isRoutable(member)) {
			return;
		}

		const isNear = distanceBetween(gossip.localMember, member) === Distance.SameZone;
		const {directory} = gossip;
		const size = isNear ? directory.countInZone(member) : directory.size;
		if (size <= fullMeshMembers) {
			void hub.connect(id);
		}
	}

	private registerReadiness(): void {
		this.readiness.registerHandler(this.surroundings.readinessRoute, () => {
			const isReady = this.state === NodeState.Ready;
			return textReply(`${this.state}\n`, isReady ? 200 : 503);
		});
	}

	private checkReady(): void {
		if (this.state !== NodeState.Joining) {
			return;
		}

		if (this.isInformed()) {
			this.core.markReady();
			return;
		}

		this.clock.after(readyPollPeriod, () => {
			this.checkReady();
		});
	}

	private isInformed(): boolean {
		const {revisions: keeper, gossip} = this.core;
		if (keeper.inForce === undefined) {
			return false;
		}

		const now = this.clock.now();
		this.informedAt ??= now;
		const others = [...gossip.directory.all()].filter((member) => isPresent(member)).length - 1;
		return others > 0 || now - this.informedAt >= peerWait;
	}

	private closeAll(): void {
		this.feed.stop();
		this.roster.stop();
		this.core.close();
		this.operators.close();
		this.readiness.close();
		this.announcements.close();
		this.store.close();
	}
}
