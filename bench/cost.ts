/** What a deployed node costs: a start, a second at rest, and a call at both of its nodes. */
import process from 'node:process';
import {readDeployedCommand} from '../scaffold/deployment/deployed-command.js';
import {Mesh, type MeshNode} from '../scaffold/mesh/mesh.js';
import type {ProcessUsage} from '../scaffold/deployment/process-usage.js';

const nodes = 10;
const settleTime = 5000;
const restSeconds = 10;
const callSeconds = 15;
/** Calls a second at each node; the users' grown deployments have about as many. */
const rate = 15;
const unsafeShare = 0.4;
const bodyBytes = 300;
const millis = 1000;
const subnet = 71;

/** Targets of the users' platform. A start is counted to the end of the meeting with the others. */
const targets = {wakeUps: 6, callMillis: 0.4, startMillis: 40, residentMb: 45};

async function sleep(span: number): Promise<void> {
	await new Promise((resolve) => {
		setTimeout(resolve, span);
	});
}

type Spent = Pick<ProcessUsage, 'processor' | 'wakeUps'>;

function spentBetween(before: readonly ProcessUsage[], after: readonly ProcessUsage[]): Spent {
	let processor = 0;
	let wakeUps = 0;
	for (const [i, usage] of after.entries()) {
		processor += usage.processor - before[i]!.processor;
		wakeUps += usage.wakeUps - before[i]!.wakeUps;
	}

	return {processor, wakeUps};
}

async function callFrom(mesh: Mesh, node: MeshNode): Promise<number> {
	const isUnsafe = Math.random() < unsafeShare;
	const answer = await mesh.send(node, {
		host: isUnsafe ? 'b.example' : 'a.example',
		path: '/x',
		method: isUnsafe ? 'POST' : 'GET',
		body: isUnsafe ? 'x'.repeat(bodyBytes) : undefined,
	});
	return answer.status;
}

async function playCalls(mesh: Mesh): Promise<{calls: number; failed: number}> {
	const end = performance.now() + callSeconds * millis;
	const statuses: Array<Promise<number>> = [];
	await Promise.all(
		mesh.nodes.map(async (node) => {
			while (performance.now() < end) {
				await sleep((-Math.log(1 - Math.random()) * millis) / rate);
				statuses.push(callFrom(mesh, node));
			}
		}),
	);
	const all = await Promise.all(statuses);
	return {calls: all.length, failed: all.filter((status) => status !== 200).length};
}

function row(name: string, value: number, unit: string, target: number): boolean {
	const isMet = value <= target;
	const figure = `${value.toFixed(2)} ${unit}`.padStart(16);
	console.log(`${name.padEnd(48)}${figure}   target ${target}   ${isMet ? 'met' : 'MISSED'}`);
	return isMet;
}

const mesh = new Mesh(subnet, readDeployedCommand());
try {
	await mesh.startStore();
	await mesh.configure([
		{host: 'a.example', prefix: '/', kind: 'safe', service: 'alpha'},
		{host: 'b.example', prefix: '/', kind: 'unsafe', service: 'beta'},
	]);
	for (let i = 0; i < nodes; i++) {
		const service = i % 3 === 2 ? 'beta' : 'alpha';
		await mesh.addNode({zone: `z${i % 2}`, region: 'r', service});
	}

	await mesh.settle();
	const read = () => mesh.nodes.map((node) => mesh.usage(node));
	const started = read();
	await sleep(settleTime);
	const restFrom = read();
	await sleep(restSeconds * millis);
	const restTo = read();
	const {calls, failed} = await playCalls(mesh);
	const callsTo = read();
	const rest = spentBetween(restFrom, restTo);
	const busy = spentBetween(restTo, callsTo);
	const restShare = callSeconds / restSeconds;
	const perStart = started.reduce((sum, {processor}) => sum + processor, 0) / nodes;
	const peak = Math.max(...callsTo.map(({residentMb}) => residentMb));
	console.log(`${nodes} nodes, ${rate} calls/s each; ${calls} calls, ${failed} failed`);
	console.log(
		`at rest: ${(rest.processor / nodes / restSeconds).toFixed(2)} ms of processor time a second`,
	);
	const results = [
		row(
			'wake-ups at rest, with announcements',
			rest.wakeUps / nodes / restSeconds,
			'a second',
			targets.wakeUps,
		),
		row(
			'a call at both nodes',
			(busy.processor - rest.processor * restShare) / calls,
			'ms',
			targets.callMillis,
		),
		row('a start, with that of Node.js', perStart, 'ms', targets.startMillis),
		row('resident memory, most', peak, 'MB', targets.residentMb),
	];
	const isMissed = failed > 0 || results.includes(false);
	process.exitCode = isMissed && process.argv.includes('--check') ? 1 : 0;
} finally {
	await mesh.stop();
}
