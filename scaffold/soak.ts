/**
 * Runs a soak with some seeds:
 * `node dist/scaffold/soak.js [--stops [--nodes 8] | --answers] [--logs FOLDER] FIRST-SEED COUNT ROUNDS`.
 * It changes the configuration, stops nodes as planned with `--stops`, or spoils and ends answers with `--answers`.
 */
import {mkdirSync, writeFileSync} from 'node:fs';
import {join} from 'node:path';
import process from 'node:process';
import {parseArgs} from 'node:util';
import {AnswerSoak, answerRounds} from './mesh/answer-soak.js';
import {ConfigurationSoak, type SoakSize} from './mesh/configuration-soak.js';
import {Mesh} from './mesh/mesh.js';
import {SoakEnd, type SoakRequest} from './mesh/soak-request.js';
import {StopSoak} from './mesh/stop-soak.js';

interface SoakResult {
	readonly violations: ReadonlyArray<{readonly text: string; readonly events: readonly string[]}>;
	/** What is told besides. */
	readonly notes: readonly string[];
}

/** With many zones every node reads the store; with few, most nodes learn of a change from others only. */
const sizes: readonly SoakSize[] = [
	{zones: 4, nodesPerZone: 2},
	{zones: 2, nodesPerZone: 5},
	{zones: 4, nodesPerZone: 3},
];

const {values, positionals} = parseArgs({
	options: {
		stops: {type: 'boolean', default: false},
		answers: {type: 'boolean', default: false},
		nodes: {type: 'string', default: '8'},
		logs: {type: 'string'},
	},
	allowPositionals: true,
});

async function soakConfiguration(mesh: Mesh, seed: number, rounds: number): Promise<SoakResult> {
	const soak = new ConfigurationSoak(mesh, seed, sizes[seed % sizes.length]);
	await soak.open();
	await soak.run(rounds);
	const violations = soak.violations.map(({node, text, events}) => ({
		text: `${node}: ${text}`,
		events,
	}));
	return {violations, notes: [`${soak.judged} answers judged`, soak.history.join(', ')]};
}

/** @returns how many requests were answered with each status, or ended otherwise. */
function countEnds(requests: readonly SoakRequest[]): string {
	const counts = new Map<string, number>();
	for (const {end = 'not sent', status} of requests) {
		const name = end === SoakEnd.Answered ? String(status) : end;
		counts.set(name, (counts.get(name) ?? 0) + 1);
	}

	return [...counts].map(([name, count]) => `${count} ${name}`).join(', ');
}

async function soakStops(mesh: Mesh, seed: number, rounds: number): Promise<SoakResult> {
	const soak = new StopSoak(mesh, seed);
	await soak.open(Number(values.nodes));
	await soak.run(rounds);
	const violations = soak.violations.map(({kind, text, events}) => ({
		text: `${kind} ${text}`,
		events,
	}));
	const stalls = soak.stalls.map(({text}) => `stalled ${text}`);
	return {
		violations,
		notes: [
			`${soak.requests.length} requests, ${stalls.length} stalls`,
			countEnds(soak.requests),
			...stalls,
			...soak.history,
		],
	};
}

/** Duration of a round in which answers are spoiled, in ms. */
const answerRoundTime = 4000;

async function soakAnswers(mesh: Mesh, seed: number, rounds: number): Promise<SoakResult> {
	const soak = new AnswerSoak(mesh, seed);
	await soak.open();
	const notes: string[] = [];
	for (const round of Array.from({length: rounds}, () => answerRounds).flat()) {
		const counts = await soak.play(round, answerRoundTime); // eslint-disable-line no-await-in-loop
		notes.push(`${round.name}: ${JSON.stringify(counts)}`);
	}

	return {violations: soak.violations.map((text) => ({text, events: []})), notes};
}

function chooseSoak() {
	if (values.answers) {
		return soakAnswers;
	}

	return values.stops ? soakStops : soakConfiguration;
}

function keepLogs(mesh: Mesh, seed: number): void {
	const folder = values.logs;
	if (folder !== undefined) {
		mkdirSync(folder, {recursive: true});
		for (const node of mesh.nodes) {
			writeFileSync(join(folder, `${seed}-${node.name}.log`), mesh.output(node));
		}
	}
}

const [first = 1, count = 1, rounds = 5] = positionals.map(Number);
const soak = chooseSoak();
let broken = 0;
for (let seed = first; seed < first + count; seed++) {
	const mesh = new Mesh(150 + (seed % 50));
	try {
		const {violations, notes} = await soak(mesh, seed, rounds);
		keepLogs(mesh, seed);
		broken += violations.length > 0 ? 1 : 0;
		console.log(`seed ${seed}: ${violations.length} violations`);
		for (const {text, events} of violations) {
			console.log(`  ${text}`);
			for (const event of events) {
				console.log(`    ${event}`);
			}
		}

		for (const note of notes) {
			console.log(`  ${note}`);
		}
	} finally {
		await mesh.stop();
	}
}

process.exitCode = broken > 0 ? 1 : 0;
