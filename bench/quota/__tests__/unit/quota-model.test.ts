import {describe, expect, it} from 'vitest';
import {play, scenarios, type Scenario} from '../../scenarios.js';

const seed = 1;
const maxLoss = 0.01;
const shortest = 20_000;

function scenario(name: string): Scenario {
	const found = scenarios.find((candidate) => candidate.name === name)!;
	return {duration: shortest, ...found};
}

/** The demand is at one node, at all nodes, or moves; single failures. */
const served = [
	'usual demand',
	'hot customers',
	'all customers hot',
	'hot at one node each',
	'hot, moving between nodes',
	'hot in one zone',
	'hot, moving between zones',
	'a tenth of the datagrams lost',
	'aggregator killed while hot',
	'regions cut while hot',
	'regions cut for 1.5 s while hot',
	'half of the nodes of each zone cut while hot',
	'few requests at idle nodes',
	'limit lowered to a third',
	'1,000 customers',
];

/** Failures of most nodes at once, in which parts are set aside or lost. */
const bounded = [
	'aggregators of all zones killed as the demand rises',
	'aggregator frozen for 1.5 s while hot',
	'all nodes isolated each while hot',
	'all restarted at once while hot',
	'nodes leave and join in turn while hot',
];

describe('quotas over 91 simulated nodes', () => {
	it.each(served)('stay within the bound and lose less than a hundredth: %s', async (name) => {
		const result = await play(scenario(name), seed);
		expect(result.worst).toBeLessThanOrEqual(1);
		expect(result.loss).toBeLessThan(maxLoss);
	});

	it.each(bounded)('stay within the bound: %s', async (name) => {
		const result = await play(scenario(name), seed);
		expect(result.worst).toBeLessThanOrEqual(1);
	});

	it('send little to other regions while no customer is above its fraction', async () => {
		const result = await play(scenario('usual demand'), seed);
		expect(result.otherRegionBytesPerSecond).toBeLessThan(5000);
	});
});
