/* eslint-disable camelcase -- The names on the wire are those of the users. */
/** A node is killed while unsafe requests that it has passed on run at another machine; then everything is back. */
import {Buffer} from 'node:buffer';
import {isTroubled, runCase} from '../lib/deployment.mjs';
import {sleep} from '../lib/net.mjs';

const machines = [
	{region: 'terai', zone: 'birgunj', service: 'rangcheck'},
	{region: 'terai', zone: 'janakpur', service: 'kothaghar'},
	{region: 'pahad', zone: 'pokhara', service: 'sahakhata'},
];

const routes = {
	payout: {
		host: 'shop.example',
		prefix: '/payout/',
		kind: 'unsafe',
		service: 'sahakhata',
		attempts: 2,
		timeout_ms: 2500,
		target_latency_ms: 400,
		priority: 0,
	},
};

const deadline = 2500;
const slots = 9;
/** Length of a run, and of its answer. */
const work = 500;
const answerBytes = 600_000;
/** `recovery_s` of the site. */
const recoveryTime = 15_000;
const laterRequests = 40;

const play = async (deployment) => {
	await deployment.start(machines);
	deployment.configure(routes);
	await deployment.whenReady();
	await sleep(4000);
	const [killed, other, server] = deployment.nodes;
	const {backend} = server;
	backend.workOf = () => work;
	backend.answer = (seen, res) => {
		const isList = seen.path.startsWith('/payout/list-');
		const body = Buffer.alloc(isList ? answerBytes : 100, `${seen.id} ${seen.path}\n`);
		res.writeHead(200, {...backend.headersFor(seen, body), 'content-length': body.length});
		res.end(body);
	};

	const payout = async (node, name) =>
		deployment.send(node, {method: 'POST', target: `/payout/${name}`, deadline});
	const isServed = ({status, failed}) => failed === undefined && status === 200;

	const before = [];
	for (let i = 0; i < laterRequests / 4; i += 1) {
		const round = [payout(killed, `before-${i}`), payout(other, `before-${i}`)];
		before.push(...(await Promise.all(round))); // eslint-disable-line no-await-in-loop
	}

	const lists = Array.from({length: slots}, async (_, i) => payout(killed, `list-${i}`));
	await sleep(work / 2);
	if (isTroubled) {
		deployment.signal(killed, 'SIGKILL');
		await killed.ended;
		await sleep(500);
		deployment.startNode(killed);
	}

	await Promise.all(lists);
	await deployment.whenReady();
	deployment.record('back');
	await sleep(recoveryTime);
	const later = [];
	for (let i = 0; i < laterRequests / 4; i += 1) {
		const round = [
			payout(killed, `later-${i}`),
			payout(other, `later-${i}`),
			payout(server, `later-${i}`),
		];
		later.push(...(await Promise.all(round))); // eslint-disable-line no-await-in-loop
	}

	const servedBefore = before.filter((answer) => isServed(answer)).length / before.length;
	const servedLater = later.filter((answer) => isServed(answer)).length / later.length;
	deployment.record('served', {before: servedBefore, later: servedLater, requests: later.length});
	const isBroken = servedBefore >= 0.25 && servedLater < 0.25;
	return isBroken
		? later.filter((answer) => !isServed(answer)).map(({id, status}) => ({id, status}))
		: [];
};

await runCase(import.meta.dirname, play, 'record-kill.txt');
