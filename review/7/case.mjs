/* eslint-disable camelcase, no-await-in-loop, no-unmodified-loop-condition -- names of the wire, steps that follow each other */
/** The node beside a leaving backend server is killed, and two pings from before the leaving arrive late. */
import {Deployment, isTroubled, runCase, sleep, until} from '../lib-2/deployment.mjs';
import {send} from '../lib-2/consumer.mjs';

const drainMs = 2000;
const contactMs = 3000;
const deadlineMs = 2500;
/** From the ack of the leaving to the end of the backend server: the pages say "at times many seconds". */
const serveOnMs = 8000;
const killAfterMs = 300;
const restartAfterMs = 500;
/** Time from the ack at which the late pings arrive, which were sent 2.9 s and 1.4 s before it. */
const lateArrivalsMs = [1800, 2300];
const ratePerS = 20;
const playMs = 14_000;

const routes = {
	stock: {host: 'a.example', prefix: '/stock/', kind: 'safe', service: 'catalogue'},
	reserve: {host: 'a.example', prefix: '/reserve/', kind: 'unsafe', service: 'catalogue'},
};

await runCase(import.meta.dirname, async (record) => {
	const deployment = new Deployment('77.7');
	await deployment.startStore();
	for (const service of ['catalogue', 'catalogue', 'billing']) {
		await deployment.add({region: 'harju', zone: 'harju-a', service, slots: 9, work: 120});
	}

	deployment.configure(routes);
	await deployment.start();
	const [leavingNode, , ingress] = deployment.nodes;
	const {backend: leaving} = leavingNode;
	await until('requests are served', async () => {
		const answer = await send(ingress.callers, {
			host: 'a.example',
			path: '/stock/w',
			id: `w${performance.now()}`,
		});
		return answer.status === 200;
	});
	await sleep(contactMs + 1000);

	const pending = [];
	let isSending = true;
	let count = 0;
	const sendAll = async () => {
		while (isSending) {
			count += 1;
			const isSafe = count % 2 === 0;
			const kind = isSafe ? 'stock' : 'reserve';
			const method = isSafe ? 'GET' : 'POST';
			const id = `${kind}-${count}`;
			const req = {
				method,
				host: 'a.example',
				path: `/${kind}/${count}`,
				id,
				deadline: deadlineMs,
				body: isSafe ? '' : id,
			};
			pending.push(send(ingress.callers, req));
			await sleep(1000 / ratePerS);
		}
	};

	const sender = sendAll();
	await sleep(1000);
	// The last two pings before the leaving are on their way for seconds.
	clearInterval(leaving.timer);
	const lateBodies = [0, 0].map(() => {
		leaving.sequence += 1;
		const {address, born, service, zone, slots, sequence} = leaving;
		return {
			address,
			born,
			info: {service, version: 'v1', zone, slots},
			status: {state: 'ready', sequence, cold_remaining_ms: 0},
		};
	});
	await sleep(2900);
	leaving.state = 'draining';
	const ack = await leaving.deregister();
	const ackedAt = performance.now();
	const since = () => Math.round(performance.now() - ackedAt);
	record.add(`i-1 deregistered: ${ack}`);
	let restartedAt = Number.POSITIVE_INFINITY;
	if (isTroubled) {
		await sleep(killAfterMs);
		await leavingNode.kill();
		record.add(`node-1 killed ${since()} ms after the ack`);
		await sleep(restartAfterMs);
		leavingNode.start(false);
		restartedAt = performance.now();
		record.add(`node-1 started again ${since()} ms after the ack`);
		for (const [i, body] of lateBodies.entries()) {
			await sleep(Math.max(0, lateArrivalsMs[i] - since()));
			const status = await leaving.say('heartbeat', body);
			record.add(`ping ${body.status.sequence} arrives ${since()} ms after the ack: ${status}`);
		}
	}

	await sleep(Math.max(0, serveOnMs - since()));
	const cutRuns = leaving.runs.filter(({endedAt}) => endedAt === undefined).map(({id}) => id);
	leaving.close();
	record.add(`i-1 ended ${since()} ms after the ack, while it ran ${cutRuns.length}`);
	await sleep(Math.max(0, playMs - since()));
	isSending = false;
	await sender;
	const answers = await Promise.all(pending);
	const readyLog = isTroubled
		? leavingNode.log().filter(({event}) => /announce|backend-/v.test(event))
		: [];
	await deployment.stop();
	for (const line of readyLog) {
		record.add(`log of node-1: ${line.event} ${line.instance ?? ''} ${line.sequence ?? ''}`);
	}

	const byId = new Map(answers.map((answer) => [answer.id, answer]));
	for (const {id, status, end, sentAt, endedAt} of answers) {
		record.add(
			`${id} sent ${Math.round(sentAt - ackedAt)} ms after the ack: ${status} ${end} after ${Math.round(endedAt - sentAt)} ms`,
		);
	}

	const late = leaving.runs.filter(({id, at}) => {
		const sentAt = byId.get(id)?.sentAt ?? 0;
		return sentAt > ackedAt + drainMs && at > restartedAt + contactMs;
	});
	for (const {id, at} of late) {
		record.add(`${id} reached i-1 ${Math.round(at - ackedAt)} ms after the ack`);
	}

	const lost = late.filter(({id}) => byId.get(id)?.status !== 200);
	record.add(
		`requests sent later than ${drainMs} ms after the ack that reached i-1 by machines in touch: ${late.length}, not served: ${lost.length}`,
	);
	return late.length > 0;
});
