/** Backend servers that spoil answers, and nodes and links that end them, with checks of what callers see. */
import {setTimeout as sleep} from 'node:timers/promises';
import {createRandom, type Random} from '../../src/random/index.js';
import {AnswerEnd, HttpVersion, sendRequests, type AnswerRequest} from './answer-caller.js';
import {drawTask, formatAnswerTask, Spoiling, type TaskLimits} from './answer-task.js';
import {eventually, type Mesh, type MeshNode, type MeshRoute} from './mesh.js';
import {registerSpoiling} from './spoiling-server.js';

/** What ends answers, besides backend servers. */
export enum Disturbance {
	None = 'none',
	/** The links between nodes are reset again and again. */
	Links = 'links',
	/** Nodes are killed and start again. */
	Kill = 'kill',
	/** Nodes are stopped and start again. */
	Stop = 'stop',
}

/** One round of a soak. */
export interface AnswerRound {
	readonly name: string;
	readonly disturbance: Disturbance;
	readonly spoilings: readonly Spoiling[];
	/** Share of answers that are spoiled. */
	readonly share: number;
}

/** What callers got in the rounds so far, by what was done to their answers. */
export type AnswerCounts = Readonly<Record<AnswerEnd, number>>;

const lanes = 24;
const usualDeadline = 1500;
const stoppedDeadline = 600;
const linkResetPeriod = 150;
const restartPause = 400;
/** Largest body that the operating system takes at once, and delivers also when the process is killed, in bytes. */
const deliveredSize = 60_000;
const allSpoilings = Object.values(Spoiling).filter((spoiling) => spoiling !== Spoiling.None);
const heavyShare = 0.3;
const lightShare = 0.05;

/** A round for each kind of trouble. */
export const answerRounds: readonly AnswerRound[] = [
	...allSpoilings.map((spoiling) => ({
		name: `backend servers spoil answers (${spoiling})`,
		disturbance: Disturbance.None,
		spoilings: [spoiling],
		share: heavyShare,
	})),
	...[Disturbance.Links, Disturbance.Kill, Disturbance.Stop].map((disturbance) => ({
		name: `nodes and links end answers (${disturbance})`,
		disturbance,
		spoilings: allSpoilings,
		share: lightShare,
	})),
];

export class AnswerSoak {
	readonly violations: string[] = [];
	private readonly random: Random;
	private readonly requests: AnswerRequest[] = [];
	private sequence = 0;
	private isOver = false;

	constructor(
		private readonly mesh: Mesh,
		private readonly seed: number,
	) {
		this.random = createRandom(seed);
	}

	/** Number of requests so far. */
	get requestCount(): number {
		return this.requests.length;
	}

	/** Starts the nodes. */
	async open(): Promise<void> {
		const {mesh} = this;
		await mesh.startStore();
		for (const [i, service] of ['alpha', 'alpha', 'alpha', 'beta'].entries()) {
			const zone = ['a', 'b', 'c'][i % 3]!;
			// eslint-disable-next-line no-await-in-loop
			registerSpoiling(await mesh.addNode({zone, region: 'one', service, hasRelay: true}));
		}

		const routes: MeshRoute[] = (['safe', 'unsafe'] as const).map((kind) => ({
			host: 'a.example',
			prefix: `/${kind}/`,
			kind,
			service: 'alpha',
			timeout_ms: usualDeadline,
		}));
		await mesh.configure(routes);
		await mesh.settle();
		for (const node of mesh.nodes) {
			// eslint-disable-next-line no-await-in-loop
			await eventually(async () => (await mesh.statusFor(node, {path: '/safe/0'})) === 200);
		}
	}

	/**
	 * Plays one round.
	 * @param round - what is disturbed.
	 * @param duration - how long, in ms.
	 * @returns how the requests of the round ended.
	 */
	async play(round: AnswerRound, duration: number): Promise<AnswerCounts> {
		const first = this.requests.length;
		this.isOver = false;
		const disturbing = this.disturb(round.disturbance);
		const callers = Array.from({length: lanes}, async (_, lane) =>
			this.runLane(round, createRandom(this.seed * 1000 + first + lane)),
		);
		await sleep(duration);
		this.isOver = true;
		await Promise.all([disturbing, ...callers]);
		return this.judge(round, this.requests.slice(first));
	}

