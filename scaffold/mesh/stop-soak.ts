/** Planned stops under traffic of many kinds, with checks of what callers and backend servers see. */
import {createRandom, sample, type Random} from '../../src/random/index.js';
import {withResolvers} from '../../src/util/index.js';
import {LoopLag} from './loop-lag.js';
import type {Mesh, MeshNode, MeshRoute} from './mesh.js';
import {SoakCallers, type RequestWish, type SoakCallersContext} from './soak-callers.js';
import {formatTask, type SoakRequest, type SoakTask} from './soak-request.js';
import {SoakServers} from './soak-servers.js';
import {
	StopChecks,
	StopFinding,
	stopTimeout,
	type PlannedStop,
	type StopViolation,
} from './stop-checks.js';

/** A violation with what explains it. */
export interface ReportedViolation {
	readonly kind: StopFinding;
	readonly text: string;
	/** Log lines that name the request, and those about stops of its node. */
	readonly events: readonly string[];
}

/** The part of a route that its requests need. */
type RouteChoice = {
	readonly prefix: string;
	readonly kind: MeshRoute['kind'];
	/** Least time-out in all versions, in ms. */
	readonly timeout: number;
};

type RequestParts = {
	readonly id: string;
	readonly caller: string;
	readonly route: RouteChoice;
	readonly task: SoakTask;
	readonly deadline: number;
};

const host = 'a.example';
const services = ['alpha', 'beta', 'gamma'] as const;
const usualTimeout = 1500;
const longTimeout = 2500;
const shortTimeout = 800;
const longWork = 2000;
/** Share of requests that work long. */
const longShare = 0.03;
const nestedShare = 0.12;
/** Traffic before the first signal and after the restart, in ms. */
const calmTime = 1500;
/** Time in ms within which a configuration must be in force. */
const applyBound = 2000;
/** Time for which a backend server serves after its announcement is acknowledged, in ms. */
const drainTime = 2000;
/** Least time in ms between two configurations, so that a request knows its route at all nodes. */
const changePause = 3000;
/** Time after which a process that has not ended is killed, in ms. */
const killTime = stopTimeout + 3000;
/** Number of connections that are opened before a stop for requests during it. */
const timedCount = 24;
/** Least time from SIGTERM to such a request, in ms. */
const earliestTimed = 1500;
/** Time from SIGTERM after which callers that ask for readiness have left, in ms. */
const quietTime = 2000;
/** Greatest lengths of answers, in bytes; one is drawn for each. */
const answerSizes = [0, 100, 2000, 20_000, 70_000, 70_000, 500_000] as const;
/** Numbers of the events that are reported with each violation, and those with one that concerns no request. */
const stopEvents: ReadonlySet<unknown> = new Set([102, 103, 105, 106]);
const processEvents: ReadonlySet<unknown> = new Set([...stopEvents, 814]);

async function sleep(duration: number): Promise<void> {
	await new Promise((resolve) => {
		setTimeout(resolve, duration);
	});
}

function usualRoute(first: string): RouteChoice {
	const kind = first.startsWith('unsafe') ? 'unsafe' : 'safe';
	return {prefix: `/${first}/`, kind, timeout: usualTimeout};
}

/** @returns the time of a log event, as of `performance.now()`. */
function timeOf({timestamp}: Readonly<Record<string, unknown>>): number {
	return Date.parse(String(timestamp)) - performance.timeOrigin;
}

function routesOf(version: number): MeshRoute[] {
	const moved = services[version % services.length]!;
	const spanTimeout = version % 2 === 0 ? usualTimeout : shortTimeout;
	const routes: MeshRoute[] = services.flatMap((service) => [
		{host, prefix: `/safe-${service}/`, kind: 'safe', service, timeout_ms: usualTimeout},
		{host, prefix: `/unsafe-${service}/`, kind: 'unsafe', service, timeout_ms: usualTimeout},
		{host, prefix: `/upload-${service}/`, kind: 'upload', service, timeout_ms: longTimeout},
		{host, prefix: `/long-safe-${service}/`, kind: 'safe', service, timeout_ms: longTimeout},
		{host, prefix: `/long-unsafe-${service}/`, kind: 'unsafe', service, timeout_ms: longTimeout},
	]);
	return [
		...routes,
		{host, prefix: '/move/', kind: 'unsafe', service: moved, timeout_ms: usualTimeout},
		{host, prefix: '/span/', kind: 'safe', service: 'alpha', timeout_ms: spanTimeout},
		{host, prefix: `/v${version}/`, kind: 'safe', service: 'beta', timeout_ms: usualTimeout},
		{host, prefix: `/v${version - 1}/`, kind: 'safe', service: 'beta', timeout_ms: usualTimeout},
	];
}

