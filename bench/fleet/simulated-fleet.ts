import {Deadline, RefusalReason, type LoadReport} from '../../src/call/index.js';
import {second, type Millis} from '../../src/clock/index.js';
import {DeclarationIndex, type CallPolicy} from '../../src/declaration/index.js';
import {
	AttemptEnd,
	Cancellation,
	createBufferedBody,
	createUnknown,
	type Attempt,
	type AttemptResult,
	type Call,
	type CallEnd,
} from '../../src/exchange/index.js';
import {Mechanism, noneDisabled, type DisabledMechanisms} from '../../src/experiment/index.js';
import {
	createLocalMember,
	Directory,
	Distance,
	distanceBetween,
	Liveness,
	MemberPhase,
	type Member,
} from '../../src/membership/index.js';
import {createRandom, type Random} from '../../src/random/index.js';
import {zoneOf} from '../../src/routing/index.js';
import {Metrics} from '../../src/telemetry/index.js';
import {EventClock} from '../event-clock.js';
import {FlowRecorder, type FlowOutcome} from './flow-recorder.js';
import {
	createObjectivePlacement,
	maxQueue,
	SimulatedNode,
	type PlacementFactory,
} from './simulated-node.js';
import type {CallKind, Deployment, Episode, SimulatedService} from './workload.js';

/** Outcomes of the calls that began in one window of time. */
export interface WindowOutcome {
	asked: number;
	inTime: number;
	late: number;
	refused: number;
	failed: number;
	/** Worth of all calls, and of the answers: a late one counts a tenth. */
	worthAsked: number;
	worthEarned: number;
}

/** Outcome of a simulation. */
export interface FleetOutcome {
	readonly windows: readonly WindowOutcome[];
	readonly attempts: number;
	readonly hedges: number;
	/** Most calls in 4 s at a backend server that names a rate limit. */
	readonly mostLimitedStarts: number;
	/** Calls and bytes between zones. */
	readonly flows: FlowOutcome;
}

const limitWindow: Millis = 4 * second;
const windowLength: Millis = 2 * second;
/** One-way delay between two nodes, by distance, in ms. */
const oneWay: Readonly<Record<Distance, Millis>> = {
	[Distance.SameZone]: 0.4,
	[Distance.SameRegion]: 1.6,
	[Distance.OtherRegion]: 8.3,
};
/** One-way delay between a caller and a node. */
const callerOneWay: Millis = 8;
/** Worth of a late answer relative to one in time. */
const lateWorth = 0.1;
/** Simulated time before an episode that does not begin with a start of all nodes. */
const warmUpTime: Millis = 6 * second;
/** Share of its time left for which a caller honours `Retry-After`. */
const callerRetryShare = 1 / 3;
/** Callers set time limits up to this share below the time-out of the route. */
const patienceSpread = 0.15;
/** Further attempts allowed as a share of the calls. */
const retryShare = 0.09;
const hedgeShare = 0.06;
const maxAttempts = 3;
/** Time left below which a caller does not try again. */
const minRetryTime: Millis = 20;
const serverErrorStatus = 500;

/** Time until an attempt to a zone that is cut off counts as lost. */
const lossDetectionTime: Millis = 150;
/** Time until the members of a zone that is cut off are known to be absent. */
const lossConfirmTime: Millis = second;
/** Longest time for which a gap between two arrivals is drawn; the rate may rise meanwhile. */
const maxArrivalGap: Millis = 200;

function createWindow(): WindowOutcome {
	return {asked: 0, inTime: 0, late: 0, refused: 0, failed: 0, worthAsked: 0, worthEarned: 0};
}

/**
 * Simulates the nodes of a deployment with their real placement, admission and retries. Links, backend
 * servers and callers are simulated, and all nodes know the members.
 */
export class SimulatedFleet {
	private readonly clock = new EventClock();
	private readonly random: Random;
	/** Directory of the nodes of each zone: a zone that is cut off sees other members than the others. */
	private readonly directories: readonly Directory[];
	private readonly flows: FlowRecorder;
	private readonly nodesOfZone: SimulatedNode[][] = [];
	/** Time from which a node accepts the next load report of another one. */
	private readonly nextReports = new Map<string, Millis>();
	/** Attempts that are on their way to a node, by its id. */
	private readonly underway = new Map<string, number>();
	private readonly nodes: SimulatedNode[] = [];
	private readonly byId = new Map<string, SimulatedNode>();
	private readonly kinds = new Map<string, CallKind>();
	private readonly metrics = new Metrics();
	private readonly index: DeclarationIndex;
	private readonly windows: WindowOutcome[] = [];
	private readonly lowestPriority: number;
	private readonly origin: Millis;
	private requests = 0;
	private attempts = 0;

