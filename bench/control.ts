/**
 * Measures the control traffic, CPU time and memory of real node processes that serve no calls, for
 * several deployment sizes, and the time from the acceptance of a configuration change until it is
 * in force on every node.
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
const measureSeconds = 10;
const changeCount = 10;
const cpuLimitPercent = 4;
const controlLimitBytesPerSecond = 11_000;
const memoryLimitMb = 128;
const inForceLimitMs = 7000;
const millisPerSecond = 1000;

function createPlan(size: number): DeploymentPlan {
	return {...small, services: [{...small.services[0]!, backends: size}]};
}

async function readMeanControlBytes(deployment: Deployment): Promise<number> {
	let sum = 0;
	for (const pair of deployment.pairs) {
		const metrics = await fetchText(`http://${pair.address}:${ports.operator}/metrics`);
		for (const line of metrics.split('\n')) {
			if (line.startsWith('turmeric_link_bytes_total') && line.includes('control')) {
				sum += Number(line.split(' ').at(-1));
			}
		}
	}

	return sum / deployment.pairs.length;
}

async function sleep(delayMs: number): Promise<void> {
	await new Promise((resolve) => {
		setTimeout(resolve, delayMs);
	});
}

async function measureTimesToInForce(deployment: Deployment): Promise<number[]> {
	const times: number[] = [];
	for (let i = 0; i < changeCount; i++) {
		const folder = join(deployment.folder, `change-${i}`);
		cpSync('examples/small', folder, {recursive: true});
		const file = join(folder, 'templates', 'stock.ini');
		writeFileSync(file, readFileSync(file, 'utf8').replace('5 s', `${6 + i} s`));
		const {output} = await deployment.operate('apply', folder, '--json');
		const acceptedAt = performance.now();
		const {revision} = JSON.parse(output) as {revision: number};
		await deployment.waitFor(`revision ${revision} in force on every node`, async () => {
			const all = await Promise.all(deployment.pairs.map(async (pair) => deployment.status(pair)));
			return all.every((status) => status.revision.inForce === revision);
		});
		times.push(performance.now() - acceptedAt);
	}

	return times;
}

let isAnyTargetMissed = false;
console.log(`no calls; measured for ${measureSeconds} s after ${settleSeconds} s of settling`);
console.log(
	'nodes   CPU % of a core: mean  max   resident MB: max   control sent B/s / node   store reads/s, writes/s   accepted to in force, ms: p50  max',
);
for (const size of sizes) {
	const deployment = new Deployment(createPlan(size), size);
	try {
		await deployment.open();
		await sleep(settleSeconds * 1000);
		const pids = deployment.pairs.map((pair) => deployment.group.get(pair.node).child.pid!);
		const before = pids.map((pid) => readUsage(pid));
		const bytesBefore = await readMeanControlBytes(deployment);
		const storeBefore = await deployment.storeCounts();
		await sleep(measureSeconds * 1000);
		const after = pids.map((pid) => readUsage(pid));
		const cpu = after.map(
			({processor}, i) =>
				((processor - before[i]!.processor) / millisPerSecond / measureSeconds) * 100,
		);
		const bytes = ((await readMeanControlBytes(deployment)) - bytesBefore) / measureSeconds;
		const store = await deployment.storeCounts();
		const memory = Math.max(...pids.map((pid) => readUsage(pid).residentMb));
		const times = percentilesOf(await measureTimesToInForce(deployment));
		const meanCpu = cpu.reduce((sum, item) => sum + item, 0) / cpu.length;
		const isTargetMissed =
			meanCpu > cpuLimitPercent ||
			bytes > controlLimitBytesPerSecond ||
			memory > memoryLimitMb ||
			times.max > inForceLimitMs;
		isAnyTargetMissed ||= isTargetMissed;
		console.log(
			[
				String(size).padStart(5),
				meanCpu.toFixed(2).padStart(22),
				Math.max(...cpu)
					.toFixed(2)
					.padStart(6),
				memory.toFixed(0).padStart(16),
				bytes.toFixed(0).padStart(24),
				((store.reads - storeBefore.reads) / measureSeconds).toFixed(1).padStart(20),
				((store.writes - storeBefore.writes) / measureSeconds).toFixed(1).padStart(6),
				times.p50.toFixed(0).padStart(30),
				times.max.toFixed(0).padStart(6),
				isTargetMissed ? ' MISSED' : ' met',
			].join(' '),
		);
	} finally {
		await deployment.stop();
	}
}

process.exitCode = isAnyTargetMissed && process.argv.includes('--check') ? 1 : 0;
