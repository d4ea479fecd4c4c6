/**
 * Cost of the path, all variants side by side in one run: direct, through the node beside the
 * backend server, and through two nodes. Bounds come from the users' targets.
 */
import process from 'node:process';
import {percentilesOf} from '../src/replay/index.js';
import {sendCall, type CallerAnswer} from '../scaffold/deployment/caller.js';
import {Deployment, ports} from '../scaffold/deployment/deployment.js';
import {readUsage} from '../scaffold/deployment/process-usage.js';
import {small} from '../scaffold/deployment/place.js';

const rate = 200;
const seconds = 12;
const warmUpSeconds = 4;
const addedLimit = 1.7;
const memoryLimit = 128;
const closedLoopCallers = 16;
const closedLoopSeconds = 4;

interface Variant {
	readonly name: string;
	send(index: number): Promise<CallerAnswer>;
}

const onePlace = {
	...small,
	zones: [small.zones[0]!],
	services: [{...small.services[0]!, backends: 2, slots: 200, connections: 200}],
};
const deployment = new Deployment(onePlace, 5);

/** Open loop: calls start at their times, however long the others take. */
async function openLoop(variant: Variant, length: number): Promise<number[]> {
	const durations: number[] = [];
	const pending: Array<Promise<void>> = [];
	const startedAt = performance.now();
	for (let i = 0; i < rate * length; i++) {
		const at = startedAt + (i * 1000) / rate;
		const delay = at - performance.now();
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
	// The second variant drains one backend server, so that each node has one choice.
	await deployment.operateNode('drain', b!);
	await deployment.waitFor('one to serve', async () => deployment.isServing(1));
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
	console.log(`${rate} calls/s, ${seconds} s each; ms\n`);
	console.log(
		'variant      p50     p99    p99.9   CPU of the nodes for a call, us   calls/s closed loop',
	);
	for (const variant of variants) {
		const nodes = [pid(a!.node), pid(b!.node)];
		const before = nodes.reduce((sum, item) => sum + readUsage(item).processor, 0);
		const durations = await openLoop(variant, seconds);
		const spent = nodes.reduce((sum, item) => sum + readUsage(item).processor, 0) - before;
		const result = percentilesOf(durations);
		results.set(variant.name, result);
		const throughput = await closedLoop(variant);
		console.log(
			[
				variant.name.padEnd(10),
				result.p50.toFixed(2).padStart(6),
				result.p99.toFixed(2).padStart(7),
				result.p999.toFixed(2).padStart(8),
				((spent * 1000) / durations.length).toFixed(0).padStart(16),
				throughput.toFixed(0).padStart(30),
			].join(' '),
		);
	}

	const added = results.get('two nodes')!.p99 - results.get('direct')!.p99;
	const addedMedian = results.get('two nodes')!.p50 - results.get('direct')!.p50;
	const memory = Math.max(readUsage(pid(a!.node)).residentMb, readUsage(pid(b!.node)).residentMb);
	console.log(
		`\nadded by two nodes: p50 ${addedMedian.toFixed(2)} ms, p99 ${added.toFixed(2)} ms (target ${addedLimit} ms)`,
	);
	console.log(
		`resident memory of a node after the load: ${memory.toFixed(0)} MB (target ${memoryLimit} MB)`,
	);
	const isMissed = added > addedLimit || memory > memoryLimit;
	console.log(isMissed ? 'target missed' : 'targets met');
	process.exitCode = isMissed && process.argv.includes('--check') ? 1 : 0;
} finally {
	await deployment.stop();
}
