/** Runs the soak of the configuration with some seeds: `node dist/scaffold/soak.js FIRST-SEED COUNT ROUNDS [LOG-FOLDER]`. */
import {mkdirSync, writeFileSync} from 'node:fs';
import {join} from 'node:path';
import process from 'node:process';
import {ConfigurationSoak, type SoakSize} from './mesh/configuration-soak.js';
import {Mesh} from './mesh/mesh.js';

/** With many zones every node reads the store; with few, most nodes learn of a change from others only. */
const sizes: readonly SoakSize[] = [
	{zones: 4, nodesPerZone: 2},
	{zones: 2, nodesPerZone: 5},
	{zones: 4, nodesPerZone: 3},
];

const [firstText, countText, roundsText, logFolder] = process.argv.slice(2);
const [first, count, rounds] = [firstText ?? 1, countText ?? 1, roundsText ?? 5].map(Number) as [
	number,
	number,
	number,
];
let broken = 0;
for (let seed = first; seed < first + count; seed++) {
	const mesh = new Mesh(150 + (seed % 50));
	const soak = new ConfigurationSoak(mesh, seed, sizes[seed % sizes.length]);
	try {
		await soak.open();
		await soak.run(rounds);
		keepLogs(mesh, seed);
	} finally {
		await mesh.stop();
	}

	broken += soak.violations.length > 0 ? 1 : 0;
	console.log(`seed ${seed}: ${soak.violations.length} violations, ${soak.judged} answers judged`);
	console.log(`  ${soak.history.join(', ')}`);
	for (const {node, text, events} of soak.violations) {
		console.log(`  ${node}: ${text}`);
		for (const event of events) {
			console.log(`    ${event}`);
		}
	}
}

process.exitCode = broken > 0 ? 1 : 0;

function keepLogs(mesh: Mesh, seed: number): void {
	if (logFolder !== undefined) {
		mkdirSync(logFolder, {recursive: true});
		for (const node of mesh.nodes) {
			writeFileSync(join(logFolder, `${seed}-${node.name}.log`), mesh.output(node));
		}
	}
}
