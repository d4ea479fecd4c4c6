/* eslint-disable no-await-in-loop -- steps that follow each other */
/** Sound backend servers announce a trailer in answers that carry none. */
import {Deployment, isTroubled, runCase, sleep, until} from '../lib-2/deployment.mjs';
import {send} from '../lib-2/consumer.mjs';

const deadlineMs = 2000;
const requestsPerKind = 40;
/** Share of the answers that announce a trailer. */
const everyNth = 4;

const routes = {
	stock: {host: 'a.example', prefix: '/stock/', kind: 'safe', service: 'catalogue'},
	invoice: {host: 'a.example', prefix: '/invoice/', kind: 'unsafe', service: 'billing'},
};

await runCase(import.meta.dirname, async (record) => {
	const deployment = new Deployment('77.8');
	await deployment.startStore();
	for (const service of ['catalogue', 'billing', 'catalogue', 'billing']) {
		await deployment.add({region: 'harju', zone: 'harju-a', service, slots: 9, work: 40});
	}

	deployment.configure(routes);
	await deployment.start();
	const announced = new Set();
	for (const {backend} of deployment.nodes) {
		backend.behavior = (run, res, finish) => {
			if (!run.path.endsWith('/announced')) {
				return false;
			}

			announced.add(run.id);
			setTimeout(() => {
				const trailer = isTroubled ? {trailer: 'X-Checksum'} : {};
				res.writeHead(200, {
					...backend.headers(run.id),
					'x-server-signature': `s-${run.id}`,
					'transfer-encoding': 'chunked',
					...trailer,
				});
				res.end(`body of ${run.id}`);
				finish();
			}, backend.work);
			return true;
		};
	}

	for (const node of deployment.nodes) {
		await until(`${node.name} serves`, async () => {
			const [stock, invoice] = await Promise.all([
				send(node.callers, {host: 'a.example', path: '/stock/w', id: `w${performance.now()}`}),
				send(node.callers, {
					method: 'POST',
					host: 'a.example',
					path: '/invoice/w',
					id: `v${performance.now()}`,
				}),
			]);
			return stock.status === 200 && invoice.status === 200;
		});
	}

	await sleep(4000);
	const pending = [];
	for (let i = 1; i <= requestsPerKind; i += 1) {
		for (const [kind, method] of [
			['stock', 'GET'],
			['invoice', 'POST'],
		]) {
			const node = deployment.nodes[i % deployment.nodes.length];
			const path = `/${kind}/${i}${i % everyNth === 0 ? '/announced' : ''}`;
			const id = `${kind}-${i}`;
			const req = {
				method,
				host: 'a.example',
				path,
				id,
				deadline: deadlineMs,
				body: method === 'POST' ? id : '',
				isKept: true,
			};
			pending.push(send(node.callers, req).then((answer) => ({...answer, node: node.name})));
		}

		await sleep(50);
	}

	const answers = await Promise.all(pending);
	const runs = new Set(deployment.nodes.flatMap(({backend}) => backend.runs.map(({id}) => id)));
	const errors = deployment.nodes.flatMap((node) =>
		node.log().filter(({event}) => event === 'unexpected-error'),
	);
	await deployment.stop();
	for (const {id, path, node, status, end, sentAt, endedAt} of answers) {
		const ran = runs.has(id) ? 'ran' : 'did not run';
		record.add(
			`${id} ${path} at ${node}: ${ran}, ${status} ${end} after ${Math.round(endedAt - sentAt)} ms`,
		);
	}

	for (const {error} of errors.slice(0, 3)) {
		record.add(`log: unexpected-error ${error}`);
	}

	const lost = answers.filter(({id, status}) => status === 0 && runs.has(id));
	record.add(
		`answers that announce a trailer or would: ${announced.size}; requests that ran at a sound backend server and whose connection ended without an answer: ${lost.length}`,
	);
	return lost.length > 3;
});
