/** Callers of a soak at one node; each sends in its own way until the soak is over. */
import type {Random} from '../../src/random/index.js';
import type {MeshNode} from './mesh.js';
import {SoakConnection, type SendPlan} from './soak-connection.js';
import type {SoakRequest} from './soak-request.js';

/** What a caller may ask for. */
export interface RequestWish {
	readonly caller: string;
	/** Whether it has to be safe and without a body. */
	readonly isPlain?: boolean;
	readonly isUpload?: boolean;
	/** Least and greatest length of the answer, in bytes. */
	readonly sizes?: readonly [number, number];
}

/** What the callers of all nodes share. */
export interface SoakCallersContext {
	readonly port: number;
	readonly host: string;
	/** @returns the factor of the pauses between requests. */
	pace(): number;
	isOver(): boolean;
	/** Creates a request and records it. */
	createRequest(node: MeshNode, random: Random, wish: RequestWish): SoakRequest;
	/** @returns whether callers send nothing new to the node. */
	isLeft(node: MeshNode): boolean;
	handleStray(node: MeshNode, text: string): void;
}

const reconnectPause = 100;
/** Pauses between the requests of a caller, in ms. */
const leastPause = 150;
const pauseSpread = 600;
/** How long a connection stays open before its first request at most, in ms. */
const longestAhead = 4000;
const large: readonly [number, number] = [60_000, 500_000];

async function sleep(duration: number): Promise<void> {
	await new Promise((resolve) => {
		setTimeout(resolve, duration);
	});
}

export class SoakCallers {
	constructor(
		private readonly node: MeshNode,
		private readonly context: SoakCallersContext,
	) {}

	/**
	 * @param createRandom - gives each caller its own source of random numbers.
	 * @returns the callers, each until it has ended.
	 */
	start(createRandom: () => Random): Array<Promise<void>> {
		const ways = [
			async (random: Random) => this.sendOnKept(random),
			async (random: Random) => this.sendOnKept(random),
			async (random: Random) => this.sendOnNew(random, 'new'),
			async (random: Random) => this.sendOnNew(random, 'ahead'),
			async (random: Random) => this.sendOnNew(random, 'pieces'),
			async (random: Random) => this.sendOnNew(random, 'slow reader'),
			async (random: Random) => this.sendOnNew(random, 'upload'),
			async (random: Random) => this.sendPipelined(random),
		];
		return ways.map(async (way) => this.repeat(createRandom(), way));
	}

	/**
	 * Opens a connection at once and sends a request on it at a given time.
	 * @param at - when, as of `performance.now()`.
	 */
	async sendAt(random: Random, at: number): Promise<void> {
		const connection = this.connect(0);
		await connection.open();
		const isInPieces = random.below(3) === 0;
		const plan = {pieces: isInPieces ? 2 + random.below(3) : 1, gap: 30 + random.below(300)};
		await sleep(Math.max(0, at - performance.now()));
		if (connection.isUsable) {
			const caller = isInPieces ? 'timed, pieces' : 'timed';
			await this.send(connection, random, {caller}, plan);
		}

		connection.close();
	}

	/** Sends a request of which only the answer counts; @returns the request. */
	async sendOnce(create: () => SoakRequest): Promise<SoakRequest | undefined> {
		const connection = this.connect(0);
		if (!(await connection.open())) {
			return undefined;
		}

		const req = create();
		await connection.send(req);
		connection.close();
		return req;
	}

	private connect(readPause: number): SoakConnection {
		const {port, host} = this.context;
		return new SoakConnection({
			address: this.node.address,
			port,
			host,
			readPause,
			handleStray: (text) => {
				this.context.handleStray(this.node, text);
			},
		});
	}

	private async repeat(random: Random, way: (random: Random) => Promise<void>): Promise<void> {
		while (!this.context.isOver()) {
			await this.pause(random);
			if (!this.context.isOver() && !this.context.isLeft(this.node)) {
				await way(random);
			}
		}
	}

	private async pause(random: Random): Promise<void> {
		await sleep((leastPause + random.below(pauseSpread)) * this.context.pace());
	}

	private async send(
		connection: SoakConnection,
		random: Random,
		wish: RequestWish,
		plan?: SendPlan,
	): Promise<void> {
		await connection.send(this.context.createRequest(this.node, random, wish), plan);
	}

	private async sendOnKept(random: Random): Promise<void> {
		const connection = this.connect(0);
		if (!(await connection.open())) {
			await sleep(reconnectPause);
		}

		while (connection.isUsable && !this.context.isOver()) {
			await this.send(connection, random, {caller: 'kept'});
			await this.pause(random);
		}

		connection.close();
	}

	private async sendOnNew(random: Random, caller: string): Promise<void> {
		const connection = this.connect(caller === 'slow reader' ? 20 + random.below(80) : 0);
		if (!(await connection.open())) {
			await sleep(reconnectPause);
			return;
		}

		const isUpload = caller === 'upload';
		let plan: SendPlan | undefined;
		if (caller === 'ahead') {
			await sleep(random.below(longestAhead));
		} else if (isUpload || caller === 'pieces') {
			plan = {pieces: 2 + random.below(4), gap: 10 + random.below(150)};
		}

		if (connection.isUsable) {
			const sizes = caller === 'slow reader' ? large : undefined;
			await this.send(connection, random, {caller, isUpload, sizes}, plan);
		}

		connection.close();
	}

	private async sendPipelined(random: Random): Promise<void> {
		const connection = this.connect(0);
		if (!(await connection.open())) {
			await sleep(reconnectPause);
			return;
		}

		const count = 2 + random.below(4);
		const wish = {caller: 'pipelined', isPlain: true};
		await Promise.all(Array.from({length: count}, async () => this.send(connection, random, wish)));
		connection.close();
	}
}