export class StopSoak {
	/** Found so far, without stalls. */
	readonly violations: ReportedViolation[] = [];
	/** Answers that stopped until their deadlines. */
	readonly stalls: ReportedViolation[] = [];
	/** What was done, in the order of time. */
	readonly history: string[] = [];
	readonly requests: SoakRequest[] = [];
	private readonly stops: PlannedStop[] = [];
	private readonly strays: StopViolation[] = [];
	private readonly lag = new LoopLag();
	private readonly random: Random;
	private readonly servers: SoakServers;
	private readonly callers = new Map<MeshNode, SoakCallers>();
	/** Nodes to which only callers with open connections send. */
	private readonly left = new Set<MeshNode>();
	private version = 0;
	/** Newest version that is in force everywhere. */
	private settled = 0;
	private changedAt = 0;
	private isOver = false;
	private pace = 1;
	private generation = 0;

	/**
	 * @param mesh - where nodes are started.
	 * @param seed - what is drawn follows from it.
	 */
	constructor(
		private readonly mesh: Mesh,
		private readonly seed: number,
	) {
		this.random = createRandom(seed);
		this.servers = new SoakServers(async (node, parentId, first, timeLeft) => {
			// A request that runs again makes its calls again, with other ids.
			const id = `${parentId}.${this.requests.length}`;
			const req = await this.callers.get(node)?.sendOnce(() => {
				const task = this.drawTask(this.random, {caller: 'nested'}, first);
				return this.record(node, {
					id,
					caller: 'nested',
					route: usualRoute(first),
					task,
					deadline: timeLeft,
				});
			});
			return req?.status === 200 && req.fault === undefined;
		});
	}

	/**
	 * Starts a store and nodes in two regions, and waits until they serve.
	 * @param count - number of nodes.
	 */
	async open(count: number): Promise<void> {
		const {mesh} = this;
		await mesh.startStore();
		for (let i = 0; i < count; i++) {
			const node = await mesh.addNode({
				region: i < count / 2 ? 'one' : 'two',
				zone: `z${Math.floor(i / 2)}`,
				service: services[i % services.length]!,
			});
			this.servers.add(node);
		}

		await this.change();
		await mesh.settle();
		this.settled = this.version;
	}

	/**
	 * Stops and restarts nodes under traffic, and checks.
	 * @param rounds - number of times.
	 */
	async run(rounds: number): Promise<void> {
		const {mesh} = this;
		let count = 0;
		const createOwnRandom = () => {
			count += 1;
			return createRandom(this.seed * 1000 + count);
		};

		const traffic: Array<Promise<void>> = [];
		for (const node of mesh.nodes) {
			const callers = new SoakCallers(node, this.createContext());
			this.callers.set(node, callers);
			traffic.push(...callers.start(createOwnRandom));
		}

		for (let round = 0; round < rounds; round++) {
			await this.playRound(createOwnRandom);
		}

		this.isOver = true;
		await Promise.all(traffic);
		await sleep(calmTime);
		this.lag.stop();
		this.note(`longest time without running: ${Math.round(this.lag.longest)}`);
		this.check();
	}

	private createContext(): SoakCallersContext {
		return {
			port: this.mesh.callerPort,
			host,
			pace: () => this.pace,
			isOver: () => this.isOver,
			createRequest: (node, random, wish) => this.createRequest(node, random, wish),
			isLeft: (node) => this.left.has(node),
			handleStray: (node, text) => {
				const at = performance.now();
				const kind = StopFinding.Mixed;
				const what = `stray bytes: ${text}`;
				this.strays.push({kind, node, id: undefined, text: what, from: at, to: at});
			},
		};
	}

