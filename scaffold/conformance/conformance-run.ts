import {Buffer} from 'node:buffer';
import {createRandom, sample, type Random} from '../../src/random/index.js';
import {parseAnswer, type ParsedAnswer} from '../mesh/answer-parser.js';
import type {Behavior} from '../mesh/mesh-backend.js';
import {eventually, type Mesh, type MeshNode} from '../mesh/mesh.js';
import {rawHead, RawCaller} from '../mesh/raw-caller.js';
import {answerRows, Wanted, type AnswerRow} from './answer-row.js';

/** One exchange: a row at one node. */
export interface Exchange {
	readonly row: AnswerRow;
	readonly kind: 'safe' | 'unsafe';
	/** What the caller saw that the row doesn't ask for; undefined if it holds. */
	readonly violation: string | undefined;
	/** What the caller saw. */
	readonly seen: string;
}

/** Time limit of a request, in ms. */
const deadline = 3000;
/** How long a caller waits for the end of its connection, in ms. */
const idleLimit = 4000;
/** Requests at the same time. */
const parallel = 12;
/** Most ms from a request to the end of a call whose answer is a fault. */
const maxFaultTime = 500;
/** Sizes of bodies, in bytes. */
const smallBytes = 40;
/** Above what a node holds before it passes an answer on. */
const largeBytes = 70_000;
/** One exchange in so many has a large body. */
const largeShare = 8;

/** Plays rows of the table between raw callers, nodes and raw backend servers. */
export class ConformanceRun {
	readonly exchanges: Exchange[] = [];
	private readonly runs = new Map<string, number>();
	private readonly random: Random;
	private nodes: MeshNode[] = [];
	private next = 0;

	constructor(
		private readonly mesh: Mesh,
		seed: number,
	) {
		this.random = createRandom(seed);
	}

	/** Starts two nodes with the backend servers that answer, and one without. */
	async open(): Promise<void> {
		const {mesh} = this;
		await mesh.startStore();
		const servers = [
			await mesh.addNode({zone: 'a', region: 'one', service: 'alpha'}),
			await mesh.addNode({zone: 'b', region: 'one', service: 'alpha'}),
		];
		const ingress = await mesh.addNode({zone: 'a', region: 'one', service: 'beta'});
		await mesh.configure([
			{host: 'a.example', prefix: '/safe/', kind: 'safe', service: 'alpha'},
			{host: 'a.example', prefix: '/unsafe/', kind: 'unsafe', service: 'alpha'},
		]);
		await mesh.settle();
		this.nodes = [...servers, ingress];
		for (const node of this.nodes) {
			await eventually(async () => (await mesh.statusFor(node, {path: '/safe/0'})) === 200);
		}

		for (const {backend} of servers) {
			backend.behavior = this.behavior;
		}
	}

	/**
	 * Plays rows in a random order.
	 * @param count - number of exchanges; each row comes about equally often.
	 * @param rows - the rows to play.
	 */
	async play(count: number, rows = answerRows): Promise<void> {
		const rounds = Math.ceil(count / rows.length);
		const left = Array.from({length: rounds}, () => sample(rows, rows.length, this.random))
			.flat()
			.slice(0, count);
		const workers = Array.from({length: parallel}, async () => {
			for (let row = left.pop(); row; row = left.pop()) {
				await this.exchange(row);
			}
		});
		await Promise.all(workers);
	}

	/** Exchanges in which the caller saw what the row doesn't ask for. */
	get violations(): Exchange[] {
		return this.exchanges.filter(({violation}) => violation !== undefined);
	}

	private readonly behavior: Behavior = ({id, path}, res) => {
		const match = /\/row\/(\d+)\/(\d+)/v.exec(path);
		const row = answerRows[Number(match?.[1])];
		const runs = (this.runs.get(id) ?? 0) + 1;
		this.runs.set(id, runs);
		const {socket} = res;
		if (!row || !socket || (row.wanted === Wanted.Fault && runs > 1)) {
			return false;
		}

		socket.write(row.write(id, bodyOf(id, Number(match?.[2]))));
		// The HTTP library of the stand-in goes on with the next request of the connection.
		res.emit('finish');
		if (row.isClosing) {
			socket.end();
		}

		return true;
	};

	private async exchange(row: AnswerRow): Promise<void> {
		this.next += 1;
		const id = `x${this.next}`;
		const kind = this.random.below(2) === 0 ? 'safe' : 'unsafe';
		const size = this.random.below(largeShare) === 0 ? largeBytes : smallBytes;
		const path = `/${kind}/row/${answerRows.indexOf(row)}/${size}`;
		const node = this.nodes[this.random.below(this.nodes.length)]!;
		const startedAt = performance.now();
		const answer = await this.ask(node, row, path, id);
		const elapsed = performance.now() - startedAt;
		const runs = this.runs.get(id) ?? 0;
		const wrong =
			row.wanted === Wanted.Answer
				? this.compare(answer, row, bodyOf(id, size))
				: this.checkFault(answer, kind, elapsed);
		const violation = kind === 'unsafe' && runs !== 1 ? `ran ${runs} times` : wrong;
		this.exchanges.push({row, kind, violation, seen: describe(answer)});
	}

	private async ask(
		node: MeshNode,
		{method, version}: AnswerRow,
		path: string,
		id: string,
	): Promise<ParsedAnswer | undefined> {
		const caller = await RawCaller.open(node.address, this.mesh.callerPort);
		caller.send(rawHead(method, path, id, {deadline, version, isLast: true}));
		const timer = setTimeout(() => {
			caller.destroy();
		}, idleLimit);
		await caller.closed;
		clearTimeout(timer);
		return parseAnswer(caller.received, true, method);
	}

	private compare(
		answer: ParsedAnswer | undefined,
		row: AnswerRow,
		body: Buffer,
	): string | undefined {
		if (!answer?.body) {
			return 'no whole answer';
		}

		if (String(answer.status) !== row.status) {
			return `status ${answer.status}`;
		}

		const wanted = row.hasContent ? body : Buffer.alloc(0);
		if (!answer.body.equals(wanted)) {
			return `${answer.body.length} bytes for ${wanted.length}`;
		}

		const hop = ['x-hop', 'te', 'upgrade'].find((name) => answer.headers.has(name));
		return hop === undefined ? undefined : `field ${hop}`;
	}

	private checkFault(
		answer: ParsedAnswer | undefined,
		kind: Exchange['kind'],
		elapsed: number,
	): string | undefined {
		if (!answer?.body) {
			return 'no whole answer';
		}

		const wanted = kind === 'safe' ? [200, 504] : [504];
		if (!wanted.includes(answer.status)) {
			return `status ${answer.status}`;
		}

		return elapsed > maxFaultTime ? `ended after ${Math.round(elapsed)} ms` : undefined;
	}
}

function bodyOf(id: string, size: number): Buffer {
	return Buffer.alloc(size, `body of ${id}\n`);
}

function describe(answer: ParsedAnswer | undefined): string {
	if (!answer) {
		return 'closed';
	}

	const reason = /"reason":"([^"]*)"/v.exec(answer.body?.toString('latin1') ?? '')?.[1];
	return `${answer.status}, ${answer.body?.length ?? 'cut'}${reason ? ` ${reason}` : ''}`;
}
