/**
 * Prints how far the resident memory of two nodes grows while backend servers send answers without end.
 * Usage: node dist/bench/endless-answers.js [CALLS AT ONCE]
 */
import {request, type ServerResponse} from 'node:http';
import process from 'node:process';
import {eventually, Mesh, type MeshNode} from '../scaffold/mesh/mesh.js';

const calls = Number(process.argv[2] ?? 7);
const routeTimeout = 2000;
const callerDelay = 300;
const samplePeriod = 50;
const line = 'x'.repeat(4096);
const fields = `X-Long: ${line}\r\n`;
const answerHead = 'HTTP/1.1 200 OK\r\nX-Server-Signature: signed\r\nX-Attempt-Id: ID\r\n';
const chunkedHead = `${answerHead}Transfer-Encoding: chunked\r\n\r\n`;

/** What is written once, and what is then written until the connection closes. */
const kinds = [
	{name: 'no answer', head: '', piece: line},
	{name: 'a field without end', head: `${answerHead}X-Long: `, piece: line},
	{name: 'short fields without end', head: answerHead, piece: 'a:b\r\n'.repeat(800)},
	{name: '103 with 4 KiB of fields', head: '', piece: `HTTP/1.1 103 Early Hints\r\n${fields}\r\n`},
	{name: 'chunks of 4 KiB', head: chunkedHead, piece: `1000\r\n${line}\r\n`},
	{name: 'chunks of 1 byte', head: chunkedHead, piece: '1\r\nx\r\n'.repeat(600)},
	{
		name: 'chunks with extension',
		head: chunkedHead,
		piece: `1;x=${'e'.repeat(200)}\r\nx\r\n`.repeat(20),
	},
	{name: 'an extension without end', head: `${chunkedHead}5;x=`, piece: line},
	{name: 'trailers without end', head: `${chunkedHead}0\r\n`, piece: 'a:b\r\n'.repeat(800)},
	{name: 'no length', head: `${answerHead}Connection: close\r\n\r\n`, piece: line},
	{name: 'more than its length', head: `${answerHead}Content-Length: 4096\r\n\r\n`, piece: line},
];

function writeEndlessly({socket}: ServerResponse, head: string, piece: string): void {
	const pump = () => {
		if (!socket?.writable) {
			return;
		}

		if (socket.write(piece)) {
			setImmediate(pump);
		} else {
			socket.once('drain', pump);
		}
	};

	socket?.write(head);
	pump();
}

async function call(node: MeshNode, port: number, id: string): Promise<void> {
	return new Promise((resolve) => {
		const headers = {host: 'a.example', 'x-attempt-id': id, 'x-request-deadline': '5000'};
		const req = request(
			{host: node.address, port, path: '/endless', method: 'POST', headers, agent: false},
			(res) => {
				// Reads nothing, so that all that a node may hold is held.
				res.once('error', () => undefined);
			},
		);
		req.once('error', () => undefined);
		// A caller that reads nothing does not notice the end of its answer.
		setTimeout(() => {
			req.destroy();
			resolve();
		}, routeTimeout + callerDelay);
		req.end();
	});
}

const mesh = new Mesh(62);
await mesh.startStore();
const alpha = await mesh.addNode({zone: 'a', region: 'one', service: 'alpha'});
const caller = await mesh.addNode({zone: 'a', region: 'one', service: 'beta'});
await mesh.configure([
	{host: 'a.example', prefix: '/', kind: 'unsafe', service: 'alpha', timeout_ms: routeTimeout},
]);
await mesh.settle();
await eventually(async () => (await mesh.statusFor(caller, {path: '/warm'})) === 200);
const nodes = [alpha, caller];
const base = nodes.map((node) => mesh.usage(node).residentMb);
for (const {name, head, piece} of kinds) {
	alpha.backend.behavior = (seen, res) => {
		writeEndlessly(res, head.replace('ID', seen.id), piece);
		return true;
	};

	const largest = [0, 0];
	const timer = setInterval(() => {
		for (const [i, node] of nodes.entries()) {
			largest[i] = Math.max(largest[i]!, mesh.usage(node).residentMb - base[i]!);
		}
	}, samplePeriod);
	const ran = alpha.backend.seen.length;
	await Promise.all(
		Array.from({length: calls}, async (_, i) =>
			call(caller, mesh.callerPort, `${name.replaceAll(' ', '-')}-${i}`),
		),
	);
	clearInterval(timer);
	const [executor, ingress] = largest.map((megabytes) => megabytes.toFixed(0));
	const sent = alpha.backend.seen.length - ran;
	console.log(`${name}: ${sent} answers, executor +${executor} MB, ingress +${ingress} MB`);
}

await mesh.stop();
