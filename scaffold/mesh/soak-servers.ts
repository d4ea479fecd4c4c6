/** Backend servers of a soak: they answer as the path says and note what has run. */
import type {ServerResponse} from 'node:http';
import type {MeshNode} from './mesh.js';
import type {SeenRequest} from './mesh-backend.js';
import {bodyFor, parseTask, type SoakTask} from './soak-request.js';

/** A request that a backend server has begun to run. */
export interface SoakRun {
	readonly id: string;
	readonly node: MeshNode;
	readonly method: string;
	readonly startedAt: number;
	/** When its answer was handed to the connection. */
	answeredAt: number | undefined;
	/** When its connection was closed before that. */
	abandonedAt: number | undefined;
	/** Whether the backend server itself left meanwhile. */
	isBrokenOff: boolean;
	/** What is wrong with the request. */
	fault: string | undefined;
}

/** Sends a nested call; gives whether it succeeded. */
export type NestedCall = (
	node: MeshNode,
	parentId: string,
	first: string,
	timeLeft: number,
) => Promise<boolean>;

/** Time between the halves of an answer, in ms. */
const halfGap = 80;

export class SoakServers {
	readonly runs: SoakRun[] = [];

	constructor(private readonly callNested: NestedCall) {}

	/** Makes the backend server of a node take part. */
	add(node: MeshNode): void {
		node.backend.behavior = (req, res) => {
			void this.run(node, req, res);
			return true;
		};
	}

	/** Marks everything that runs there as broken off by the backend server. */
	breakOff(node: MeshNode): void {
		for (const run of this.runs) {
			run.isBrokenOff ||= run.node === node && !(run.answeredAt ?? run.abandonedAt);
		}
	}

	private async run(node: MeshNode, req: SeenRequest, res: ServerResponse): Promise<void> {
		const {id, method, path} = req;
		const task = parseTask(path);
		const isIntact = req.body === bodyFor(id, task.bodySize).toString('latin1');
		const run: SoakRun = {
			id,
			node,
			method,
			startedAt: performance.now(),
			answeredAt: undefined,
			abandonedAt: undefined,
			isBrokenOff: false,
			fault: isIntact ? undefined : `a body of ${req.body.length} bytes, not its ${task.bodySize}`,
		};
		this.runs.push(run);
		res.once('finish', () => {
			run.answeredAt = performance.now();
		});
		res.once('close', () => {
			run.abandonedAt = run.answeredAt === undefined ? performance.now() : undefined;
		});
		const timeLeft = Number(req.headers['x-request-deadline']);
		const isDone = await this.work(task.work, timeLeft);
		if (!isDone) {
			this.answer(run, task, res, 504);
			return;
		}

		const nestedTime = Math.floor(timeLeft - (performance.now() - run.startedAt));
		if (task.nested !== '' && !(await this.callNested(node, id, task.nested, nestedTime))) {
			this.answer(run, task, res, 500);
			return;
		}

		this.answer(run, task, res, 200);
	}

	/** @returns whether the work was done within the time that is left. */
	private async work(duration: number, timeLeft: number): Promise<boolean> {
		await new Promise((resolve) => {
			setTimeout(resolve, Math.min(duration, timeLeft));
		});
		return duration <= timeLeft;
	}

	private answer(run: SoakRun, task: SoakTask, res: ServerResponse, status: number): void {
		if (run.abandonedAt !== undefined) {
			return;
		}

		const {instance} = run.node.backend.identity;
		const body = bodyFor(run.id, status === 200 ? task.size : 0);
		const headers = {
			'x-attempt-id': run.id,
			'x-instance-id': instance,
			'x-server-load': '0,0,4,100',
			'x-server-signature': `signed-${run.id}`,
			...(task.hasLength && {'content-length': String(body.length)}),
		};
		res.writeHead(status, headers);
		if (!task.isHalved || status !== 200) {
			res.end(body);
			return;
		}

		const half = Math.floor(body.length / 2);
		res.write(body.subarray(0, half));
		setTimeout(() => {
			res.end(body.subarray(half));
		}, halfGap);
	}
}
