import {second, type Millis} from '../../src/clock/index.js';
import type {Distance, Member} from '../../src/membership/index.js';

/** Calls that a backend server makes while it runs a call. */
export interface NestedCalls {
	readonly kind: string;
	readonly count: number;
	/** Share of the runs that make these calls. */
	readonly share: number;
}

/** A kind of call, as its route declares it. */
export interface CallKind {
	readonly name: string;
	readonly service: string;
	/** Calls per second of outside callers; 0 for nested calls. */
	readonly rate: number;
	readonly priority: number;
	readonly isIdempotent: boolean;
	/** Mean run time of a call at the usual speed, in ms, without its nested calls. */
	readonly work: Millis;
	readonly objective: Millis;
	readonly timeout: Millis;
	/** Value of an answer in time. */
	readonly worth: number;
	readonly answerBytes: number;
	readonly nested: readonly NestedCalls[];
}

export interface SimulatedService {
	readonly name: string;
	readonly executors: number;
	readonly slots: number;
}

/** Slow periods that neighbouring VMs cause on the host of a backend server. */
export interface SlowPeriods {
	readonly share: number;
	readonly slowdown: number;
	readonly duration: Millis;
}

/** A simulated installation. */
export interface Deployment {
	readonly name: string;
	readonly zones: ReadonlyArray<Pick<Member, 'region' | 'zone'>>;
	readonly services: readonly SimulatedService[];
	readonly kinds: readonly CallKind[];
	readonly slowPeriods: SlowPeriods;
	/** Slowdown of calls that start while more than this share of the slots is busy. */
	readonly saturation: {readonly share: number; readonly slowdown: number};
	readonly cold: {readonly duration: Millis; readonly slowdown: number};
	readonly otherZoneCost: number;
	readonly otherRegionCost: number;
	/** One-way delay between two nodes by distance; undefined for the usual ones. */
	readonly oneWay?: Readonly<Record<Distance, Millis>>;
	/** Number of executors of a service in a zone, by its index; undefined if they are spread over the zones in turn. */
	readonly executorsOfZone?: (service: string, zone: number) => number;
}

/** Load and faults of one simulation. */
export interface Episode {
	readonly name: string;
	readonly duration: Millis;
	/** Whether all backend servers and nodes have just started. */
	readonly isColdStart: boolean;
	/** Mean age of the load reports that a node has of another one, in ms. */
	readonly reportAge?: Millis;
	/** @returns factor on the rate of outside calls. */
	load(at: Millis): number;
	/** @returns factor on the run time of the backend servers of a service. */
	slowdown(service: string, executor: number, at: Millis): number;
	/** @returns calls per second that a backend server of a service takes; undefined if it names no limit. */
	rateLimit?(service: string, executor: number, at: Millis): number | undefined;
	/** @returns factor on the rate of outside calls at the nodes of a zone, by its index. */
	zoneLoad?(zone: number, at: Millis): number;
	/** @returns whether a zone, by its index, is cut off from the others. */
	isCut?(zone: number, at: Millis): boolean;
}

const noSlowdown = () => 1;

function nested(kind: string, count: number, share: number): NestedCalls {
	return {kind, count, share};
}

const fourZones = [
	{region: 'r1', zone: 'r1-a'},
	{region: 'r2', zone: 'r2-a'},
	{region: 'r1', zone: 'r1-b'},
	{region: 'r2', zone: 'r2-b'},
];

const saturation = {share: 0.8, slowdown: 1.7};
const cold = {duration: 3 * second, slowdown: 2};
const transferCosts = {otherZoneCost: 0.02, otherRegionCost: 0.085};
const checkDefaults = {
	rate: 0,
	priority: 0,
	isIdempotent: true,
	worth: 0,
	answerBytes: 400,
	nested: [],
};

/** Short calls with tight objectives on few backend servers, half of which make nested calls. */
const shortCalls: Deployment = {
	name: 'short calls',
	zones: fourZones,
	services: [
		{name: 'catalogue', executors: 5, slots: 13},
		{name: 'orders', executors: 4, slots: 13},
		{name: 'dispatch', executors: 4, slots: 13},
	],
	kinds: [
		{
			name: 'lookup',
			service: 'catalogue',
			rate: 227,
			priority: 2,
			isIdempotent: true,
			work: 74,
			objective: 250,
			timeout: 1000,
			worth: 1,
			answerBytes: 5000,
			nested: [nested('price', 1, 0.7)],
		},
		{
			name: 'order',
			service: 'orders',
			rate: 81,
			priority: 1,
			isIdempotent: false,
			work: 96,
			objective: 300,
			timeout: 1200,
			worth: 2,
			answerBytes: 1500,
			nested: [nested('allocation', 2, 0.7)],
		},
		{
			name: 'reserve',
			service: 'dispatch',
			rate: 69,
			priority: 0,
			isIdempotent: false,
			work: 52,
			objective: 150,
			timeout: 800,
			worth: 3,
			answerBytes: 400,
			nested: [],
		},
		{
			...checkDefaults,
			name: 'price',
			service: 'orders',
			work: 18,
			objective: 120,
			timeout: 200,
		},
		{
			...checkDefaults,
			name: 'allocation',
			service: 'dispatch',
			work: 18,
			objective: 120,
			timeout: 200,
		},
	],
	slowPeriods: {share: 0.25, slowdown: 4, duration: 300},
	saturation,
	cold,
	...transferCosts,
};

