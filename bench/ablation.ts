/**
 * Plays the heaviest seconds of several deployments with each mechanism switched off in turn, on the same
 * seeds, and writes a table and a page with plots. Usage: ablation [seeds] [filter], where `seeds` is a list
 * such as `1,2,3` and `filter` a part of `deployment/episode`.
 */
import {mkdirSync, writeFileSync} from 'node:fs';
import {availableParallelism} from 'node:os';
import process from 'node:process';
import {isMainThread, parentPort, Worker, workerData} from 'node:worker_threads';
import {Mechanism} from '../src/experiment/index.js';
import {renderAblation} from './fleet/ablation-page.js';
import {SimulatedFleet} from './fleet/simulated-fleet.js';
import {sumWindows, type Trial, type TrialOutcome} from './fleet/trial.js';
import {deployments, episodes} from './fleet/workload.js';

const reportFile = 'reports/ablation.html';
const defaultSeeds = [1, 2, 3];

async function play({deployment, episode, disabled, seed}: Trial): Promise<TrialOutcome> {
	const fleet = new SimulatedFleet(
		deployments.find(({name}) => name === deployment)!,
		episodes.find(({name}) => name === episode)!,
		seed,
		new Set(disabled === undefined ? [] : [disabled]),
	);
	const {windows, attempts} = await fleet.run();
	return sumWindows(windows, attempts);
}

async function playInWorker(trial: Trial): Promise<TrialOutcome> {
	return new Promise((resolve, reject) => {
		const worker = new Worker(new URL(import.meta.url), {workerData: trial});
		worker.once('message', resolve);
		worker.once('error', reject);
	});
}

function listTrials(seeds: readonly number[], filter: string): Trial[] {
	const trials: Trial[] = [];
	for (const disabled of [undefined, ...Object.values(Mechanism)]) {
		for (const {name: deployment} of deployments) {
			for (const {name: episode} of episodes) {
				if (`${deployment}/${episode}`.includes(filter)) {
					trials.push(...seeds.map((seed) => ({deployment, episode, disabled, seed})));
				}
			}
		}
	}

	return trials;
}

async function playAll(trials: readonly Trial[]): Promise<TrialOutcome[]> {
	const outcomes: TrialOutcome[] = [];
	let next = 0;
	const playRest = async () => {
		while (next < trials.length) {
			const index = next;
			next += 1;
			outcomes[index] = await playInWorker(trials[index]!);
		}
	};

	const workers = Math.max(1, Math.floor(availableParallelism() / 2));
	await Promise.all(Array.from({length: workers}, playRest));
	return outcomes;
}

if (isMainThread) {
	const seeds = process.argv[2]?.split(',').map(Number) ?? defaultSeeds;
	const trials = listTrials(seeds, process.argv[3] ?? '');
	const {text, html} = renderAblation(trials, await playAll(trials));
	console.log(text);
	mkdirSync('reports', {recursive: true});
	writeFileSync(reportFile, html);
	console.log(`plots: ${reportFile}`);
} else {
	parentPort!.postMessage(await play(workerData as Trial));
}
