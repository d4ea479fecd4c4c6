/* eslint-disable camelcase -- The names on the wire are those of the users. */
/** A node that is stopping gets SIGTERM once more, within its grace time. */
import {bounds, isTroubled, runCase} from '../lib/deployment.mjs';
import {sleep} from '../lib/net.mjs';

const machines = [
	{region: 'terai', zone: 'birgunj', service: 'rangcheck'},
	{region: 'terai', zone: 'janakpur', service: 'kothaghar'},
	{region: 'pahad', zone: 'pokhara', service: 'sahakhata'},
];

const routes = {
	dose: {
		host: 'shop.example',
		prefix: '/dose/',
		kind: 'unsafe',
		service: 'kothaghar',
		attempts: 2,
		timeout_ms: 2500,
		target_latency_ms: 400,
		priority: 1,
	},
};

const requests = 6;
const work = 1200;
/** Time between the two signals. */
const gap = 500;

const play = async (deployment) => {
	await deployment.start(machines);
	deployment.configure(routes);
	await deployment.whenReady();
	await sleep(4000);
	const [stopping, server] = deployment.nodes;
	server.backend.workOf = () => work;
	const sent = Array.from({length: requests}, async (_, i) =>
		deployment.send(stopping, {method: 'POST', target: `/dose/${i}`, deadline: 2500}),
	);
	await sleep(200);
	const termAt = deployment.now;
	deployment.signal(stopping, 'SIGTERM');
	await sleep(gap);
	if (isTroubled) {
		deployment.signal(stopping, 'SIGTERM');
	}

	const answers = await Promise.all(sent);
	return answers
		.filter(
			({id, failed, endedAt}) =>
				failed !== undefined &&
				deployment.runs.has(id) &&
				endedAt < termAt + (bounds.grace_s + 1) * 1000,
		)
		.map(({id, failed, endedAt}) => ({id, failed, msAfterTerm: Math.round(endedAt - termAt)}));
};

await runCase(import.meta.dirname, play, 'record-second-term.txt');
