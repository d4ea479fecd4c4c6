/* eslint-disable camelcase -- The names on the wire are those of the users. */
/** All open connections to the store go silent; four seconds later the operator changes the configuration. */
import {bounds, isTroubled, runCase} from '../lib/deployment.mjs';
import {sleep} from '../lib/net.mjs';

const places = [
	['harju', 'harju-a'],
	['harju', 'harju-b'],
	['parnu', 'parnu-a'],
	['parnu', 'parnu-b'],
];
const services = ['depot-catalogue', 'yard-booking', 'farm-billing'];
const machines = places.flatMap(([region, zone]) =>
	services.map((service) => ({region, zone, service})),
);

const route = (prefix, kind, service) => ({
	host: 'shop.example',
	prefix,
	kind,
	service,
	attempts: 2,
	timeout_ms: 1500,
	target_latency_ms: 400,
	priority: 1,
});

const first = {
	stay: route('/stay/', 'safe', 'depot-catalogue'),
	move: route('/move/', 'unsafe', 'yard-booking'),
	drop: route('/drop/', 'unsafe', 'farm-billing'),
};
const second = {...first, added: route('/added/', 'safe', 'depot-catalogue')};
const third = {
	stay: first.stay,
	move: route('/move/', 'unsafe', 'farm-billing'),
	added: second.added,
	latest: route('/latest/', 'safe', 'yard-booking'),
};

/** Time from the silence to the change; more than `contact_ms`, so that all machines are in touch. */
const calmTime = bounds.contact_ms + 1000;
/** How long the configuration in force is watched after its bound. */
const watchTime = 10_000;

await runCase(import.meta.dirname, async (deployment) => {
	await deployment.start(machines);
	deployment.configure(first);
	await deployment.whenReady();
	await sleep(3000);
	const serviceOf = new Map(
		deployment.nodes.map(({backend}) => [backend.instance, backend.service]),
	);
	const probe = async (node, target, method = 'GET') => {
		const answer = await deployment.send(node, {target, method, deadline: 1500});
		const instance = answer.body?.toString('latin1').split(' ', 1)[0];
		return {...answer, node: node.name, target, ranAt: serviceOf.get(instance)};
	};

	// A change without trouble, which also wakes every pending call of the feed.
	const secondAck = deployment.configure(second);
	await sleep(bounds.config_apply_ms);
	for (const node of deployment.nodes) {
		// eslint-disable-next-line no-await-in-loop
		const {status} = await probe(node, '/added/1');
		if (status === 404) {
			throw new Error(`${node.name} is late without trouble, ${deployment.now - secondAck} ms`);
		}
	}

	if (isTroubled) {
		const connections = deployment.store.silenceOpenConnections();
		deployment.record('silence', {connections});
	}

	await sleep(calmTime);
	const ackedAt = deployment.configure(third);
	await sleep(bounds.config_apply_ms + 50);
	const results = [];
	while (deployment.now < ackedAt + bounds.config_apply_ms + watchTime) {
		const round = deployment.nodes.flatMap((node) => [
			probe(node, '/move/1', 'POST'),
			probe(node, '/drop/1', 'POST'),
			probe(node, '/latest/1'),
		]);
		results.push(...(await Promise.all(round))); // eslint-disable-line no-await-in-loop
		await sleep(500); // eslint-disable-line no-await-in-loop
	}

	return results
		.filter(({sentAt}) => sentAt > ackedAt + bounds.config_apply_ms)
		.filter(
			({target, status, ranAt}) =>
				(target.startsWith('/move/') && ranAt === 'yard-booking') ||
				(target.startsWith('/drop/') && ranAt !== undefined) ||
				(target.startsWith('/latest/') && status === 404),
		)
		.map(({id, node, target, status, ranAt, sentAt}) => ({
			id,
			node,
			target,
			status,
			ranAt,
			msAfterAck: Math.round(sentAt - ackedAt),
		}));
});