/** Long calls on small backend servers with long and severe slow periods. */
const longCalls: Deployment = {
	name: 'long calls',
	zones: fourZones,
	services: [
		{name: 'catalogue', executors: 4, slots: 9},
		{name: 'booking', executors: 4, slots: 9},
		{name: 'billing', executors: 4, slots: 9},
	],
	kinds: [
		{
			name: 'lookup',
			service: 'catalogue',
			rate: 76,
			priority: 2,
			isIdempotent: true,
			work: 120,
			objective: 400,
			timeout: 1500,
			worth: 1,
			answerBytes: 5000,
			nested: [nested('check', 1, 0.7)],
		},
		{
			name: 'reserve',
			service: 'booking',
			rate: 23.5,
			priority: 1,
			isIdempotent: false,
			work: 160,
			objective: 500,
			timeout: 2000,
			worth: 2,
			answerBytes: 1500,
			nested: [nested('ledger', 1, 0.7)],
		},
		{
			name: 'invoice',
			service: 'billing',
			rate: 22.3,
			priority: 0,
			isIdempotent: false,
			work: 84,
			objective: 250,
			timeout: 1200,
			worth: 3,
			answerBytes: 400,
			nested: [],
		},
		{
			...checkDefaults,
			name: 'check',
			service: 'booking',
			work: 30,
			objective: 240,
			timeout: 400,
		},
		{
			...checkDefaults,
			name: 'ledger',
			service: 'billing',
			work: 30,
			objective: 240,
			timeout: 400,
		},
	],
	slowPeriods: {share: 0.25, slowdown: 7, duration: 500},
	saturation,
	cold,
	...transferCosts,
};

/** Many small backend servers. */
const manyServers: Deployment = {
	...shortCalls,
	name: 'many servers',
	services: [
		{name: 'catalogue', executors: 34, slots: 9},
		{name: 'orders', executors: 22, slots: 9},
		{name: 'dispatch', executors: 8, slots: 9},
	],
	kinds: shortCalls.kinds.map((kind) => ({
		...kind,
		rate: kind.rate * 1.56,
		work: kind.work * 2.7,
		objective: kind.objective * 2.5,
		timeout: kind.timeout * 2.5,
	})),
};

/** Backend servers with one slot each, all in one zone, at a steady speed. */
const singleSlots: Deployment = {
	name: 'single slots',
	zones: [{region: 'r', zone: 'r-a'}],
	services: [{name: 'catalogue', executors: 20, slots: 1}],
	kinds: [
		{
			name: 'lookup',
			service: 'catalogue',
			rate: 600,
			priority: 0,
			isIdempotent: true,
			work: 12,
			objective: 100,
			timeout: 300,
			worth: 1,
			answerBytes: 2000,
			nested: [],
		},
	],
	slowPeriods: {share: 0, slowdown: 1, duration: 500},
	saturation: {share: 1, slowdown: 1},
	cold: {duration: 5 * second, slowdown: 3},
	otherZoneCost: 0,
	otherRegionCost: 0,
};

/** Simulated installations that differ in the length, number and size of what they run. */
export const deployments: readonly Deployment[] = [shortCalls, longCalls, manyServers, singleSlots];

/** The heaviest seconds that deployments are known to meet. */
export const episodes: readonly Episode[] = [
	{
		name: 'usual load',
		duration: 12 * second,
		isColdStart: false,
		load: () => 1,
		slowdown: noSlowdown,
	},
	{
		name: 'cold start',
		duration: 4 * second,
		isColdStart: true,
		load: () => 1.15,
		slowdown: noSlowdown,
	},
	{
		name: 'cold overload',
		duration: 4 * second,
		isColdStart: true,
		load: () => 2.2,
		slowdown: noSlowdown,
	},
	{
		name: 'burst',
		duration: 9 * second,
		isColdStart: false,
		load: (at) => (at > 2 * second && at < 7 * second ? 2.4 : 1.2),
		slowdown: noSlowdown,
	},
	{
		name: 'slow servers',
		duration: 9 * second,
		isColdStart: false,
		load: () => 1.1,
		slowdown: (_service, executor, at) => (executor % 5 < 2 && at > 2 * second ? 12 : 1),
	},
	{
		name: 'rate limits',
		duration: 12 * second,
		isColdStart: false,
		load: () => 0.8,
		slowdown: noSlowdown,
		rateLimit: (_service, executor, at) => (executor % 5 < 2 && at > 2 * second ? 6 : undefined),
	},
];
