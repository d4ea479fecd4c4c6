/**
 * Cost of control with real node processes and no calls, at several sizes; and the time until an
 * accepted change is in force on every node.
 */
import {cpSync, readFileSync, writeFileSync} from 'node:fs';
import {join} from 'node:path';
import process from 'node:process';
import {percentilesOf} from '../src/replay/index.js';
import {Deployment, fetchText, ports} from '../scaffold/deployment/deployment.js';
import {readUsage} from '../scaffold/deployment/process-usage.js';
import {small, type DeploymentPlan} from '../scaffold/deployment/place.js';

const sizes = [10, 20, 40];
const settleSeconds = 12;
const seconds = 10;
const changes = 10;
const cpuLimit = 4;
const bytesLimit = 11_000;
const memoryLimit = 128;
const inForceLimit = 7000;
const millisPerSecond = 1000;

function planOf(size: number): DeploymentPlan {
	return {...small, services: [{...small.services[0]!, backends: size}]};
}

async function controlBytes(deployment: Deployment): Promise<number> {
	let sum = 0;
	for (const pair of deployment.pairs) {
		const text = await fetchText(`http://${pair.address}:${ports.operator}/metrics`);
		for (const line of text.split('\n')) {
			if (line.startsWith('turmeric_link_bytes_total') && line.includes('control')) {
				sum += Number(line.split(' ').at(-1));
			}
		}
	}

	return sum / deployment.pairs.length;
}

async function sleep(span: number): Promise<void> {
	await new Promise((resolve) => {
		setTimeout(resolve, span);
	});
}

async function measureChanges(deployment: Deployment): Promise<number[]> {
	const times: number[] = [];
	for (let i = 0; i < changes; i++) {
		const folder = join(deployment.folder, `change-${i}`);
		cpSync('examples/small', folder, {recursive: true});
		const file = join(folder, 'templates', 'stock.ini');
		writeFileSync(file, readFileSync(file, 'utf8').replace('5 s', `${6 + i} s`));
		const {output} = await deployment.operate('apply', folder, '--json');
		const acceptedAt = performance.now();
		const {revision} = JSON.parse(output) as {revision: number};
		await deployment.waitFor(`revision ${revision} everywhere`, async () => {
			const all = await Promise.all(deployment.pairs.map(async (pair) => deployment.status(pair)));
			return all.every((status) => status.revision.inForce === revision);
		});
		times.push(performance.now() - acceptedAt);
	}

	return times;
}

let isMissed = false;
console.log(`no calls; ${seconds} s after ${settleSeconds} s of rest`);
console.log(
	'nodes   CPU % of a core: mean  max   resident MB: max   control sent B/s a node   store reads/s, writes/s   accepted to in force, ms: p50  max',
);
for (const size of sizes) {
	const deployment = new Deployment(planOf(size), size);
	try {
		await deployment.open();
		await sleep(settleSeconds * 1000);
		const pids = deployment.pairs.map((pair) => deployment.group.get(pair.node).child.pid!);
		const before = pids.map((pid) => readUsage(pid));
		const bytesBefore = await controlBytes(deployment);
		const storeBefore = await deployment.storeCounts();
		await sleep(seconds * 1000);
		const after = pids.map((pid) => readUsage(pid));
		const cpu = after.map(
			({processor}, i) => ((processor - before[i]!.processor) / millisPerSecond / seconds) * 100,
		);
		const bytes = ((await controlBytes(deployment)) - bytesBefore) / seconds;
		const store = await deployment.storeCounts();
		const memory = Math.max(...pids.map((pid) => readUsage(pid).residentMb));
		const times = percentilesOf(await measureChanges(deployment));
		const meanCpu = cpu.reduce((sum, item) => sum + item, 0) / cpu.length;
		const isBad =
			meanCpu > cpuLimit || bytes > bytesLimit || memory > memoryLimit || times.max > inForceLimit;
		isMissed ||= isBad;
		console.log(
			[
				String(size).padStart(5),
				meanCpu.toFixed(2).padStart(22),
				Math.max(...cpu)
					.toFixed(2)
					.padStart(6),
				memory.toFixed(0).padStart(16),
				bytes.toFixed(0).padStart(24),
				((store.reads - storeBefore.reads) / seconds).toFixed(1).padStart(20),
				((store.writes - storeBefore.writes) / seconds).toFixed(1).padStart(6),
				times.p50.toFixed(0).padStart(30),
				times.max.toFixed(0).padStart(6),
				isBad ? ' MISSED' : ' met',
			].join(' '),
		);
	} finally {
		await deployment.stop();
	}
}

process.exitCode = isMissed && process.argv.includes('--check') ? 1 : 0;
