import {second, type Millis} from '../../src/clock/index.js';
import {Distance} from '../../src/membership/index.js';
import type {CallKind, Deployment, Episode} from './workload.js';

/** A deployment and an episode of the comparison of zone policies. */
export interface ZoneScenario {
	readonly name: string;
	readonly deployment: Deployment;
	readonly episode: Episode;
}

type ScenarioOptions = {
	/** Demand of each zone relative to its capacity at a time. */
	readonly load: (zone: number, at: Millis) => number;
	readonly zones?: number;
	/** Backend servers of the service in each zone. */
	readonly servers?: number;
	/** Nodes in each zone that only accept calls. */
	readonly ingressNodes?: number;
	readonly work?: Millis;
	readonly objective?: Millis;
	readonly oneWay?: Readonly<Record<Distance, Millis>>;
	readonly isSlowAtTimes?: boolean;
	readonly duration?: Millis;
} & Pick<Episode, 'isCut' | 'reportAge'>;

const slots = 6;
const service = 'catalogue';
/** Time since the start of the episode at which the demand changes. */
const onset: Millis = 2 * second;
const wavePeriod: Millis = 17 * second;
const waveShare = 0.55;
/** Work that the backend servers do in the time left by slow periods: 0.25 of them are 7 times slower. */
const usualSpeed = 0.75 + 0.25 / 7;

function createScenario(name: string, options: ScenarioOptions): ZoneScenario {
	const {load, isCut, reportAge, oneWay} = options;
	const {zones = 3, servers = 4, ingressNodes = 10, work = 150, objective = 640} = options;
	const {isSlowAtTimes = false, duration = 14 * second} = options;
	const capacity = (servers * slots * second * (isSlowAtTimes ? usualSpeed : 1)) / work;
	const kind: CallKind = {
		name: 'search',
		service,
		rate: capacity * zones * 0.65,
		priority: 1,
		isIdempotent: true,
		work,
		objective,
		timeout: objective * 2.4,
		worth: 1,
		answerBytes: 2500,
		nested: [],
	};
	const unsafe = {rate: capacity * zones * 0.35, priority: 0, isIdempotent: false, worth: 2};
	return {
		name,
		deployment: {
			name,
			zones: Array.from({length: zones}, (_item, zone) => {
				const region = `r${Math.floor(zone / 2)}`;
				return {region, zone: `${region}-${zone % 2}`};
			}),
			services: [
				{name: service, executors: 0, slots},
				{name: 'others', executors: 0, slots},
			],
			kinds: [kind, {...kind, ...unsafe, name: 'hold', answerBytes: 500}],
			slowPeriods: {share: isSlowAtTimes ? 0.25 : 0, slowdown: 7, duration: 500},
			saturation: {share: 1, slowdown: 1},
			cold: {duration: 0, slowdown: 1},
			otherZoneCost: 0.02,
			otherRegionCost: 0.085,
			...(oneWay && {oneWay}),
			executorsOfZone: (name) => (name === service ? servers : ingressNodes),
		},
		episode: {
			name,
			duration,
			isColdStart: false,
			load: () => 1,
			slowdown: () => 1,
			zoneLoad: load,
			...(isCut && {isCut}),
			...(reportAge !== undefined && {reportAge}),
		},
	};
}

/** Demand that leaves room everywhere until the first zone becomes short. */
function shortBy(lack: number, others = 0.4): ScenarioOptions['load'] {
	return (zone, at) => (zone === 0 && at >= onset ? 1 / (1 - lack) : others);
}

function waves(mean: number, zones: number): ScenarioOptions['load'] {
	return (zone, at) =>
		mean * (1 + waveShare * Math.sin(2 * Math.PI * (at / wavePeriod + zone / zones)));
}

function farBy(delay: Millis): Readonly<Record<Distance, Millis>> {
	return {
		[Distance.SameZone]: 0.4,
		[Distance.SameRegion]: delay,
		[Distance.OtherRegion]: delay,
	};
}

const waveOptions = {zones: 6, duration: wavePeriod, isSlowAtTimes: true};

/** Scenarios of the comparison. */
export const zoneScenarios: readonly ZoneScenario[] = [
	createScenario('room everywhere', {load: () => 0.6}),
	createScenario('one short by 10 %', {load: shortBy(0.1)}),
	createScenario('one short by 50 %', {load: shortBy(0.5)}),
	createScenario('one short by 90 %', {load: shortBy(0.9, 0.3), zones: 6}),
	createScenario('all short', {load: (_zone, at) => (at < onset ? 0.6 : 1.5)}),
	createScenario('demand waves', {...waveOptions, load: waves(0.75, 6)}),
	createScenario('demand waves, two zones', {...waveOptions, load: waves(0.7, 2), zones: 2}),
	...[100, 300, 1000, 3000].map((reportAge) =>
		createScenario(`80 nodes, figures ${reportAge} ms old`, {
			load: shortBy(0.4, 0.25),
			ingressNodes: 80,
			zones: 2,
			servers: 8,
			reportAge,
		}),
	),
	...[20, 40].flatMap((delay) =>
		[160, 640].map((objective) =>
			createScenario(`${delay} ms away, objective ${objective} ms`, {
				load: shortBy(0.4, 0.3),
				zones: 2,
				objective,
				work: objective / 2.5,
				oneWay: farBy(delay),
			}),
		),
	),
	createScenario('other zone cut off', {
		load: shortBy(0.4, 0.4),
		isCut: (zone, at) => zone === 1 && at > 6 * second,
	}),
	...[2, 4, 6].map((zones) =>
		createScenario(`${zones} zones of 1 backend server`, {
			load: shortBy(0.4, 0.4),
			zones,
			servers: 1,
		}),
	),
	createScenario('6 zones of 50 backend servers', {
		load: shortBy(0.4, 0.6),
		zones: 6,
		servers: 50,
		ingressNodes: 0,
		duration: 8 * second,
	}),
];
