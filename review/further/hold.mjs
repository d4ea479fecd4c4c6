/* eslint-disable camelcase, no-void -- The names on the wire are those of the users. */
/** A request that crashes each backend server that runs it keeps coming while the nodes are restarted in turn. */
import {bounds, isTroubled, runCase} from '../lib/deployment.mjs';
import {sleep} from '../lib/net.mjs';

const machines = [
	{region: 'harju', zone: 'harju-a', service: 'depot-catalogue'},
	{region: 'harju', zone: 'harju-b', service: 'depot-catalogue'},
	{region: 'parnu', zone: 'parnu-a', service: 'depot-catalogue'},
	{region: 'parnu', zone: 'parnu-b', service: 'depot-catalogue'},
	{region: 'harju', zone: 'harju-a', service: 'farm-billing'},
	{region: 'parnu', zone: 'parnu-a', service: 'yard-booking'},
];

const routes = {
	stock: {
		host: 'shop.example',
		prefix: '/stock/',
		kind: 'safe',
		service: 'depot-catalogue',
		attempts: 2,
		timeout_ms: 1500,
		target_latency_ms: 400,
		priority: 1,
	},
};

const crashingPath = '/stock/crash';
/** Time until a crashed backend server is back. */
const downTime = 2000;
/** Interval at which the request comes again, at each of two machines in turn. */
const repeatPeriod = 500;
/** Time from the start of a node to the SIGTERM of the next one. */
const rollGap = 9000;
const maxRetries = 3;

const play = async (deployment) => {
	await deployment.start(machines);
	deployment.configure(routes);
	await deployment.whenReady();
	await sleep(4000);
	const servers = deployment.nodes.slice(0, 4);
	const fronts = deployment.nodes.slice(4);
	const arrivals = [];
	for (const {backend} of servers) {
		backend.workOf = ({id, path}) => {
			if (path === crashingPath) {
				arrivals.push({id, at: deployment.now});
				deployment.record('crash', {id, instance: backend.instance, count: arrivals.length});
				backend.crash();
				setTimeout(() => {
					void backend.start();
				}, downTime);
			}

			return 20;
		};
	}

	const sentAt = new Map();
	const ending = new AbortController();
	const repeat = async () => {
		for (let i = 0; !ending.signal.aborted; i += 1) {
			const node = fronts[i % fronts.length];
			const id = deployment.newId();
			sentAt.set(id, deployment.now);
			void deployment.send(node, {target: crashingPath, deadline: 1500, id});
			await sleep(repeatPeriod); // eslint-disable-line no-await-in-loop
		}
	};

	const repeating = repeat();
	// By now two servers have crashed, and every node holds the request.
	await sleep(rollGap);
	for (const node of servers) {
		if (isTroubled) {
			deployment.signal(node, 'SIGTERM');
			await node.ended; // eslint-disable-line no-await-in-loop
			await sleep(300); // eslint-disable-line no-await-in-loop
			deployment.startNode(node);
		}

		await sleep(rollGap); // eslint-disable-line no-await-in-loop
	}

	ending.abort();
	await repeating;
	await sleep(1500);
	const third = arrivals[2];
	const late = third
		? arrivals.filter(({id}) => sentAt.get(id) > third.at + bounds.contact_ms)
		: [];
	deployment.record('count', {arrivals: arrivals.length, afterThird: late.length});
	return late.length > maxRetries
		? late.map(({id, at}) => ({id, msAfterThirdCrash: Math.round(at - third.at)}))
		: [];
};

await runCase(import.meta.dirname, play, 'record-hold.txt');
