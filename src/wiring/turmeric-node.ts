import {
	ClaimSweeper,
	ClaimWriter,
	KeyedCalls,
	KeyOwners,
	sweepPeriod,
	type KeyOwner,
} from '../claims/index.js';
import {second, type Clock, type Millis} from '../clock/index.js';
import {DeclarationStore, RevisionAgent} from '../control/index.js';
import {TurmericBackendProtocol} from '../executor/index.js';
import {
	Ingress,
	type CustomerUse,
	NearestFirstPlacement,
	TurmericCallerProtocol,
} from '../ingress/index.js';
import {isPresent, MemberPhase} from '../membership/index.js';
import {BackendProbe, crossCheckRate} from '../node/backend-probe.js';
import {NodeEvent, NodeState} from '../node/node-lifecycle.js';
import {OperatorServer} from '../operations/index.js';
import {ExpectedWaitPolicy} from '../routing/index.js';
import {formatEndpoint, type NodeSettings} from '../settings/index.js';
import {GuardedStore, type ObjectStore, type TableService} from '../store/index.js';
import {logEvents, type Logger, type Metrics} from '../telemetry/index.js';
import {pause} from '../util/index.js';
import {closeIngress, depart} from './departure.js';
import {NodeCore, type NodeCoreHooks} from './node-core.js';
import {registerOperatorRoutes} from './operator-routes.js';

const joinPeriod: Millis = 500;
const rejoinPeriod: Millis = 30 * second;
const readyPollPeriod: Millis = 50;
/** Time for the last gossip messages to be sent before the sockets close. */
const leaveNoticeTime: Millis = 300;
/** How long a stopping node still accepts calls while callers and peers learn that it leaves. */
const lingerTime: Millis = second;
/** Bursts of further attempts that one node can save up per service. */
const budgetBursts = {retries: 10, hedges: 10};

/** Platform store that a node uses. */
export type NodeStore = TableService & ObjectStore & {close(): void};

/** A node with idempotency keys: connects its components, starts and stops them. */
export class TurmericNode {
	readonly core: NodeCore;
	readonly keyedCalls: KeyedCalls;
	readonly keyOwner: KeyOwner;
	private readonly store: GuardedStore | undefined;
	private readonly storeClient: NodeStore | undefined;
	private readonly revisionAgent: RevisionAgent;
	private readonly ingress: Ingress;
	/** Set once the node stops; a further signal waits for the same end. */
	private stopping: Promise<boolean> | undefined;
	private readonly operatorServer = new OperatorServer();
	private readonly probe: BackendProbe;
	private readonly keyOwners: KeyOwners;

	constructor(
		private readonly settings: NodeSettings,
		private readonly clock: Clock,
		private readonly logger: Logger,
		/** Creates the client of the platform store; returns undefined for a node without a store. */
		createStore: (metrics: Metrics) => NodeStore | undefined,
	) {
		this.core = new NodeCore(settings, clock, logger, this.createHooks());
		const {id, instance, gossip, hub, revisions, metrics, runner} = this.core;
		this.keyOwner = {id, instance};
		this.probe = new BackendProbe({
			clock,
			metrics,
			revisions,
			backend: this.core.backend,
			executor: this.core.executor,
			protocol: new TurmericBackendProtocol(),
			rate: crossCheckRate,
		});
		this.storeClient = createStore(metrics);
		this.store = this.createGuardedStore();
		this.revisionAgent = new RevisionAgent({
			clock,
			random: this.core.random,
			logger,
			revisions,
			gossip,
			hub,
			applyBound: settings.applyBound,
			store: this.store && new DeclarationStore(this.store),
		});
		this.keyOwners = new KeyOwners({
			self: this.keyOwner,
			gossip,
			hub,
			revisions,
			store: this.store,
		});
		this.keyedCalls = this.createKeyedCalls();
		this.ingress = new Ingress({
			clock,
			metrics,
			logger,
			revisions,
			protocol: new TurmericCallerProtocol(instance),
			keyedCalls: this.keyedCalls,
			configuration: () => (this.core.isAcceptingCalls ? revisions.inForce : undefined),
			runCall: async (call) => runner.run(call),
		});
		gossip.registerListener((member) => {
			this.revisionAgent.handleMemberChange(member);
		});
		registerOperatorRoutes(this.operatorServer, this);
	}

	/** State of the node in its lifecycle. */
	get state(): NodeState {
		return this.core.state;
	}

	/** Whether the platform store has answered recently; undefined without a store. */
	get isStoreUp(): boolean | undefined {
		return this.store?.isUp;
	}

	/** @returns what customers use at the ingress. */
	customerUses(): readonly CustomerUse[] {
		return this.ingress.customers.report();
	}

