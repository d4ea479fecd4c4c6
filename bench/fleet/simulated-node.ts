import type {LoadReport, ZoneReport} from '../../src/call/index.js';
import {second, type Clock, type Millis} from '../../src/clock/index.js';
import type {Attempt, AttemptResult} from '../../src/exchange/index.js';
import {Executor} from '../../src/executor/index.js';
import type {DisabledMechanisms} from '../../src/experiment/index.js';
import {CallRunner, ElapsedEstimator} from '../../src/ingress/index.js';
import type {LinkHub} from '../../src/link/index.js';
import type {Directory, Gossip, Member} from '../../src/membership/index.js';
import {LoadBroadcaster} from '../../src/node/load-broadcaster.js';
import type {Random} from '../../src/random/index.js';
import {
	ObjectivePlacement,
	type ObjectivePlacementDependencies,
	type Placement,
} from '../../src/routing/index.js';
import {silentLogger, type Metrics} from '../../src/telemetry/index.js';
import {SimulatedBackend} from './simulated-backend.js';
import type {CallKind, Deployment, Episode} from './workload.js';

/** Collaborators of {@link SimulatedNode}. */
export interface SimulatedNodeDependencies {
	readonly clock: Clock;
	readonly random: Random;
	readonly metrics: Metrics;
	readonly directory: Directory;
	readonly deployment: Deployment;
	readonly episode: Episode;
	/** Time at which the episode begins. */
	readonly origin: Millis;
	readonly disabled: DisabledMechanisms;
	readonly lowestPriority: number;
	readonly createPlacement: PlacementFactory;
	/** @returns the load of an executor at this moment, with attempts that are on their way. */
	trueLoad(id: string): LoadReport;
	/** @returns the kind of a call by the name of its route. */
	kindOf(route: string): CallKind;
	/** @returns whether a call that the backend server makes while it runs `parent` succeeds. */
	callNested(kind: string, parent: Attempt): Promise<boolean>;
	/** @returns the number of nodes, which share the budget for further attempts. */
	countNodes(): number;
	/** Delivers an attempt to the executor of a node. */
	deliver(id: string, attempt: Attempt): Promise<AttemptResult>;
	/** Sends a load report to the nodes for which `isAllowed` returns true. */
	broadcastLoad(load: LoadReport, isAllowed: (peer: Member) => boolean): void;
}

/** Placement of a simulated node. */
export interface SimulatedPlacement extends Placement {
	recordLoad(id: string, load: LoadReport): void;
	isFromOtherZone(instance: string): boolean;
	roomForOtherZones(): number | undefined;
	reportZone(load: number, otherLoad: number): ZoneReport | undefined;
}

/** Creates the placement of a node. */
export type PlacementFactory = (
	deps: ObjectivePlacementDependencies,
	trueLoad: (id: string) => LoadReport,
) => SimulatedPlacement;

/**
 * @param deps - collaborators of the placement.
 * @returns the placement that real nodes use.
 */
export function createObjectivePlacement(deps: ObjectivePlacementDependencies): ObjectivePlacement {
	return new ObjectivePlacement(deps);
}

/** Maximum number of queued calls of an executor. */
export const maxQueue = 40;
const limitsPeriod: Millis = 400;
const probePeriod: Millis = 100;
const probeDuration: Millis = 1;
const maxSpeedAge: Millis = 200;
const maxIdleTime: Millis = second;
/** Further attempts that all nodes in common may accumulate. */
const retrySlack = 29;
const hedgeSlack = 19;

/** A node of a simulation: real decisions beside a simulated backend server. */
export class SimulatedNode {
	readonly executor: Executor;
	readonly placement: SimulatedPlacement;
	readonly runner: CallRunner;
	readonly elapsed = new ElapsedEstimator();
	private readonly backend: SimulatedBackend;
	private readonly broadcaster: LoadBroadcaster;