	constructor(
		private readonly deployment: Deployment,
		private readonly episode: Episode,
		seed: number,
		private readonly disabled: DisabledMechanisms = noneDisabled,
		private readonly createPlacement: PlacementFactory = createObjectivePlacement,
	) {
		this.directories = deployment.zones.map(() => new Directory());
		this.flows = new FlowRecorder(deployment);
		this.random = createRandom(seed);
		this.origin = episode.isColdStart ? 0 : warmUpTime;
		for (const kind of deployment.kinds) {
			this.kinds.set(kind.name, kind);
		}

		this.lowestPriority = Math.max(...deployment.kinds.map(({priority}) => priority));
		this.index = new DeclarationIndex(1, {deployment: '', services: [], calls: [], links: []});
		this.createNodes(seed);
	}

	/** @returns the outcome, by windows of the time at which calls began. */
	async run(): Promise<FleetOutcome> {
		for (const kind of this.deployment.kinds) {
			if (kind.rate > 0 && this.episode.zoneLoad) {
				for (const zone of this.deployment.zones.keys()) {
					this.scheduleArrival(kind, zone);
				}
			} else if (kind.rate > 0) {
				this.scheduleArrival(kind);
			}
		}

		this.scheduleCuts();

		await this.clock.runSettled(this.origin + this.episode.duration + 3 * second);
		const hedges = await this.metrics.retries.get();
		const hedgeCount = hedges.values.find(({labels}) => labels.reason === 'hedge')?.value ?? 0;
		const limitedStarts = this.nodes.map((node) => node.mostLimitedStarts(limitWindow));
		return {
			windows: this.windows,
			attempts: this.attempts,
			hedges: hedgeCount,
			mostLimitedStarts: Math.max(0, ...limitedStarts),
			flows: this.flows.outcome(),
		};
	}

	private createNodes(seed: number): void {
		const {deployment} = this;
		let number = 0;
		for (const service of deployment.services) {
			for (const [i, zone] of zonesOfExecutors(deployment, service).entries()) {
				const place = deployment.zones[zone]!;
				number += 1;
				const id = `10.0.${Math.floor(number / 250)}.${number % 250}:7001`;
				const member = {
					...createLocalMember(id, 1, place),
					phase: MemberPhase.Serving,
					service: service.name,
					slots: service.slots,
				};
				for (const directory of this.directories) {
					directory.merge(member);
				}

				this.createNode(member, zone, i, createRandom(seed * 1000 + number));
			}
		}
	}

	private createNode(member: Member, zone: number, index: number, random: Random): void {
		const {clock, metrics, deployment, disabled, episode, origin, createPlacement} = this;
		const node = new SimulatedNode(member, index, {
			clock,
			random,
			metrics,
			directory: this.directories[zone]!,
			deployment,
			disabled,
			episode,
			origin,
			createPlacement,
			trueLoad: (id) => this.trueLoad(id),
			lowestPriority: this.lowestPriority,
			kindOf: (route) => this.kinds.get(route)!,
			callNested: async (kind, parent) => this.callNested(member.id, kind, parent),
			countNodes: () => this.nodes.length,
			deliver: async (id, attempt) => this.deliver(member, id, attempt),
			broadcastLoad: (load, isAllowed) => {
				this.broadcastLoad(member, load, isAllowed);
			},
		});
		this.nodes.push(node);
		(this.nodesOfZone[zone] ??= []).push(node);
		this.byId.set(member.id, node);
	}

	private broadcastLoad(
		from: Member,
		load: LoadReport,
		isAllowed: (peer: Member) => boolean,
	): void {
		for (const node of this.nodes) {
			const {member} = node;
			if (
				member.id !== from.id &&
				isAllowed(member) &&
				this.isReported(from.id, member.id) &&
				this.isConnected(from, member)
			) {
				this.clock.after(this.oneWay(from, member), () => {
					node.recordLoad(from.id, load);
				});
			}
		}
	}