	/** Opens the ports and joins the other nodes. */
	async start(): Promise<void> {
		const {address, operatorPort, callerPort} = this.settings;
		await this.core.listen();
		await this.operatorServer.listen(address, operatorPort);
		await this.ingress.listen(address, callerPort);
		this.core.startGossip();
		this.startJoining();
		this.revisionAgent.start();
		this.probe.start();
		this.startSweeping();
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
		const {lifecycle, backend, gossip, hub} = this.core;
		lifecycle.send({type: NodeEvent.StopRequested});
		this.logger.log(logEvents.nodeDraining);
		backend.drainNode();
		gossip.updateLocalMember({phase: MemberPhase.Draining});
		hub.broadcastLeaving();
		gossip.flush();
		this.ingress.drain();
		await pause(this.clock, lingerTime);
		const until = this.clock.now() + this.settings.stopTimeout;
		this.ingress.refuseBeyond(until);
		await closeIngress(this.core, this.ingress, until);
		if (this.keyedCalls.size > 0) {
			await this.keyOwners.handOver(this.keyedCalls.exportRecords());
		}

		const times = {notice: leaveNoticeTime, until};
		const {cut, running} = await depart(this.core, this.ingress, times);
		const isClean = cut + running === 0;
		this.closeAll();
		lifecycle.send({type: NodeEvent.Finished});
		this.logger.log(isClean ? logEvents.nodeStopped : logEvents.nodeStopForced, {cut, running});
		return isClean;
	}

	private createHooks(): NodeCoreHooks {
		return {
			backendProtocol: new TurmericBackendProtocol(),
			announcementTimeout: undefined,
			isRestart: false,
			createPlacement({clock, random, gossip, revisions, evacuations: zones}) {
				const routing = new ExpectedWaitPolicy({clock, random, self: () => gossip.localMember});
				return new NearestFirstPlacement({clock, gossip, routing, revisions, zones});
			},
			budgetBursts: () => budgetBursts,
			// Backend servers of the native protocol don't report their speed.
			probeSpeed: async () => undefined,
			handleLoadChanged: () => undefined,
			handleKnownRevisions: (known, from) => {
				this.revisionAgent.handleKnownRevisions(known, from);
			},
			handleHeldRevision: (held) => {
				this.revisionAgent.handleHeldReport(held);
			},
			handleRumor: (rumor) => {
				this.keyOwners.handleRumor(rumor);
			},
			peerLoad: () => undefined,
			takeHandover: (_from, records) => {
				this.keyedCalls.importRecords(records);
			},
			keyOwnerRunner: {
				run: async (attempt) =>
					this.keyedCalls.runAttempt(attempt, this.keyOwners.createCall(attempt)),
			},
		};
	}

	private createGuardedStore(): GuardedStore | undefined {
		const {clock, random, logger} = this.core;
		const {storeClient: store} = this;
		return store && new GuardedStore({store, clock, random, logger});
	}

	private createKeyedCalls(): KeyedCalls {
		const {clock, keyOwner, store} = this;
		return new KeyedCalls({
			clock,
			self: keyOwner,
			claims: store && new ClaimWriter({clock, store, self: keyOwner}),
			runCall: async (call) => this.core.runner.run(call),
			sendToOwner: async (to, call) => this.keyOwners.send(to, call),
			findSuccessor: async (from) => this.keyOwners.findSuccessor(from),
		});
	}

	private startSweeping(): void {
		const {store} = this;
		if (!store) {
			return;
		}

		const sweeper = new ClaimSweeper(this.clock, store);
		this.clock.repeat(sweepPeriod, () => {
			if (this.revisionAgent.isReader) {
				void sweeper.sweep();
			}
		});
	}

	private startJoining(): void {
		void this.joinSeeds();
		this.clock.repeat(joinPeriod, () => {
			if (this.core.gossip.directory.countPresent() <= 1) {
				void this.joinSeeds();
			}
		});
		this.clock.repeat(rejoinPeriod, () => {
			void this.joinSeeds();
		});
	}

	private async joinSeeds(): Promise<void> {
		const {gossip} = this.core;
		const seeds = this.settings.seeds.map((seed) => formatEndpoint(seed));
		for (const seed of [...seeds, ...(await this.readStoredSeeds())]) {
			const member = gossip.directory.get(seed);
			if (seed !== this.keyOwner.id && !(member && isPresent(member))) {
				gossip.join(seed);
			}
		}
	}

	private async readStoredSeeds(): Promise<string[]> {
		if (!this.store?.isUp) {
			return [];
		}

		try {
			return await new DeclarationStore(this.store).seeds();
		} catch (err) {
			this.logger.log(logEvents.rosterUnavailable, {error: String(err)});
			return [];
		}
	}

	private checkReady(): void {
		if (this.state !== NodeState.Joining) {
			return;
		}

		if (this.revisionAgent.isCaughtUp) {
			this.core.markReady();
			return;
		}

		this.clock.after(readyPollPeriod, () => {
			this.checkReady();
		});
	}

	private closeAll(): void {
		this.revisionAgent.stop();
		this.core.close();
		this.operatorServer.close();
		this.storeClient?.close();
	}
}
