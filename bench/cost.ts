/**
 * Measures the resource use of deployed nodes: processor time per start, wake-ups per second when
 * idle, processor time per call on the two nodes that handle it, and resident memory.
 */
import process from 'node:process';
import {readDeployedCommand} from '../scaffold/deployment/deployed-command.js';
import {Mesh, type MeshNode} from '../scaffold/mesh/mesh.js';
import type {ProcessUsage} from '../scaffold/deployment/process-usage.js';

const nodeCount = 10;
const settleMs = 5000;
const idleSeconds = 10;
const loadSeconds = 15;
/** Calls per second at each node, about the rate of a large deployment. */
const callsPerSecond = 15;
const unsafeShare = 0.4;
const bodyBytes = 300;
const millisPerSecond = 1000;
const subnet = 71;

/**
 * Upper limits. The processor time of a start counts until every node is ready and knows all
 * members.
 */
const targets = {wakeUps: 6, callMillis: 0.4, startMillis: 40, residentMb: 45};

async function sleep(delayMs: number): Promise<void> {
	await new Promise((resolve) => {
		setTimeout(resolve, delayMs);
	});
}

type ResourceUse = Pick<ProcessUsage, 'processor' | 'wakeUps'>;

function resourceUseBetween(
	before: readonly ProcessUsage[],
	after: readonly ProcessUsage[],
): ResourceUse {
	let processor = 0;
	let wakeUps = 0;
	for (const [i, usage] of after.entries()) {
		processor += usage.processor - before[i]!.processor;
		wakeUps += usage.wakeUps - before[i]!.wakeUps;
	}

	return {processor, wakeUps};
}

async function sendFrom(mesh: Mesh, node: MeshNode): Promise<number> {
	const isUnsafe = Math.random() < unsafeShare;
	const answer = await mesh.send(node, {
		host: isUnsafe ? 'b.example' : 'a.example',
		path: '/x',
		method: isUnsafe ? 'POST' : 'GET',
		body: isUnsafe ? 'x'.repeat(bodyBytes) : undefined,
	});
	return answer.status;
}

async function generateCalls(mesh: Mesh): Promise<{calls: number; failed: number}> {
	const end = performance.now() + loadSeconds * millisPerSecond;
	const statuses: Array<Promise<number>> = [];
	await Promise.all(
		mesh.nodes.map(async (node) => {
			while (performance.now() < end) {
				await sleep((-Math.log(1 - Math.random()) * millisPerSecond) / callsPerSecond);
				statuses.push(sendFrom(mesh, node));
			}
		}),
	);
	const all = await Promise.all(statuses);
	return {calls: all.length, failed: all.filter((status) => status !== 200).length};
}

function printResult(name: string, value: number, unit: string, target: number): boolean {
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
	for (let i = 0; i < nodeCount; i++) {
		const service = i % 3 === 2 ? 'beta' : 'alpha';
		await mesh.addNode({zone: `z${i % 2}`, region: 'r', service});
	}

	await mesh.settle();
	const readAllUsage = () => mesh.nodes.map((node) => mesh.usage(node));
	const usageAfterStart = readAllUsage();
	await sleep(settleMs);
	const idleStart = readAllUsage();
	await sleep(idleSeconds * millisPerSecond);
	const idleEnd = readAllUsage();
	const {calls, failed} = await generateCalls(mesh);
	const loadEnd = readAllUsage();
	const idleUse = resourceUseBetween(idleStart, idleEnd);
	const loadedUse = resourceUseBetween(idleEnd, loadEnd);
	const idleToLoadFactor = loadSeconds / idleSeconds;
	const processorPerStart =
		usageAfterStart.reduce((sum, {processor}) => sum + processor, 0) / nodeCount;
	const maxResidentMb = Math.max(...loadEnd.map(({residentMb}) => residentMb));
	console.log(
		`${nodeCount} nodes, ${callsPerSecond} calls/s per node; ${calls} calls, ${failed} failed`,
	);
	console.log(
		`idle: ${(idleUse.processor / nodeCount / idleSeconds).toFixed(2)} ms of processor time per second`,
	);
	const results = [
		printResult(
			'idle wake-ups, including announcements',
			idleUse.wakeUps / nodeCount / idleSeconds,
			'/s',
			targets.wakeUps,
		),
		printResult(
			'processor time per call, both nodes',
			(loadedUse.processor - idleUse.processor * idleToLoadFactor) / calls,
			'ms',
			targets.callMillis,
		),
		printResult(
			'processor time per start, including Node.js',
			processorPerStart,
			'ms',
			targets.startMillis,
		),
		printResult('resident memory, maximum of all nodes', maxResidentMb, 'MB', targets.residentMb),
	];
	const isMissed = failed > 0 || results.includes(false);
	process.exitCode = isMissed && process.argv.includes('--check') ? 1 : 0;
} finally {
	await mesh.stop();
}
