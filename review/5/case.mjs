/* eslint-disable camelcase -- The names on the wire are those of the users. */
/** A node gets SIGTERM while its backend server runs long requests; its consumers go on sending. */
import {bounds, isTroubled, runCase} from '../lib/deployment.mjs';
import {sleep} from '../lib/net.mjs';

const machines = [
	{region: 'terai', zone: 'birgunj', service: 'kothaghar'},
	{region: 'terai', zone: 'janakpur', service: 'rangcheck'},
	{region: 'pahad', zone: 'pokhara', service: 'kothaghar'},
	{region: 'pahad', zone: 'gorkha', service: 'sahakhata'},
];

const route = (prefix, kind, service, timeout) => ({
	host: 'shop.example',
	prefix,
	kind,
	service,
	attempts: 2,
	timeout_ms: timeout,
	target_latency_ms: 400,
	priority: 1,
});

const routes = {
	dose: route('/dose/', 'unsafe', 'kothaghar', 2500),
	check: route('/check/', 'safe', 'rangcheck', 2500),
};

const deadline = 2500;
/** Length of a run; it fits into the deadline. */
const work = 2200;
/** Sent to the backend server beside the stopping node before it takes no more calls of its peers. */
const firstAt = 1500;
/** Sent by the consumers on the machine of the stopping node, later than 3 s after SIGTERM. */
const lateAt = [3350, 3400, 3450, 3500, 3550];

await runCase(import.meta.dirname, async (deployment) => {
	await deployment.start(machines);
	deployment.configure(routes);
	await deployment.whenReady();
	await sleep(4000);
	const [stopping, other] = deployment.nodes;
	for (const {backend} of deployment.nodes) {
		backend.workOf = () => work;
	}

	const termAt = deployment.now;
	if (isTroubled) {
		deployment.signal(stopping, 'SIGTERM');
	}

	const until = async (offset) => sleep(Math.max(0, termAt + offset - deployment.now));
	await until(firstAt);
	const before = Array.from({length: 6}, async (_, i) =>
		deployment.send(other, {method: 'POST', target: `/dose/${i}`, deadline}),
	);
	const late = [];
	for (const offset of lateAt) {
		await until(offset); // eslint-disable-line no-await-in-loop
		late.push(
			deployment.send(stopping, {method: 'POST', target: `/dose/late-${offset}`, deadline}),
			deployment.send(stopping, {target: `/check/late-${offset}`, deadline}),
		);
	}

	await Promise.all(before);
	const answers = await Promise.all(late);
	const end = termAt + (bounds.grace_s + 1) * 1000;
	return answers
		.filter(
			({id, failed, sentAt, endedAt}) =>
				failed !== undefined &&
				deployment.runs.has(id) &&
				endedAt < end &&
				endedAt - sentAt < deadline,
		)
		.map(({id, failed, sentAt, endedAt}) => ({
			id,
			failed,
			sentMsAfterTerm: Math.round(sentAt - termAt),
			cutMsAfterTerm: Math.round(endedAt - termAt),
		}));
});
