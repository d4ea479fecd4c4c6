/** Runs the soak of the configuration with some seeds: `node dist/scaffold/soak.js FIRST-SEED COUNT ROUNDS`. */
import process from 'node:process';
import {ConfigurationSoak} from './mesh/configuration-soak.js';
import {Mesh} from './mesh/mesh.js';

const [first = 1, count = 1, rounds = 5] = process.argv.slice(2).map(Number);
let broken = 0;
for (let seed = first; seed < first + count; seed++) {
	const mesh = new Mesh(150 + (seed % 50));
	const soak = new ConfigurationSoak(mesh, seed);
	try {
		await soak.open();
		await soak.run(rounds);
	} finally {
		await mesh.stop();
	}

	broken += soak.violations.length > 0 ? 1 : 0;
	console.log(`seed ${seed}: ${soak.violations.length} violations`);
	for (const {node, text, events} of soak.violations) {
		console.log(`  ${node}: ${text}`);
		for (const event of events) {
			console.log(`    ${event}`);
		}
	}
}

process.exitCode = broken > 0 ? 1 : 0;