	constructor(
		readonly member: Member,
		index: number,
		private readonly deps: SimulatedNodeDependencies,
	) {
		const {clock, metrics, directory, deployment, disabled, random} = deps;
		this.backend = new SimulatedBackend(member.service, member.slots, index, deps);
		const placementDeps: ObjectivePlacementDependencies = {
			clock,
			directory,
			self: () => member,
			random,
			disabled,
			costs: {otherZone: deployment.otherZoneCost, otherRegion: deployment.otherRegionCost},
			lowestPriority: () => deps.lowestPriority,
			onSpilloverChange: ({isShortChanged}) => {
				if (isShortChanged) {
					this.broadcaster.scheduleBroadcast();
				}
			},
		};
		this.placement = deps.createPlacement(placementDeps, (id) => deps.trueLoad(id));
		this.broadcaster = this.createBroadcaster();
		this.executor = this.createExecutor();
		this.runner = new CallRunner({
			clock,
			metrics,
			logger: silentLogger,
			disabled,
			promises: new Set(),
			placement: this.placement,
			instance: member.id,
			budgetBursts: () => ({
				retries: retrySlack / deps.countNodes(),
				hedges: hedgeSlack / deps.countNodes(),
			}),
			runnerTo: (id) => ({run: async (attempt) => deps.deliver(id, attempt)}),
		});
		this.start();
	}

	/** Current slowdown of the backend server. */
	get trueSlowdown(): number {
		return this.backend.slowdown;
	}

	/**
	 * Records a load report of another node.
	 * @param id - the other node.
	 * @param load - its report.
	 */
	recordLoad(id: string, load: LoadReport): void {
		this.placement.recordLoad(id, load);
		this.runner.reconsiderHedges(id);
	}

	/**
	 * @param duration - length of a window, in ms.
	 * @returns the most calls that the backend server got in such a window while it named a rate limit.
	 */
	mostLimitedStarts(duration: Millis): number {
		return this.backend.mostLimitedStarts(duration);
	}

	private createExecutor(): Executor {
		const {clock, metrics, disabled} = this.deps;
		return new Executor({
			clock,
			metrics,
			logger: silentLogger,
			disabled,
			zoneGuard: {
				isFromOtherZone: (instance) => this.placement.isFromOtherZone(instance),
				roomForOtherZones: () => this.placement.roomForOtherZones(),
				reportZone: (...loads) => this.placement.reportZone(...loads),
			},
			createSender: () => this.backend,
			crashWatch: {
				isHeld: () => false,
				recordAnswered: () => undefined,
				recordBroken: () => undefined,
			},
			onBackendUnreachable: () => undefined,
			onBackendLeaving: () => undefined,
			onLoadChanged: () => {
				this.broadcaster.scheduleBroadcast();
				this.recordLoad(this.member.id, this.executor.report());
			},
			probeSpeed: async () => this.probeSpeed(),
		});
	}

	private createBroadcaster(): LoadBroadcaster {
		const {clock, disabled, directory, broadcastLoad} = this.deps;
		const hub: Pick<LinkHub, 'broadcastLoad'> = {
			broadcastLoad(load, isRecipient) {
				broadcastLoad(load, ({id}) => isRecipient({id, instance: id, region: ''}, false));
			},
		};
		return new LoadBroadcaster({
			clock,
			disabled,
			gossip: {directory, localMember: this.member} as unknown as Gossip,
			hub: hub as LinkHub,
			report: () => this.executor.report(),
		});
	}

	private start(): void {
		const {member, executor} = this;
		const {clock} = this.deps;
		const endpoint = {address: '127.0.0.1', port: 1};
		executor.attach({endpoint, instance: member.id, connections: member.slots}, member.service);
		this.applyLimits();
		this.broadcaster.startZoneReports();
		clock.repeat(limitsPeriod, () => {
			this.applyLimits();
		});
		clock.repeat(probePeriod, () => {
			if (executor.speedAge >= maxSpeedAge && executor.idleTime <= maxIdleTime) {
				void this.probeSpeed();
			}
		});
	}

	private applyLimits(): void {
		const {slowdown} = this.deps.deployment.cold;
		this.executor.setWarmUp(this.backend.warmUpLeft > 0 ? slowdown : 1);
		this.executor.setLimits(this.member.slots, maxQueue);
	}

	private async probeSpeed(): Promise<void> {
		const sentAt = this.deps.clock.now();
		await new Promise<void>((resolve) => {
			this.deps.clock.after(probeDuration, resolve);
		});
		const {rateLimit, slowdown} = this.backend;
		this.executor.readNotice(this.member.id, {rateLimit, isLeaving: false}, sentAt);
		this.executor.readSpeed(slowdown);
	}
}
