import {Deadline, type LoadReport} from '../../src/call/index.js';
import {second, type Millis} from '../../src/clock/index.js';
import {DeclarationIndex, type CallPolicy} from '../../src/declaration/index.js';
import {
	AttemptEnd,
	Cancellation,
	createBufferedBody,
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
	MemberPhase,
	type Member,
} from '../../src/membership/index.js';
import {createRandom, type Random} from '../../src/random/index.js';
import {Metrics} from '../../src/telemetry/index.js';
import {EventClock} from '../event-clock.js';
import {maxQueue, SimulatedNode} from './simulated-node.js';
import type {CallKind, Deployment, Episode} from './workload.js';

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
	private readonly directory = new Directory();
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
	) {
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
			if (kind.rate > 0) {
				this.scheduleArrival(kind);
			}
		}

		await this.clock.runSettled(this.origin + this.episode.duration + 3 * second);
		const hedges = await this.metrics.retries.get();
		const hedgeCount = hedges.values.find(({labels}) => labels.reason === 'hedge')?.value ?? 0;
		const limitedStarts = this.nodes.map((node) => node.mostLimitedStarts(limitWindow));
		return {
			windows: this.windows,
			attempts: this.attempts,
			hedges: hedgeCount,
			mostLimitedStarts: Math.max(0, ...limitedStarts),
		};
	}

	private createNodes(seed: number): void {
		const {deployment} = this;
		let number = 0;
		for (const service of deployment.services) {
			for (let i = 0; i < service.executors; i++) {
				const place = deployment.zones[i % deployment.zones.length]!;
				number += 1;
				const id = `10.0.${Math.floor(number / 250)}.${number % 250}:7001`;
				const member = {
					...createLocalMember(id, 1, place),
					phase: MemberPhase.Serving,
					service: service.name,
					slots: service.slots,
				};
				this.directory.merge(member);
				this.createNode(member, i, createRandom(seed * 1000 + number));
			}
		}
	}

	private createNode(member: Member, index: number, random: Random): void {
		const {clock, metrics, directory, deployment, disabled, episode, origin} = this;
		const node = new SimulatedNode(member, index, {
			clock,
			random,
			metrics,
			directory,
			deployment,
			disabled,
			episode,
			origin,
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
		this.byId.set(member.id, node);
	}

	private broadcastLoad(
		from: Member,
		load: LoadReport,
		isAllowed: (peer: Member) => boolean,
	): void {
		for (const node of this.nodes) {
			const {member} = node;
			if (member.id !== from.id && isAllowed(member)) {
				this.clock.after(oneWay[distanceBetween(from, member)], () => {
					node.recordLoad(from.id, load);
				});
			}
		}
	}

	private async deliver(from: Member, id: string, attempt: Attempt): Promise<AttemptResult> {
		const target = this.byId.get(id)!;
		this.attempts += 1;
		if (id === from.id) {
			return target.executor.run(attempt);
		}

		const delay = oneWay[distanceBetween(from, target.member)];
		const cancellation = new Cancellation();
		attempt.cancellation.registerListener(() => {
			this.clock.after(delay, () => {
				cancellation.cancel();
			});
		});
		await this.pause(delay);
		const result = await target.executor.run({...attempt, cancellation});
		await this.pause(delay);
		return result;
	}

	private async pause(duration: Millis): Promise<void> {
		await new Promise<void>((resolve) => {
			this.clock.after(duration, resolve);
		});
	}

	private scheduleArrival(kind: CallKind): void {
		const {clock, random, episode, origin} = this;
		const load = clock.now() < origin ? 1 : episode.load(clock.now() - origin);
		const gap = (-Math.log(1 - random.next()) * second) / (kind.rate * load);
		clock.after(gap, () => {
			if (clock.now() < origin + episode.duration) {
				void this.callFromOutside(kind);
				this.scheduleArrival(kind);
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
	private async callFromOutside(kind: CallKind): Promise<void> {
		const {clock, random} = this;
		const startedAt = clock.now();
		const window = this.windowAt(startedAt) ?? createWindow();
		const timeout = kind.timeout * (1 - patienceSpread * random.next());
		window.asked += 1;
		window.worthAsked += kind.worth;
		for (let retries = 0; ; retries++) {
			const node = this.nodes[random.below(this.nodes.length)]!;
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
