import type {ServerResponse} from 'node:http';
import {afterAll, beforeAll, describe, expect, it} from 'vitest';
import type {SeenRequest} from '../scaffold/mesh/mesh-backend.js';
import {eventually, Mesh, type MeshNode, type MeshRoute} from '../scaffold/mesh/mesh.js';

/** Statuses that tell a caller that its request has not run and never will. */
const promises = [408, 421, 429, 503];
const routes: MeshRoute[] = [
	{host: 'a.example', prefix: '/safe/', kind: 'safe', service: 'alpha'},
	{host: 'a.example', prefix: '/unsafe/', kind: 'unsafe', service: 'alpha'},
];

/** Plain requests before each row: retries draw on a budget that is a share of all requests. */
const plainRequests = 30;

type Row = {
	readonly kind: 'safe' | 'unsafe';
	readonly status: number;
	readonly hasId: boolean;
	readonly isSigned: boolean;
	/** Whether the server has not run the request, and says so. */
	readonly isRefusal: boolean;
	readonly isChunked: boolean;
};

const rowCount = 128;

/** Each combination once: the number of a row is made of its columns. */
const rows = Array.from({length: rowCount}, (_, i): Row => {
	const isSet = (column: number): boolean => Math.floor(i / 2 ** column) % 2 === 1;
	return {
		kind: isSet(6) ? 'unsafe' : 'safe',
		status: promises[Math.floor(i / 16) % promises.length]!,
		hasId: isSet(3),
		isSigned: isSet(2),
		isRefusal: isSet(1),
		isChunked: isSet(0),
	};
});

function answer(row: Row, {id}: SeenRequest, res: ServerResponse, instance: string): void {
	const text = 'not now';
	res.writeHead(row.status, {
		'x-instance-id': instance,
		...(row.hasId && {'x-attempt-id': id}),
		...(row.isSigned && {'x-server-signature': 'signed'}),
		...(row.isRefusal && {'x-not-executed': '1'}),
		...(!row.isChunked && {'content-length': String(text.length)}),
	});
	res.end(text);
}

// Guards against a server's own 408, 421, 429 or 503 that a caller takes for a promise, although the request has run: the
// caller sends it again, and it runs twice. Its twin: what is proved not to have run is served by another server.
describe('a backend server that answers with a status of refusals', () => {
	const mesh = new Mesh(71);
	let ingress: MeshNode;
	let servers: MeshNode[];
	/** Servers that have run a request, by its id. */
	const runs = new Map<string, string[]>();
	const refused = new Set<string>();

	beforeAll(async () => {
		await mesh.startStore();
		servers = [
			await mesh.addNode({zone: 'a', region: 'one', service: 'alpha'}),
			await mesh.addNode({zone: 'a', region: 'one', service: 'alpha'}),
		];
		ingress = await mesh.addNode({zone: 'a', region: 'one', service: 'beta'});
		await mesh.configure(routes);
		await mesh.settle();
		await eventually(async () => (await mesh.statusFor(ingress, {path: '/safe/0'})) === 200);
		for (const {backend} of servers) {
			const {instance} = backend.identity;
			backend.behavior = (seen, res) => {
				const row = rows[Number(/\/row\/(\d+)/v.exec(seen.path)?.[1])];
				// The first server to get the request answers as the row says.
				if (row?.isRefusal && !refused.has(seen.id)) {
					refused.add(seen.id);
					answer(row, seen, res, instance);
					return true;
				}

				runs.set(seen.id, [...(runs.get(seen.id) ?? []), instance]);
				const isFirst = runs.get(seen.id)?.length === 1;
				if (row && !row.isRefusal && isFirst) {
					answer(row, seen, res, instance);
					return true;
				}

				return false;
			};
		}
	});

	afterAll(async () => {
		await mesh.stop();
	});

	async function sendPlainRequests(): Promise<void> {
		const requests = Array.from({length: plainRequests}, async () =>
			mesh.statusFor(ingress, {path: '/safe/plain'}),
		);
		await Promise.all(requests);
	}

	it('has its runs told as such, and its refusals passed to another server', async () => {
		const wrong: string[] = [];
		const heldBack: string[] = [];
		for (const [i, row] of rows.entries()) {
			await sendPlainRequests();
			const {kind, status, hasId, isSigned, isRefusal} = row;
			const id = `row-${i}`;
			const method = kind === 'safe' ? 'GET' : 'POST';
			const got = await mesh.send(ingress, {path: `/${kind}/row/${i}`, method, id});
			const ran = runs.get(id)?.length ?? 0;
			const text = `${JSON.stringify(row)}: ${got.status}, ran ${ran} times: ${got.body}`;
			const isPromised = ran > 0 && promises.includes(got.status);
			const isUnknown = got.status === 504;
			if (kind === 'unsafe' && (ran > 1 || isPromised || (!isRefusal && !isUnknown))) {
				wrong.push(text);
			}

			const isProved = isRefusal && hasId;
			const isReturnable = kind === 'safe' && isSigned && hasId && status === got.status;
			if ((isProved || kind === 'safe') && got.status !== 200 && !isReturnable) {
				heldBack.push(text);
			}
		}

		expect({rows: rows.length, wrong, heldBack}).toEqual({rows: rowCount, wrong: [], heldBack: []});
	});
});