	private async deliver(from: Member, id: string, attempt: Attempt): Promise<AttemptResult> {
		const target = this.byId.get(id)!;
		const kind = this.kinds.get(attempt.head.origin.route)!;
		const now = this.clock.now() - this.origin;
		this.attempts += 1;
		this.flows.recordAttempt(from, target.member, now);
		if (id === from.id) {
			return target.executor.run(attempt);
		}

		const delay = this.oneWay(from, target.member);
		if (!this.isConnected(from, target.member)) {
			await this.pause(lossDetectionTime);
			return createUnknown(RefusalReason.ExecutorLost);
		}

		this.underway.set(id, (this.underway.get(id) ?? 0) + 1);
		const cancellation = new Cancellation();
		attempt.cancellation.registerListener(() => {
			this.clock.after(delay, () => {
				cancellation.cancel();
			});
		});
		await this.pause(delay);
		this.underway.set(id, this.underway.get(id)! - 1);
		const result = await target.executor.run({...attempt, cancellation});
		await this.pause(delay);
		const answered = result.end === AttemptEnd.Answered ? kind.answerBytes : 0;
		this.flows.recordBytes(from, target.member, now, answered);
		if (result.end === AttemptEnd.Unknown || this.isReported(id, from.id)) {
			return result;
		}

		return {...result, load: undefined};
	}

	// Whether a load report reaches another node: figures of a mean age come at intervals of twice this age.
	private isReported(from: string, to: string): boolean {
		const {reportAge} = this.episode;
		if (reportAge === undefined) {
			return true;
		}

		const key = `${from} ${to}`;
		const now = this.clock.now();
		if (now < (this.nextReports.get(key) ?? 0)) {
			return false;
		}

		this.nextReports.set(key, now + reportAge * 2);
		return true;
	}

	private trueLoad(id: string): LoadReport {
		const node = this.byId.get(id)!;
		const load = node.executor.report();
		const slowdown = Math.max(load.slowdown, node.trueSlowdown);
		return {...load, slowdown, queued: load.queued + (this.underway.get(id) ?? 0)};
	}

	private oneWay(from: Member, to: Member): Millis {
		return (this.deployment.oneWay ?? oneWay)[distanceBetween(from, to)];
	}

	private isCut(member: Member): boolean {
		const {zones} = this.deployment;
		const zone = zones.findIndex((place) => zoneOf(place) === zoneOf(member));
		return this.episode.isCut?.(zone, this.clock.now() - this.origin) ?? false;
	}

	private isConnected(from: Member, to: Member): boolean {
		return zoneOf(from) === zoneOf(to) || !(this.isCut(from) || this.isCut(to));
	}

	// The members of a zone that is cut off are found to be absent a second later.
	private scheduleCuts(): void {
		if (!this.episode.isCut) {
			return;
		}

		this.clock.repeat(lossConfirmTime, () => {
			for (const {member} of this.nodes) {
				for (const [zone, directory] of this.directories.entries()) {
					const known = directory.get(member.id)!;
					const place = {...member, ...this.deployment.zones[zone]!};
					const liveness = this.isConnected(place, member) ? Liveness.Alive : Liveness.Dead;
					if (known.liveness !== liveness) {
						directory.merge({...known, liveness, version: known.version + 1});
					}
				}
			}
		});
	}

	private async pause(duration: Millis): Promise<void> {
		await new Promise<void>((resolve) => {
			this.clock.after(duration, resolve);
		});
	}

	private scheduleArrival(kind: CallKind, zone?: number): void {
		const {clock, random, episode, origin} = this;
		const at = Math.max(0, clock.now() - origin);
		const load = clock.now() < origin ? 1 : episode.load(at);
		const zoneLoad =
			zone === undefined ? 1 : episode.zoneLoad!(zone, at) / this.deployment.zones.length;
		const gap =
			(-Math.log(1 - random.next()) * second) / Math.max(1e-6, kind.rate * load * zoneLoad);
		clock.after(Math.min(gap, maxArrivalGap), () => {
			if (clock.now() < origin + episode.duration) {
				if (gap <= maxArrivalGap) {
					void this.callFromOutside(kind, zone);
				}

				this.scheduleArrival(kind, zone);
			}
		});
	}

	private windowAt(at: Millis): WindowOutcome | undefined {
		if (at < this.origin) {
			return undefined;
		}

		const index = Math.floor((at - this.origin) / windowLength);
		while (this.windows.length <= index) {
			this.windows.push(createWindow());
		}

		return this.windows[index];
	}