	private judge({name}: AnswerRound, requests: readonly AnswerRequest[]): AnswerCounts {
		const counts = {
			[AnswerEnd.Right]: 0,
			[AnswerEnd.Wrong]: 0,
			[AnswerEnd.Cut]: 0,
			[AnswerEnd.Refused]: 0,
		};
		for (const req of requests) {
			counts[req.end ?? AnswerEnd.Cut] += 1;
			if (req.end === AnswerEnd.Wrong) {
				const {id, method, seen, task} = req;
				this.violations.push(`${name}: ${id} ${method} ${formatAnswerTask(task)}: ${seen}`);
			}
		}

		this.findRepeated(requests);
		return counts;
	}

	private findRepeated(requests: readonly AnswerRequest[]): void {
		const unsafe = new Set(requests.filter(({isSafe}) => !isSafe).map(({id}) => id));
		const runs = this.mesh.nodes.flatMap(({backend}) => backend.seen.splice(0));
		const seen = new Set<string>();
		for (const {id} of runs) {
			if (unsafe.has(id) && seen.has(id)) {
				this.violations.push(`${id} is not idempotent and ran twice`);
			}

			seen.add(id);
		}
	}

	private async runLane(round: AnswerRound, random: Random): Promise<void> {
		const {nodes, callerPort: port} = this.mesh;
		while (!this.isOver) {
			const {address} = nodes[random.below(nodes.length)]!;
			const version = random.next() < 0.15 ? HttpVersion.Http10 : HttpVersion.Http11;
			const isKept = version === HttpVersion.Http11 && random.next() < 0.7;
			const isPipelined = isKept && random.next() < 0.3;
			const mustFit = round.disturbance === Disturbance.Kill && version === HttpVersion.Http10;
			const maxSize = mustFit ? deliveredSize : Number.POSITIVE_INFINITY;
			const count = isPipelined ? 2 + random.below(3) : 1;
			const batch = Array.from({length: count}, () =>
				this.draw(random, {...round, maxSize}, isPipelined),
			);
			this.requests.push(...batch);
			// eslint-disable-next-line no-await-in-loop
			await sendRequests({address, port, version, isKept}, batch);
			if (batch.every(({end}) => end === AnswerEnd.Cut)) {
				await sleep(restartPause / 4); // eslint-disable-line no-await-in-loop
			}
		}
	}

	private draw(random: Random, limits: TaskLimits, isPipelined: boolean): AnswerRequest {
		this.sequence += 1;
		const isSafe = isPipelined || random.next() < 0.7;
		const task = drawTask(random, limits);
		const safeMethod = random.next() < 0.1 ? 'HEAD' : 'GET';
		return {
			id: `s${this.seed}-${this.sequence}`,
			method: isSafe ? safeMethod : 'POST',
			isSafe,
			task,
			deadline: task.spoiling === Spoiling.Stop ? stoppedDeadline : usualDeadline,
			end: undefined,
			status: undefined,
			seen: undefined,
		};
	}

	private async disturb(disturbance: Disturbance): Promise<void> {
		while (!this.isOver && disturbance !== Disturbance.None) {
			if (disturbance === Disturbance.Links) {
				await sleep(linkResetPeriod); // eslint-disable-line no-await-in-loop
				for (const {relay} of this.mesh.nodes) {
					relay?.reset();
				}
			} else {
				const signal = disturbance === Disturbance.Kill ? 'SIGKILL' : 'SIGTERM';
				await sleep(restartPause); // eslint-disable-line no-await-in-loop
				await this.restart(this.random.below(this.mesh.nodes.length), signal); // eslint-disable-line no-await-in-loop
			}
		}
	}

	private async restart(index: number, signal: NodeJS.Signals): Promise<void> {
		const node: MeshNode = this.mesh.nodes[index]!;
		await this.mesh.endNode(node, signal);
		await this.mesh.startNode(node);
		await eventually(async () => this.mesh.isReady(node));
	}
}
