/* eslint-disable camelcase -- The names on the wire are those of the users. */
/** A backend server leaves, its node is killed and starts again, and two pings from before arrive late. */
import {bounds, isTroubled, runCase} from '../lib/deployment.mjs';
import {sleep} from '../lib/net.mjs';

const machines = [
	{region: 'terai', zone: 'birgunj', service: 'kothaghar'},
	{region: 'terai', zone: 'janakpur', service: 'kothaghar'},
	{region: 'pahad', zone: 'pokhara', service: 'rangcheck'},
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

const heartbeat = 1500;
/** How late the last two pings before the departure are, in ms. */
const delays = [5500, 4500];
/** How long the leaving server still serves. */
const serveTime = 12_000;
const killDelay = 200;
const startDelay = 500;
const sendPeriod = 100;

const play = async (deployment) => {
	await deployment.start(machines);
	deployment.configure(routes);
	await deployment.whenReady();
	await sleep(4000);
	const [leaving, , front] = deployment.nodes;
	const {backend} = leaving;
	const {instance} = backend;
	for (const node of deployment.nodes) {
		node.backend.workOf = () => 60;
	}

	// The last two pings of the server.
	clearInterval(backend.timer);
	for (const delay of delays) {
		await sleep(heartbeat); // eslint-disable-line no-await-in-loop
		if (isTroubled) {
			const body = backend.nextPing();
			deployment.record('ping-held', {instance, sequence: backend.sequence});
			setTimeout(async () => {
				const status = await backend.say('heartbeat', body);
				deployment.record('late-ping', {instance, delay, status});
			}, delay);
		} else {
			await backend.ping(); // eslint-disable-line no-await-in-loop
		}
	}

	// From now on the health path tells that it leaves.
	backend.state = 'leaving';
	const status = await backend.say('deregister', JSON.stringify({born: backend.born}));
	const ackedAt = deployment.now;
	deployment.record('deregister-ack', {instance, status});
	if (status !== 200) {
		throw new Error(`the departure was not acknowledged: ${status}`);
	}

	if (isTroubled) {
		await sleep(killDelay);
		deployment.signal(leaving, 'SIGKILL');
		await leaving.ended;
		await sleep(startDelay);
		deployment.startNode(leaving);
	}

	const inTouchAt = deployment.now + bounds.contact_ms;
	const requests = [];
	for (let i = 0; deployment.now < ackedAt + serveTime; i += 1) {
		requests.push(deployment.send(front, {method: 'POST', target: `/dose/${i}`, deadline: 2500}));
		await sleep(sendPeriod); // eslint-disable-line no-await-in-loop
	}

	const answers = await Promise.all(requests);
	return answers
		.map(({id, sentAt}) => ({id, sentAt, run: deployment.runsAt(id, instance)}))
		.filter(
			({sentAt, run}) => run !== undefined && run > ackedAt + bounds.drain_ms && sentAt > inTouchAt,
		)
		.map(({id, run}) => ({id, instance, msAfterAck: Math.round(run - ackedAt)}));
};

await runCase(import.meta.dirname, play, 'record-drain.txt');