	private async playRound(createOwnRandom: () => Random): Promise<void> {
		const {random, mesh} = this;
		this.pace = [0.5, 1, 3][random.below(3)]!;
		const victims = sample(mesh.nodes, random.below(5) < 2 ? 2 : 1, random);
		const work: Array<Promise<void>> = [];
		for (const [i, victim] of victims.entries()) {
			work.push(this.stopNode(victim, calmTime + i * random.below(1000), createOwnRandom()));
		}

		if (random.below(4) > 0) {
			work.push(this.changeAfter(1000 + random.below(calmTime + stopTimeout)));
		}

		if (random.below(2) === 0) {
			const node =
				random.below(2) === 0 ? victims[0]! : mesh.nodes[random.below(mesh.nodes.length)]!;
			work.push(this.hangUp(node, calmTime - 500 + random.below(3000)));
		}

		await Promise.all(work);
		await mesh.settle();
		await sleep(Math.max(calmTime, this.changedAt + applyBound - performance.now()));
		this.settled = this.version;
	}

	private note(text: string): void {
		this.history.push(`${new Date().toISOString().slice(17, 23)} ${text}`);
	}

	private async hangUp(node: MeshNode, delay: number): Promise<void> {
		await sleep(delay);
		this.note(`SIGHUP ${node.name}`);
		this.mesh.signalNode(node, 'SIGHUP');
	}

	private async changeAfter(delay: number): Promise<void> {
		await sleep(Math.max(delay, this.changedAt + changePause - performance.now()));
		await this.change();
	}

	private async change(): Promise<void> {
		this.version += 1;
		await this.mesh.configure(routesOf(this.version), this.version);
		this.changedAt = performance.now();
		this.note(`version ${this.version}`);
	}

	private async stopNode(node: MeshNode, delay: number, random: Random): Promise<void> {
		const {mesh} = this;
		const leavesFirst = random.below(10) < 3;
		const isQuiet = random.below(3) > 0;
		const secondAfter = random.below(10) < 3 ? 200 + random.below(4000) : undefined;
		await sleep(delay);
		const {promise: gone, resolve: comeBack} = withResolvers<void>();
		let back: Promise<void> | undefined;
		if (leavesFirst) {
			await this.leave(node);
			this.generation += 1;
			back = node.backend.restart(`i-${node.name}-${this.generation}`, gone);
		}

		const termAt = performance.now() + calmTime;
		const timed = this.sendTimed(node, random, termAt);
		await sleep(termAt - performance.now());
		const stop: PlannedStop = {
			node,
			at: performance.now(),
			exitAt: undefined,
			code: undefined,
			loggedAt: undefined,
		};
		this.stops.push(stop);
		this.note(
			`SIGTERM ${node.name}${isQuiet ? ', quiet' : ''}${leavesFirst ? ', server left' : ''}`,
		);
		const ended = mesh.endNode(node, 'SIGTERM');
		const timers = [
			setTimeout(() => {
				this.note(`killed ${node.name}`);
				mesh.signalNode(node, 'SIGKILL');
			}, killTime),
		];
		if (secondAfter !== undefined) {
			timers.push(
				setTimeout(() => {
					this.note(`second SIGTERM ${node.name}`);
					mesh.signalNode(node, 'SIGTERM');
				}, secondAfter),
			);
		}

		if (isQuiet) {
			timers.push(
				setTimeout(() => {
					this.left.add(node);
				}, quietTime),
			);
		}

		stop.code = await ended;
		stop.exitAt = performance.now();
		const end = mesh.log(node).findLast(({number}) => number === 103 || number === 105);
		const loggedAt = end ? timeOf(end) : 0;
		// An older event is that of an earlier stop.
		stop.loggedAt = loggedAt > stop.at ? loggedAt : undefined;
		for (const timer of timers) {
			clearTimeout(timer);
		}

		this.note(`exit ${node.name} with ${stop.code} after ${Math.round(stop.exitAt - stop.at)}`);
		await timed;
		this.left.delete(node);
		comeBack();
		await back;
		await mesh.startNode(node);
	}

	/** Lets the backend server of a node announce its departure, serve on, and end. */
	private async leave(node: MeshNode): Promise<void> {
		const {backend} = node;
		this.note(`server of ${node.name} leaves`);
		backend.state = 'draining';
		await backend.heartbeat();
		await sleep(drainTime);
		await backend.deregister();
		this.servers.breakOff(node);
	}

	/** Opens connections before a stop on which requests come during it. */
	private async sendTimed(node: MeshNode, random: Random, termAt: number): Promise<void> {
		const callers = this.callers.get(node)!;
		await Promise.all(
			Array.from({length: timedCount}, async () => {
				const at = termAt + earliestTimed + random.below(stopTimeout - earliestTimed);
				await callers.sendAt(random, at);
			}),
		);
	}

