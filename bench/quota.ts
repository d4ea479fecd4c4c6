/**
 * Prints what the quota model measures. Arguments: a part of the names of the scenarios, the number of seeds, and the
 * name of a rule.
 */
import process from 'node:process';
import {alternatives} from './quota/alternatives.js';
import {play, scenarios} from './quota/scenarios.js';

const [filter = '', seeds = '1', rule = 'sums per zone'] = process.argv.slice(2);
const rules = [...alternatives].filter(([name]) => rule === 'all' || name === rule);
for (const scenario of scenarios.filter(({name}) => name.includes(filter))) {
	for (const [name, create] of rules) {
		for (let seed = 1; seed <= Number(seeds); seed++) {
			const result = await play(scenario, seed, create?.());
			process.stdout.write(
				`${name.padEnd(15)} ${scenario.name.padEnd(52)} ${seed} ` +
					`requests ${result.requests} run ${result.run} ` +
					`worst ${result.worst.toFixed(3)} ${result.worstCustomer}@${Math.round(result.worstAt)} ` +
					`loss ${(result.loss * 100).toFixed(2)} % (not hot ${(result.lossWithin * 100).toFixed(2)} %) ` +
					`${Math.round(result.datagramsPerSecond)}/s zone ${Math.round(result.otherZoneBytesPerSecond)} ` +
					`region ${Math.round(result.otherRegionBytesPerSecond)} B/s\n`,
			);
		}
	}
}
