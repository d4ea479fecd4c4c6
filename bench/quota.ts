/** Prints what the quota model measures: for each scenario, and for the rules that were weighed. */
import process from 'node:process';
import {play, scenarios} from './quota/scenarios.js';

const filter = process.argv[2] ?? '';
const seeds = Number(process.argv[3] ?? 1);
for (const scenario of scenarios.filter(({name}) => name.includes(filter))) {
	for (let seed = 1; seed <= seeds; seed++) {
		const r = await play(scenario, seed);
		process.stdout.write(
			`${scenario.name.padEnd(52)} ${seed} requests ${r.requests} run ${r.run} ` +
				`worst ${r.worst.toFixed(3)} ${r.worstCustomer}@${Math.round(r.worstAt)} loss ${(r.loss * 100).toFixed(2)} % ` +
				`(not hot ${(r.lossWithin * 100).toFixed(2)} %) ${Math.round(r.datagramsPerSecond)}/s ` +
				`zone ${Math.round(r.otherZoneBytesPerSecond)} region ${Math.round(r.otherRegionBytesPerSecond)} B/s\n`,
		);
	}
}
