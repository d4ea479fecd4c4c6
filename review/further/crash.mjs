/* eslint-disable camelcase -- The names on the wire are those of the users. */
/** A backend server that is leaving sends a long answer with `Connection: close`, as a consumer elsewhere asked. */
import {Buffer} from 'node:buffer';
import {Agent} from 'node:http';
import {isTroubled, runCase} from '../lib/deployment.mjs';
import {sleep} from '../lib/net.mjs';

const machines = [
	{region: 'harju', zone: 'harju-a', service: 'depot-catalogue'},
	{region: 'harju', zone: 'harju-b', service: 'yard-booking'},
	{region: 'parnu', zone: 'parnu-a', service: 'farm-billing'},
];

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

const routes = {
	list: route('/list/', 'safe', 'depot-catalogue'),
	reserve: route('/reserve/', 'unsafe', 'yard-booking'),
};

const answerBytes = 230_000;
const maxLists = 20;
const consumers = 6;
/** Length of a reservation, in ms. */
const work = 300;
/** More connections than this may not be closed without an answer. */
const maxCut = 3;

const play = async (deployment) => {
	await deployment.start(machines);
	deployment.configure(routes);
	await deployment.whenReady();
	await sleep(3000);
	const [machine, booking] = deployment.nodes;
	const {backend} = machine;
	booking.backend.workOf = () => work;
	backend.answer = (seen, res) => {
		const body = Buffer.alloc(answerBytes, `${seen.id} stock and price\n`);
		const headers = backend.headersFor(seen, body);
		// A backend server that is leaving closes the connection behind its answer.
		const connection = isTroubled ? 'close' : 'keep-alive';
		res.writeHead(200, {...headers, 'content-length': body.length, connection});
		res.end(body);
	};

	const ending = new AbortController();
	const answers = [];
	const consume = async (agent) => {
		for (let i = 0; !ending.signal.aborted; i += 1) {
			const target = `/reserve/${i}`;
			// eslint-disable-next-line no-await-in-loop
			const answer = await deployment.send(machine, {method: 'POST', target, agent});
			answers.push({...answer, isKept: i > 0});
			if (answer.failed !== undefined) {
				return;
			}
		}
	};

	const consuming = Array.from({length: consumers}, async () =>
		consume(new Agent({keepAlive: true, maxSockets: 1})),
	);
	await sleep(2 * work);
	let lists = 0;
	while (lists < maxLists && machine.isRunning) {
		lists += 1;
		await deployment.send(booking, {target: `/list/${lists}`}); // eslint-disable-line no-await-in-loop
	}

	ending.abort();
	await Promise.all(consuming);
	deployment.record('lists', {lists, isRunning: machine.isRunning});
	const cut = answers.filter(
		({id, failed, isKept}) => isKept && failed !== undefined && deployment.runs.has(id),
	);
	return cut.length > maxCut ? cut.map(({id, failed}) => ({id, failed})) : [];
};

await runCase(import.meta.dirname, play, 'record-crash.txt');
