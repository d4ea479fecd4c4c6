import {describe, expect, it} from 'vitest';
import {Mechanism} from '../../../../src/experiment/index.js';
import {SimulatedFleet, type FleetOutcome} from '../../simulated-fleet.js';
import {sumWindows, type TrialOutcome} from '../../trial.js';
import {deployments, episodes} from '../../workload.js';

const overloadMechanisms = new Set([
	Mechanism.OverloadOrder,
	Mechanism.LateRefusal,
	Mechanism.LateReserve,
	Mechanism.ElapsedTime,
]);

async function simulate(
	deploymentName: string,
	episodeName: string,
	disabled?: ReadonlySet<Mechanism>,
): Promise<FleetOutcome> {
	const deployment = deployments.find(({name}) => name === deploymentName)!;
	const episode = episodes.find(({name}) => name === episodeName)!;
	return new SimulatedFleet(deployment, episode, 1, disabled).run();
}

async function play(
	deployment: string,
	episode: string,
	disabled?: ReadonlySet<Mechanism>,
): Promise<TrialOutcome> {
	const {windows, attempts} = await simulate(deployment, episode, disabled);
	return sumWindows(windows, attempts);
}

describe('A fleet that starts cold with more calls than it can serve', () => {
	it.each(['short calls', 'long calls', 'single slots'])(
		'answers more calls in time than one that keeps late calls in its queues (%s)',
		async (deployment) => {
			const own = await play(deployment, 'cold overload');
			const other = await play(deployment, 'cold overload', overloadMechanisms);
			expect(own.inTime).toBeGreaterThan(other.inTime);
			expect(own.worth).toBeGreaterThan(other.worth);
		},
		60_000,
	);
});

describe('A fleet under its usual load', () => {
	it.each(['short calls', 'long calls'])(
		'answers 9 of 10 calls in time (%s)',
		async (deployment) => {
			const {inTime} = await play(deployment, 'usual load');
			expect(inTime).toBeGreaterThanOrEqual(0.9);
		},
		60_000,
	);
});

describe('A fleet in which two of five backend servers of a service name a rate limit', () => {
	it.each(['short calls', 'long calls'])(
		'keeps the limit of 6 calls per second (%s)',
		async (deployment) => {
			const {mostLimitedStarts} = await simulate(deployment, 'rate limits');
			expect(mostLimitedStarts).toBeLessThanOrEqual(1.5 * 6 * 4 + 5);
			expect(mostLimitedStarts).toBeGreaterThanOrEqual(6 * 2);
		},
		60_000,
	);
});
