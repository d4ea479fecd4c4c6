import {
	FaultKind,
	TraceEventKind,
	type FaultEvent,
	type TraceEvent,
} from '../../src/replay/index.js';
import {kerakot, rannakivi, type DeploymentPlan} from '../deployment/place.js';
import {drawTraffic, kerakotKinds, rannakiviKinds, type CallKind} from './traffic.js';

/** A trace of the repository with the outcomes that it must have. */
export interface NamedTrace {
	readonly name: string;
	readonly plan: DeploymentPlan;
	/** Share of calls that must be answered in time, from 0 to 1; copies count one by one. */
	readonly goodput: number;
	/** @returns the events, the same at each call. */
	create(): TraceEvent[];
}

const length = 8000;

function fault(at: number, kind: FaultKind, target = '', amount = 0): FaultEvent {
	return {kind: TraceEventKind.Fault, at, fault: kind, target, amount};
}

function draw(plan: DeploymentPlan, kinds: readonly CallKind[], seed: number): TraceEvent[] {
	return drawTraffic({plan, kinds, start: 0, end: length, seed, prefix: `t${seed}`});
}

function merge(...parts: TraceEvent[][]): TraceEvent[] {
	return parts.flat().toSorted((a, b) => a.at - b.at);
}

/** The traces of the repository; `npm run traces` writes them. */
export const namedTraces: readonly NamedTrace[] = [
	{
		name: 'rannakivi-morning-rush',
		plan: rannakivi,
		goodput: 0.99,
		create() {
			const rush = drawTraffic({
				plan: rannakivi,
				kinds: rannakiviKinds(2),
				start: 3000,
				end: 5000,
				seed: 102,
				prefix: 'rush',
			});
			return merge(draw(rannakivi, rannakiviKinds(0.5), 101), rush);
		},
	},
	{
		name: 'rannakivi-straggler-at-noon',
		plan: rannakivi,
		goodput: 0.99,
		create: () =>
			merge(draw(rannakivi, rannakiviKinds(1), 103), [
				fault(2000, FaultKind.Slow, 'depot-catalogue-1', 10),
				fault(6000, FaultKind.Slow, 'depot-catalogue-1', 1),
			]),
	},
	{
		name: 'rannakivi-depot-closing',
		plan: rannakivi,
		goodput: 0.99,
		create: () =>
			merge(draw(rannakivi, rannakiviKinds(1), 104), [
				fault(2000, FaultKind.Drain, 'yard-booking-2'),
				fault(3500, FaultKind.Stop, 'node-farm-billing-3'),
			]),
	},
	{
		name: 'rannakivi-store-outage',
		plan: rannakivi,
		goodput: 0.6,
		create: () =>
			merge(draw(rannakivi, rannakiviKinds(1), 105), [
				fault(1000, FaultKind.Apply, 'examples/rannakivi-changed'),
				fault(1050, FaultKind.Apply, 'examples/rannakivi'),
				fault(3500, FaultKind.StoreDown),
				fault(6000, FaultKind.StoreUp),
			]),
	},
	{
		name: 'rannakivi-region-cut',
		plan: rannakivi,
		goodput: 0.6,
		create: () =>
			merge(draw(rannakivi, rannakiviKinds(1), 106), [
				fault(2000, FaultKind.CutRegion, 'parnu'),
				fault(5000, FaultKind.Heal),
			]),
	},
	{
		name: 'kerakot-ripeness-burst',
		plan: kerakot,
		goodput: 0.99,
		create() {
			const burst = drawTraffic({
				plan: kerakot,
				kinds: kerakotKinds(3).slice(0, 1),
				start: 3000,
				end: 4000,
				seed: 108,
				prefix: 'burst',
			});
			return merge(draw(kerakot, kerakotKinds(0.7), 107), burst);
		},
	},
	{
		name: 'kerakot-payout-day',
		plan: kerakot,
		goodput: 0.9,
		create: () =>
			merge(draw(kerakot, kerakotKinds(0.8), 109), [
				fault(2000, FaultKind.Kill, 'node-sahakhata-2'),
				fault(2500, FaultKind.Kill, 'backend-kothaghar-1'),
				fault(4500, FaultKind.Restart, 'node-sahakhata-2'),
				fault(5000, FaultKind.Restart, 'backend-kothaghar-1'),
			]),
	},
];