	private createRequest(node: MeshNode, random: Random, wish: RequestWish): SoakRequest {
		const route = this.drawRoute(random, wish);
		const isLong = route.timeout === longTimeout && route.kind !== 'upload';
		const first = route.prefix.slice(1, -1);
		const task = this.drawTask(random, wish, first);
		const deadline = isLong
			? longTimeout
			: route.timeout - random.below(Math.floor(route.timeout / 3));
		const id = `s${this.seed}-${this.requests.length}`;
		return this.record(node, {id, caller: wish.caller, route, task, deadline});
	}

	private record(node: MeshNode, {id, caller, route, task, deadline}: RequestParts): SoakRequest {
		const isSafe = route.kind === 'safe';
		const req: SoakRequest = {
			id,
			node,
			caller,
			isSafe,
			method: isSafe ? 'GET' : 'POST',
			path: `${route.prefix}${formatTask(task)}`,
			task,
			deadline,
			timeout: route.timeout,
			headAt: undefined,
			wholeAt: undefined,
			endedAt: undefined,
			end: undefined,
			status: undefined,
			bytes: 0,
			progressAt: undefined,
			isSigned: false,
			fault: undefined,
			isCloseAnnounced: false,
			behind: undefined,
		};
		this.requests.push(req);
		return req;
	}

	private drawRoute(random: Random, {isPlain, isUpload}: RequestWish): RouteChoice {
		const service = services[random.below(services.length)]!;
		if (isUpload) {
			return {prefix: `/upload-${service}/`, kind: 'upload', timeout: longTimeout};
		}

		const isSafe = isPlain === true || random.below(2) === 0;
		const kind = isSafe ? 'safe' : 'unsafe';
		if (random.next() < longShare) {
			return {prefix: `/long-${kind}-${service}/`, kind, timeout: longTimeout};
		}

		const choice = random.below(10);
		if (choice === 0 && !isPlain) {
			return {prefix: '/move/', kind: 'unsafe', timeout: usualTimeout};
		}

		if (choice === 1) {
			return {prefix: '/span/', kind: 'safe', timeout: shortTimeout};
		}

		if (choice === 2) {
			return {prefix: `/v${this.settled}/`, kind: 'safe', timeout: usualTimeout};
		}

		return {prefix: `/${kind}-${service}/`, kind, timeout: usualTimeout};
	}

	private drawTask(
		random: Random,
		{caller, isUpload, sizes}: RequestWish,
		first: string,
	): SoakTask {
		const isLong = first.startsWith('long-');
		const isNested = caller !== 'nested' && !isLong && random.next() < nestedShare;
		const [least, most] = sizes ?? [0, answerSizes[random.below(answerSizes.length)]!];
		const isSafe = !/unsafe|upload|move/v.test(first);
		const service = services[random.below(services.length)]!;
		return {
			work: isLong ? longWork : 5 + random.below(396),
			size: least + random.below(most - least + 1),
			hasLength: random.below(2) === 0,
			isHalved: random.below(4) === 0,
			bodySize: isSafe ? 0 : random.below(isUpload ? 300_000 : 3000),
			nested: isNested ? `${random.below(2) === 0 ? 'safe' : 'unsafe'}-${service}` : '',
		};
	}

	private check(): void {
		const checks = new StopChecks(this.servers.runs, this.stops, (seenAt) =>
			this.lag.earliest(seenAt),
		);
		for (const violation of [...checks.check(this.requests), ...this.strays]) {
			const {kind, id, text} = violation;
			const list = kind === StopFinding.Stalled ? this.stalls : this.violations;
			list.push({kind, text: `${id ?? '-'} ${text}`, events: this.eventsFor(violation)});
		}
	}

	private eventsFor({node, id, from, to}: StopViolation): string[] {
		const lines: string[] = [];
		const needle = `"request":"${id ?? 'none'}"`;
		const numbers = id === undefined ? processEvents : stopEvents;
		for (const item of this.mesh.nodes) {
			for (const event of this.mesh.log(item)) {
				const at = timeOf(event);
				const isNear = at > from - stopTimeout && at < to + stopTimeout;
				const isOfProcess = item === node && numbers.has(event.number) && isNear;
				const text = JSON.stringify({...event, level: undefined, message: undefined});
				if (isOfProcess || text.includes(needle)) {
					lines.push(`${item.name} ${text}`);
				}
			}
		}

		return lines;
	}
}
