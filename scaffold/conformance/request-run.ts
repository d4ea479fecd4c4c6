import {parseAnswer, type ParsedAnswer} from '../mesh/answer-parser.js';
import type {SeenRequest} from '../mesh/mesh-backend.js';
import type {Mesh, MeshNode} from '../mesh/mesh.js';
import {RawCaller} from '../mesh/raw-caller.js';
import type {RequestRow} from './request-row.js';

/** How long a caller waits for the end of its connection, in ms. */
const idleLimit = 4000;

/** Plays forms of requests between raw callers, nodes and backend servers. */
export class RequestRun {
	private next = 0;

	/**
	 * @param mesh - deployment that is ready, with routes for `/safe/` and `/unsafe/` of `a.example`.
	 * @param nodes - nodes with the backend servers of these routes.
	 */
	constructor(
		private readonly mesh: Mesh,
		private readonly nodes: readonly MeshNode[],
	) {}

	/**
	 * @param row - a form of a request.
	 * @param kind - kind of its route.
	 * @param version - version of HTTP that the caller speaks.
	 * @returns what was not as the row asks for; undefined if it holds.
	 */
	async play(row: RequestRow, kind: string, version = '1.1'): Promise<string | undefined> {
		this.next += 1;
		const id = `q${this.next}`;
		const path = `/${kind}/${id}`;
		const answer = await this.ask(row, path, id, version);
		const runs = this.nodes.flatMap(({backend}) => backend.seen.filter((req) => req.id === id));
		if (answer?.status !== row.status || !answer.body) {
			return `${answer?.status ?? 'closed'} for ${row.status}`;
		}

		const wantedRuns = row.status === 200 ? 1 : 0;
		if (runs.length !== wantedRuns) {
			return `ran ${runs.length} times`;
		}

		return runs.map((req) => compare(row, req)).find((violation) => violation !== undefined);
	}

	private async ask(
		row: RequestRow,
		path: string,
		id: string,
		version: string,
	): Promise<ParsedAnswer | undefined> {
		const caller = await RawCaller.open(this.nodes[0]!.address, this.mesh.callerPort);
		const {lead, method, target, host, fields, content} = row;
		const own = `Host: ${host}\r\nX-Attempt-Id: ${id}\r\nX-Request-Deadline: 2000\r\n`;
		const hasConnection = /^connection:/imv.test(fields);
		const close = hasConnection ? '' : 'Connection: close\r\n';
		const line = `${method} ${target(path)} HTTP/${version}\r\n`;
		caller.send(`${lead}${line}${own}${fields}${close}\r\n${content}`);
		const readAnswer = () => {
			const bytes = skipInterim(caller.received);
			return parseAnswer(bytes, true, method);
		};

		const timer = setTimeout(() => {
			caller.destroy();
		}, idleLimit);
		const poll = setInterval(() => {
			if (hasConnection && readAnswer()?.body) {
				caller.destroy();
			}
		}, 5);
		await caller.closed;
		clearTimeout(timer);
		clearInterval(poll);
		return readAnswer();
	}
}

function skipInterim(bytes: Buffer): Buffer {
	const end = bytes.indexOf('\r\n\r\n');
	const isInterim = bytes.subarray(0, 10).toString('latin1') === 'HTTP/1.1 1';
	return isInterim && end !== -1 ? skipInterim(bytes.subarray(end + 4)) : bytes;
}

function compare(row: RequestRow, req: SeenRequest): string | undefined {
	if (req.body !== row.body || req.method !== row.method) {
		return `${req.method} with ${req.body.length} bytes for ${row.body.length}`;
	}

	const wrong = Object.entries(row.forwarded).find(([name, value]) => req.headers[name] !== value);
	return wrong && `field ${wrong[0]} is ${String(req.headers[wrong[0]]).slice(0, 40)}`;
}
