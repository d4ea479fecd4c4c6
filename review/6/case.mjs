/* eslint-disable no-await-in-loop -- steps that follow each other */
/** A backend server fails a part of its requests after it has run them, with a bare 503. */
import {Deployment, isTroubled, runCase, sleep, until} from '../lib-2/deployment.mjs';
import {send} from '../lib-2/consumer.mjs';

const deadlineMs = 2000;
const playMs = 14_000;
const troubleFromMs = 3000;
const troubleToMs = 11_000;
/** One in so many requests of the grey backend server fails: 0.4 of them. */
const failsOf = {failing: 2, all: 5};
const ratePerS = 20;
const promises = new Set([408, 421, 429, 503]);

const routes = {
	stock: {host: 'a.example', prefix: '/stock/', kind: 'safe', service: 'catalogue'},
	invoice: {host: 'a.example', prefix: '/invoice/', kind: 'unsafe', service: 'billing'},
};

await runCase(import.meta.dirname, async (record) => {
	const deployment = new Deployment('77.10');
	await deployment.startStore();
	const services = [
		'billing',
		'catalogue',
		'billing',
		'catalogue',
		'billing',
		'catalogue',
		'catalogue',
	];
	for (const service of services) {
		await deployment.add({region: 'harju', zone: 'harju-a', service, slots: 9, work: 60});
	}

	deployment.configure(routes);
	await deployment.start();
	const [{backend: grey}] = deployment.nodes;
	let startedAt = Number.POSITIVE_INFINITY;
	const now = () => performance.now() - startedAt;
	let seen = 0;
	const failed = new Set();
	grey.behavior = (run, res, finish) => {
		const isTime = now() >= troubleFromMs && now() < troubleToMs;
		if (!isTroubled || !isTime) {
			return false;
		}

		seen += 1;
		if (seen % failsOf.all >= failsOf.failing) {
			return false;
		}

		failed.add(run.id);
		setTimeout(() => {
			// As an HTTP library answers by itself, without the headers of the application.
			res.writeHead(503, {'content-type': 'text/plain'});
			res.end('Service Unavailable\n');
			finish();
		}, grey.work);
		return true;
	};

	for (const node of deployment.nodes) {
		await until(`${node.name} serves`, async () => {
			const id = `w${performance.now()}`;
			const req = {method: 'POST', host: 'a.example', path: '/invoice/w', id};
			const answer = await send(node.callers, req);
			return answer.status === 200;
		});
	}

	await sleep(4000);
	startedAt = performance.now();
	const pending = [];
	let count = 0;
	// A consumer sends an invoice again only behind a promise that it has not run, with an id of its own.
	const issue = async (node, number) => {
		const answers = [];
		for (const attempt of [1, 2]) {
			const id = `invoice-${number}-${attempt}`;
			const path = `/invoice/${number}`;
			const req = {method: 'POST', host: 'a.example', path, id, body: path, deadline: deadlineMs};
			const answer = await send(node.callers, req);
			answers.push({...answer, number, node: node.name});
			if (!promises.has(answer.status)) {
				break;
			}
		}

		return answers;
	};

	while (now() < playMs) {
		count += 1;
		pending.push(issue(deployment.nodes[count % deployment.nodes.length], count));
		await sleep(1000 / ratePerS);
	}

	const groups = await Promise.all(pending);
	const answers = groups.flat();
	await deployment.stop();
	const runs = new Map();
	for (const {backend} of deployment.nodes) {
		for (const {id, path} of backend.runs) {
			runs.set(id, {path, by: backend.id});
		}
	}

	for (const {id, node, status, end, signature} of answers) {
		const run = runs.get(id);
		const ran = run ? `ran at ${run.by}` : 'did not run';
		record.add(
			`${id} at ${node}: ${ran}, answered ${status} ${end}, signature ${signature ?? 'none'}`,
		);
	}

	const untrue = answers.filter(({id, status}) => promises.has(status) && runs.has(id));
	const times = new Map();
	for (const {path} of runs.values()) {
		times.set(path, (times.get(path) ?? 0) + 1);
	}

	const twice = [...times].filter(([path, number]) => path !== '/invoice/w' && number > 1);
	record.add(`requests that i-1 ran and answered with a bare 503: ${failed.size} of ${seen}`);
	record.add(`invoices that ran twice, as their consumers sent them again: ${twice.length}`);
	record.add(
		`unsafe requests that have run and were answered 408, 421, 429 or 503: ${untrue.length}`,
	);
	return untrue.length > 0;
});
