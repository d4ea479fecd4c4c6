/**
 * Compares the latency, processor time and throughput of three call paths in one run: directly to
 * the backend server, through the node on the VM of the backend server, and through two nodes.
 */
import process from 'node:process';
import {percentilesOf} from '../src/replay/index.js';
import {sendCall, type CallerAnswer} from '../scaffold/deployment/caller.js';
import {Deployment, ports} from '../scaffold/deployment/deployment.js';
import {readUsage} from '../scaffold/deployment/process-usage.js';
import {small} from '../scaffold/deployment/place.js';

const callsPerSecond = 200;
const measureSeconds = 12;
const warmUpSeconds = 4;
const addedP99LimitMs = 1.7;
const memoryLimitMb = 128;
const closedLoopCallers = 16;
const closedLoopSeconds = 4;

interface Variant {
	readonly name: string;
	send(index: number): Promise<CallerAnswer>;
}

const singleZonePlan = {
	...small,
	zones: [small.zones[0]!],
	services: [{...small.services[0]!, backends: 2, slots: 200, connections: 200}],
};
const deployment = new Deployment(singleZonePlan, 5);

/**
 * Open loop: starts calls at a fixed rate, regardless of how long earlier calls take.
 *
 * @returns the duration of each call in ms.
 * @throws if a call is not answered with status 200.
 */
async function openLoop(variant: Variant, durationSeconds: number): Promise<number[]> {
	const durations: number[] = [];
	const pending: Array<Promise<void>> = [];
	const startedAt = performance.now();
	for (let i = 0; i < callsPerSecond * durationSeconds; i++) {
		const startTime = startedAt + (i * 1000) / callsPerSecond;
		const delay = startTime - performance.now();
		if (delay > 0) {
			await new Promise((resolve) => {
				setTimeout(resolve, delay);
			});
		}

		pending.push(
			variant.send(i).then((answer) => {
				if (answer.status !== 200) {
					throw new Error(`${variant.name}: ${answer.status} ${answer.reason}`);
				}

				durations.push(answer.duration);
			}),
		);
	}

	await Promise.all(pending);
	return durations;
}

/**
 * Closed loop: each caller starts its next call when the previous one has ended.
 *
 * @returns the throughput in calls per second.
 */
async function closedLoop(variant: Variant): Promise<number> {
	const until = performance.now() + closedLoopSeconds * 1000;
	let count = 0;
	await Promise.all(
		Array.from({length: closedLoopCallers}, async () => {
			while (performance.now() < until) {
				await variant.send(count);
				count += 1;
			}
		}),
	);
	return count / closedLoopSeconds;
}

try {
	await deployment.open();
	const [a, b] = deployment.pairs;
	const call = async (node: string, index: number) =>
		sendCall({node, service: 'stock', customer: 'kuressaare', callId: `b${index}`, path: '/?ms=0'});
	// Drains the second backend server, so that both nodes route every call to the first one.
	await deployment.operateNode('drain', b!);
	await deployment.waitFor('one backend server to be serving', async () => deployment.isServing(1));
	const variants: Variant[] = [
		{name: 'direct', send: async (i) => call(`${a!.address}:${ports.backend}`, i)},
		{name: 'one node', send: async (i) => call(`${a!.address}:${ports.caller}`, i)},
		{name: 'two nodes', send: async (i) => call(`${b!.address}:${ports.caller}`, i)},
	];
	for (const variant of variants) {
		await openLoop(variant, warmUpSeconds);
	}

	const results = new Map<string, ReturnType<typeof percentilesOf>>();
	const pid = (name: string) => deployment.group.get(name).child.pid!;
	console.log(`${callsPerSecond} calls/s, ${measureSeconds} s per variant; latencies in ms\n`);
	console.log(
		'variant      p50     p99    p99.9   CPU of both nodes per call, us    calls/s closed loop',
	);
	for (const variant of variants) {
		const nodes = [pid(a!.node), pid(b!.node)];
		const before = nodes.reduce((sum, item) => sum + readUsage(item).processor, 0);
		const durations = await openLoop(variant, measureSeconds);
		const processorMs = nodes.reduce((sum, item) => sum + readUsage(item).processor, 0) - before;
		const result = percentilesOf(durations);
		results.set(variant.name, result);
		const throughput = await closedLoop(variant);
		console.log(
			[
				variant.name.padEnd(10),
				result.p50.toFixed(2).padStart(6),
				result.p99.toFixed(2).padStart(7),
				result.p999.toFixed(2).padStart(8),
				((processorMs * 1000) / durations.length).toFixed(0).padStart(16),
				throughput.toFixed(0).padStart(30),
			].join(' '),
		);
	}

	const addedP99 = results.get('two nodes')!.p99 - results.get('direct')!.p99;
	const addedMedian = results.get('two nodes')!.p50 - results.get('direct')!.p50;
	const memory = Math.max(readUsage(pid(a!.node)).residentMb, readUsage(pid(b!.node)).residentMb);
	console.log(
		`\nadded by two nodes: p50 ${addedMedian.toFixed(2)} ms, p99 ${addedP99.toFixed(2)} ms (target ${addedP99LimitMs} ms)`,
	);
	console.log(
		`resident memory of a node after the load: ${memory.toFixed(0)} MB (target ${memoryLimitMb} MB)`,
	);
	const isMissed = addedP99 > addedP99LimitMs || memory > memoryLimitMb;
	console.log(isMissed ? 'target missed' : 'targets met');
	process.exitCode = isMissed && process.argv.includes('--check') ? 1 : 0;
} finally {
	await deployment.stop();
}
