/**
 * Compares ways to choose the availability zone of a call on simulated nodes, with the same seeds, and writes a table
 * and a page with plots. Usage: zones [seeds] [filter], where `seeds` is a list such as `1,2,3` and `filter` a part of
 * the name of a scenario.
 */
import {mkdirSync, writeFileSync} from 'node:fs';
import process from 'node:process';
import {isMainThread, parentPort, Worker, workerData} from 'node:worker_threads';
import {SimulatedFleet} from './fleet/simulated-fleet.js';
import {sumWindows} from './fleet/trial.js';
import {zonePlacements, ZonePolicy} from './fleet/zone-placements.js';
import {renderZones, type ZoneOutcome, type ZoneTrial} from './fleet/zones-page.js';
import {zoneScenarios} from './fleet/zone-workload.js';

const reportFile = 'reports/zones.html';
const defaultSeeds = [1];
/** Simulations that run at the same time. */
const workerCount = 3;

async function play({scenario, policy, seed}: ZoneTrial): Promise<ZoneOutcome> {
	const {deployment, episode} = zoneScenarios.find(({name}) => name === scenario)!;
	const createPlacement = zonePlacements[policy];
	const fleet = new SimulatedFleet(deployment, episode, seed, new Set(), createPlacement);
	const {windows, attempts, flows} = await fleet.run();
	const {worth, worstWorth, inTime} = sumWindows(windows, attempts);
	const asked = windows.reduce((sum, {worthAsked}) => sum + worthAsked, 0);
	const cost = flows.cost / asked;
	const {leavingShare, mutualShare, change, leaving} = flows;
	const net = worth - cost;
	return {net, worstWorth, inTime, cost, leavingShare, mutualShare, change, leaving};
}

async function playInWorker(trial: ZoneTrial): Promise<ZoneOutcome> {
	return new Promise((resolve, reject) => {
		const worker = new Worker(new URL(import.meta.url), {workerData: trial});
		worker.once('message', resolve);
		worker.once('error', reject);
	});
}

async function playAll(trials: readonly ZoneTrial[]): Promise<ZoneOutcome[]> {
	const outcomes: ZoneOutcome[] = [];
	let next = 0;
	const playRest = async () => {
		while (next < trials.length) {
			const index = next;
			next += 1;
			outcomes[index] = await playInWorker(trials[index]!);
		}
	};

	await Promise.all(Array.from({length: workerCount}, playRest));
	return outcomes;
}

if (isMainThread) {
	const seeds = process.argv[2]?.split(',').map(Number) ?? defaultSeeds;
	const filter = process.argv[3] ?? '';
	const trials = zoneScenarios
		.filter(({name}) => name.includes(filter))
		.flatMap(({name: scenario}) =>
			Object.values(ZonePolicy).flatMap((policy) =>
				seeds.map((seed) => ({scenario, policy, seed})),
			),
		);
	const {text, html} = renderZones(trials, await playAll(trials));
	console.log(text);
	mkdirSync('reports', {recursive: true});
	writeFileSync(reportFile, html);
	console.log(`plots: ${reportFile}`);
} else {
	parentPort!.postMessage(await play(workerData as ZoneTrial));
}
