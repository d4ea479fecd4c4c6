/* eslint-disable no-await-in-loop -- names of the wire, steps that follow each other */
/** Faulty backend servers now and then write status lines without end in the body of an answer. */
import {Deployment, isTroubled, runCase, sleep, until} from '../lib-2/deployment.mjs';
import {send} from '../lib-2/consumer.mjs';

const routeTimeoutMs = 1000;
const graceMs = 500;
const deadlineMs = 3000;
const playMs = 30_000;
const troubleFromMs = 5000;
/** Three times 5.5 s, as long as the sites' longest garbled answers, with a second between. */
const troubleTimes = 3;
const troubleMs = 5500;
const calmMs = 1000;
/** Share of the answers that the faulty backend servers, half of all, spoil. */
const spoiledShare = 0.05;
/** Requests a second from the consumers of each machine to each service. */
const ratePerS = 20;
const piece = 'HTTP/1.1 200 OK\r\n'.repeat(1000);

const routes = {
	stock: {host: 'a.example', prefix: '/stock/', kind: 'safe', service: 'catalogue'},
	invoice: {host: 'a.example', prefix: '/invoice/', kind: 'unsafe', service: 'billing'},
};

function writeWithoutEnd(socket) {
	const pump = () => {
		if (socket.writable) {
			if (socket.write(piece)) {
				setImmediate(pump);
			} else {
				socket.once('drain', pump);
			}
		}
	};

	pump();
}

await runCase(import.meta.dirname, async (record) => {
	const deployment = new Deployment('77.6');
	await deployment.startStore();
	for (const service of ['catalogue', 'billing', 'catalogue', 'billing']) {
		const zone = deployment.nodes.length < 2 ? 'harju-a' : 'harju-b';
		await deployment.add({region: 'harju', zone, service, slots: 9, work: 40});
	}

	deployment.configure(routes);
	await deployment.start();
	const [first] = deployment.nodes;
	const startedAt = performance.now();
	const now = () => performance.now() - startedAt;
	const endless = new Set();
	let candidates = 0;
	const spoil = (run, res, finish) => {
		const time = now() - troubleFromMs;
		const period = troubleMs + calmMs;
		const isTime = time >= 0 && time < troubleTimes * period && time % period < troubleMs;
		if (!isTroubled || !isTime) {
			return false;
		}

		candidates += 1;
		if (candidates % Math.round(1 / spoiledShare) !== 0) {
			return false;
		}

		endless.add(run.id);
		record.add(`${run.id} is answered with a body without end`);
		const {socket} = res;
		socket.once('close', finish);
		const head = `X-Attempt-Id: ${run.id}\r\nX-Server-Signature: s-${run.id}\r\nConnection: close`;
		socket.write(`HTTP/1.1 200 OK\r\n${head}\r\n\r\n`);
		writeWithoutEnd(socket);
		return true;
	};

	for (const {backend} of deployment.nodes.filter(({place}) => place.service === 'catalogue')) {
		backend.behavior = spoil;
	}

	for (const node of deployment.nodes) {
		await until(`${node.name} serves`, async () => {
			const paths = [
				['GET', '/stock/warm'],
				['POST', '/invoice/warm'],
			];
			const answers = await Promise.all(
				paths.map(async ([method, path], i) =>
					send(node.callers, {method, host: 'a.example', path, id: `w${i}${performance.now()}`}),
				),
			);
			return answers.every(({status}) => status === 200);
		});
	}

	const begin = now();
	const pending = [];
	const looks = [];
	let count = 0;
	while (now() - begin < playMs) {
		for (const node of deployment.nodes) {
			for (const [method, kind] of [
				['GET', 'stock'],
				['POST', 'invoice'],
			]) {
				count += 1;
				const id = `${kind}-${count}`;
				const path = `/${kind}/${count}`;
				const body = method === 'POST' ? `invoice ${count}` : '';
				const req = {method, host: 'a.example', path, id, deadline: deadlineMs, body};
				pending.push(
					send(node.callers, req).then((answer) => ({...answer, node: node.name, at: now()})),
				);
			}
		}

		if (looks.length < (now() - begin) / 1000) {
			looks.push(first.isReady());
		}

		await sleep(1000 / ratePerS);
	}

	const answers = await Promise.all(pending);
	const readiness = await Promise.all(looks);
	await deployment.stop();
	const sound = answers.filter(({id}) => !endless.has(id));
	const late = sound.filter(({endedAt, sentAt}) => endedAt - sentAt > routeTimeoutMs);
	const held = late.filter(({endedAt, sentAt}) => endedAt - sentAt > routeTimeoutMs + graceMs);
	for (const {id, node, status, end, sentAt, endedAt} of answers) {
		record.add(`${id} at ${node}: ${status} ${end} after ${Math.round(endedAt - sentAt)} ms`);
	}

	const statuses = {};
	for (const {status, end, node} of sound) {
		const key = `${node} ${status} ${end}`;
		statuses[key] = (statuses[key] ?? 0) + 1;
	}

	record.add(`sound requests: ${JSON.stringify(statuses)}`);
	record.add(
		`readiness of node-1, asked once a second: ${readiness.map((is) => (is ? 1 : 0)).join('')}`,
	);
	const ran = new Set(deployment.nodes.flatMap(({backend}) => backend.runs.map(({id}) => id)));
	const lost = sound.filter(({id, status}) => status === 0 && ran.has(id));
	record.add(`sound requests that ran and got no answer within ${deadlineMs} ms: ${lost.length}`);
	record.add(`answers without end: ${endless.size} of ${candidates}`);
	record.add(
		`sound requests ${sound.length}, unanswered at ${routeTimeoutMs} ms ${late.length}, of these unanswered ${graceMs} ms later ${held.length}`,
	);
	return late.length >= 8 && held.length > late.length / 2;
});