	// A caller honours `Retry-After` up to a third of the time that it has left, and tries again once.
	private async callFromOutside(kind: CallKind, zone?: number): Promise<void> {
		const {clock, random} = this;
		const nodes = zone === undefined ? this.nodes : this.nodesOfZone[zone]!;
		const startedAt = clock.now();
		const window = this.windowAt(startedAt) ?? createWindow();
		const timeout = kind.timeout * (1 - patienceSpread * random.next());
		window.asked += 1;
		window.worthAsked += kind.worth;
		for (let retries = 0; ; retries++) {
			const node = nodes[random.below(nodes.length)]!;
			this.requests += 1;
			const id = `${this.requests}`.padStart(8, '0');
			await this.pause(callerOneWay);
			const timeLeft = startedAt + timeout - clock.now();
			const end = await this.runCall(node, kind, id, timeLeft);
			await this.pause(callerOneWay);
			const {result} = end;
			const duration = clock.now() - startedAt;
			if (result.end === AttemptEnd.Answered && result.status < serverErrorStatus) {
				if (duration <= kind.objective) {
					window.inTime += 1;
					window.worthEarned += kind.worth;
				} else if (duration <= timeout) {
					window.late += 1;
					window.worthEarned += kind.worth * lateWorth;
				} else {
					window.failed += 1;
				}

				return;
			}

			const isRefused = result.end === AttemptEnd.Refused;
			const left = startedAt + timeout - clock.now();
			if (retries > 0 || left < minRetryTime || !(isRefused || kind.isIdempotent)) {
				window[isRefused ? 'refused' : 'failed'] += 1;
				return;
			}

			await this.pause(Math.min(end.retryAfter ?? 0, left * callerRetryShare) + 2 * callerOneWay);
		}
	}

	private async callNested(id: string, kindName: string, parent: Attempt): Promise<boolean> {
		const kind = this.kinds.get(kindName)!;
		this.requests += 1;
		const requestId = `${parent.head.origin.requestId}.${this.requests}`;
		const timeLeft = Math.min(kind.timeout, parent.deadline.timeLeft(this.clock.now()));
		const node = this.byId.get(id)!;
		const {result} = await this.runCall(node, kind, requestId, timeLeft);
		return result.end === AttemptEnd.Answered && result.status < serverErrorStatus;
	}

	private async runCall(
		node: SimulatedNode,
		kind: CallKind,
		requestId: string,
		timeLeft: Millis,
	): Promise<CallEnd> {
		const now = this.clock.now();
		const {service, priority, isIdempotent, name, timeout, objective} = kind;
		const isOuter = kind.rate > 0;
		const elapsed =
			isOuter && !this.disabled.has(Mechanism.ElapsedTime) ? node.elapsed.add(name, timeLeft) : 0;
		const policy: CallPolicy = {
			service,
			customer: '',
			deadline: timeout,
			maxDeadline: timeout,
			idempotentMethods: [],
			idempotentPaths: [],
			maxAttempts,
			retryShare: isOuter ? retryShare : 0,
			hedgeShare: isOuter ? hedgeShare : 0,
			share: 1,
			keyRetention: 0,
		};
		const call: Call = {
			head: {
				service,
				customer: '',
				method: isIdempotent ? 'GET' : 'POST',
				path: '/',
				headers: [],
				isIdempotent,
				key: undefined,
				origin: {requestId, caller: node.member.service, route: name, priority},
				fingerprint: requestId,
			},
			policy,
			service: {
				service,
				kind: '',
				queue: maxQueue,
				warmUp: 0,
				probeBudget: 0,
				isOtherRegionAllowed: true,
			},
			index: this.index,
			deadline: Deadline.in(now, timeLeft),
			objective: Deadline.in(now, objective - elapsed),
			objectiveDuration: objective,
			body: createBufferedBody(new Uint8Array()),
			cancellation: new Cancellation(),
		};
		return node.runner.run(call);
	}
}

// Index of the zone of each executor of a service.
function zonesOfExecutors(
	{zones, executorsOfZone}: Deployment,
	{name, executors}: SimulatedService,
): number[] {
	if (!executorsOfZone) {
		return Array.from({length: executors}, (_item, i) => i % zones.length);
	}

	return zones.flatMap((_place, zone) =>
		Array.from({length: executorsOfZone(name, zone)}, () => zone),
	);
}
