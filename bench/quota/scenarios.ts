/** Scenarios of the quota model. */
import {QuotaModel, type ModelOptions, type Spread} from './quota-model.js';
import {summarize, type BookSummary} from './quota-books.js';
import type {ModelCustomer} from './quota-workload.js';

/** What happens while the model runs. */
export interface Scenario {
	readonly name: string;
	readonly options?: Partial<ModelOptions>;
	readonly duration?: number;
	/** Plans the events of the scenario. */
	plan?(model: QuotaModel): void;
}

/** Figures of one scenario. */
export interface ScenarioResult extends BookSummary {
	readonly name: string;
	/** Loss as a share of all requests. */
	readonly loss: number;
	readonly lossWithin: number;
	readonly worstCustomer: string;
	readonly worstAt: number;
	readonly datagramsPerSecond: number;
	readonly otherZoneBytesPerSecond: number;
	readonly otherRegionBytesPerSecond: number;
}

const hotFrom = 10_000;
const hotTime = 6000;
const defaultDuration = 30_000;

/** @returns a demand in which some customers send a multiple of their usual requests for 6 s. */
export function hotDemand(factors: Readonly<Record<string, number>>, from = hotFrom) {
	return ({name, usual}: ModelCustomer, now: number): number => {
		const isHot = now >= from && now < from + hotTime;
		return usual * (isHot ? (factors[name] ?? 1) : 1);
	};
}

/** Large, middle and small customers at once. */
export const hotFactors = {t1: 7, t2: 6, t5: 7, t20: 6, t60: 7, t87: 7};
const allHot = Object.fromEntries(Array.from({length: 87}, (_, i) => [`t${i + 1}`, 6]));
const hot = hotDemand(hotFactors);

/** All requests of a customer reach one node. */
const oneNode: Spread = ({name}) => Number(name.slice(1));
/** All requests reach one of a few nodes, another one each 700 ms. */
const moving: Spread = ({name}, now) => Number(name.slice(1)) * 7 + Math.floor(now / 700) * 5;
/** All requests reach the nodes of one zone. */
const oneZone: Spread = (_customer, _now, random) => random.below(22) * 4;
/** All requests reach the nodes of one zone, another one each second. */
const movingZone: Spread = (_customer, now, random) =>
	random.below(22) * 4 + (Math.floor(now / 1000) % 4);

function at(model: QuotaModel, time: number, run: () => void): void {
	model.clock.after(time, run);
}

/** @returns the node that the others report to in a zone. */
export function aggregatorOf(model: QuotaModel, zone: string) {
	const received = new Map<string, number>();
	for (const node of model.nodes) {
		const {receive} = node;
		if (node.zone === zone && receive) {
			node.receive = (message) => {
				received.set(node.id, (received.get(node.id) ?? 0) + 1);
				receive(message);
			};
		}
	}

	return () => {
		const most = [...received].toSorted((a, b) => b[1] - a[1])[0];
		// Rules without reports have no aggregator; any node of the zone does.
		return model.nodes.find((node) => (most ? node.id === most[0] : node.zone === zone))!;
	};
}

export const scenarios: readonly Scenario[] = [
	{name: 'usual demand'},
	{name: 'hot customers', options: {demand: hot}},
	{
		name: 'hot customers, no faulty datagrams',
		options: {demand: hot, network: {loss: 0, duplicates: 0, slow: 0}},
	},
	{name: 'all customers hot', options: {demand: hotDemand(allHot)}},
	{name: 'hot at one node each', options: {demand: hot, spread: oneNode}},
	{name: 'hot, moving between nodes', options: {demand: hot, spread: moving}},
	{name: 'hot in one zone', options: {demand: hot, spread: oneZone}},
	{name: 'hot, moving between zones', options: {demand: hot, spread: movingZone}},
	{
		name: 'a tenth of the datagrams lost',
		options: {demand: hot, network: {loss: 0.1, duplicates: 0.1, slow: 0.1}},
	},
	{
		name: 'hot in repetition',
		options: {
			demand: (customer, now) =>
				customer.usual * (now > 8000 && now % 3000 < 700 && customer.name in hotFactors ? 7 : 1),
		},
	},
	{
		name: 'aggregator killed while hot',
		options: {demand: hot},
		plan(model) {
			const find = aggregatorOf(model, 'a');
			at(model, hotFrom + 2000, () => {
				const node = find();
				model.kill(node);
				model.clock.after(4000, () => {
					model.restart(node);
				});
			});
		},
	},
	{
		name: 'aggregators of all zones killed as the demand rises',
		options: {demand: hot},
		plan(model) {
			const finds = ['a', 'b', 'c', 'd'].map((zone) => aggregatorOf(model, zone));
			at(model, hotFrom, () => {
				for (const find of finds) {
					model.kill(find());
				}
			});
		},
	},
	{
		name: 'aggregator frozen for 1.5 s while hot',
		options: {demand: hot},
		plan(model) {
			const find = aggregatorOf(model, 'a');
			at(model, hotFrom + 1500, () => {
				model.freeze(find(), 1500);
			});
		},
	},
	{
		name: 'regions cut while hot',
		options: {demand: hot},
		plan(model) {
			at(model, hotFrom + 1500, () => {
				model.cut(({region}) => region === 'east', 6000);
			});
		},
	},
	{
		name: 'regions cut for 1.5 s while hot',
		options: {demand: hot},
		plan(model) {
			at(model, hotFrom + 1500, () => {
				model.cut(({region}) => region === 'east', 1500);
			});
		},
	},
	{
		name: 'zone cut while hot',
		options: {demand: hot},
		plan(model) {
			at(model, hotFrom + 1500, () => {
				model.cut(({zone}) => zone === 'b', 6000);
			});
		},
	},
	{
		name: 'half of the nodes of each zone cut while hot',
		options: {demand: hot},
		plan(model) {
			at(model, hotFrom + 1500, () => {
				model.cut(({index}) => index % 8 < 4, 6000);
			});
		},
	},
	{
		name: 'cut before the demand rises',
		options: {demand: hot},
		plan(model) {
			at(model, hotFrom - 4000, () => {
				model.cut(({index}) => index % 8 < 4, 12_000);
			});
		},
	},
	{
		name: 'a tenth of the nodes isolated each while hot',
		options: {demand: hot},
		plan(model) {
			at(model, hotFrom - 1000, () => {
				model.isolate(
					model.nodes.filter(({index}) => index % 10 === 3),
					8000,
				);
			});
		},
	},
	{
		name: 'all nodes isolated each while hot',
		options: {demand: hot},
		plan(model) {
			at(model, hotFrom - 4000, () => {
				model.isolate(model.nodes, 12_000);
			});
		},
	},
	{
		name: 'all restarted at once while hot',
		options: {demand: hot},
		plan(model) {
			at(model, hotFrom + 2000, () => {
				for (const node of model.nodes) {
					model.kill(node);
				}
			});
			at(model, hotFrom + 2600, () => {
				for (const node of model.nodes) {
					model.restart(node);
				}
			});
		},
	},
	{
		name: 'nodes leave and join in turn while hot',
		options: {demand: hot},
		plan(model) {
			for (let i = 0; i < 20; i++) {
				at(model, 6000 + i * 500, () => {
					const node = model.nodes[(i * 13) % model.nodes.length]!;
					model.kill(node);
					model.clock.after(3000, () => {
						model.restart(node);
					});
				});
			}
		},
	},
	{
		name: 'few requests at idle nodes',
		options: {size: {nodes: 91, customers: 5, rate: 3}, demand: ({usual}) => usual},
		duration: 120_000,
	},
	{
		name: 'limit lowered to a third',
		options: {demand: ({usual}) => usual * 1.5},
		plan: planLowering,
	},
	{name: '1,000 customers', options: {size: {nodes: 91, customers: 1000, rate: 600}, demand: hot}},
	{name: '300 nodes', options: {size: {nodes: 300, customers: 87, rate: 2000}, demand: hot}},
];

function planLowering(model: QuotaModel): void {
	at(model, 10_000, () => {
		for (const customer of model.customers) {
			const {rate, burst} = customer.limit;
			customer.limit = {rate: rate / 3, burst: burst / 3};
			model.book(customer.name).setLimit(customer.limit);
		}
	});
	at(model, 15_000, () => {
		for (const book of model.books.values()) {
			book.bind();
		}
	});
}

/**
 * @param scenario - what happens.
 * @param seed - seed of the random numbers.
 * @param createGate - rule to measure; the quotas of the product by default.
 * @returns the figures.
 */
export async function play(
	scenario: Scenario,
	seed: number,
	createGate?: ModelOptions['createGate'],
): Promise<ScenarioResult> {
	const model = new QuotaModel({seed, ...scenario.options, ...(createGate && {createGate})});
	scenario.plan?.(model);
	const duration = scenario.duration ?? defaultDuration;
	await model.run(duration);
	const summary = summarize(model.books.values());
	let worstCustomer = '';
	let worstAt = 0;
	for (const [name, {worst, worstAt: time}] of model.books) {
		if (worst === summary.worst) {
			worstCustomer = name;
			worstAt = time;
		}
	}

	const hotNames = new Set(Object.keys(hotFactors));
	const within = summarize(
		[...model.books].filter(([name]) => !hotNames.has(name)).map(([, book]) => book),
	);
	const seconds = duration / 1000;
	const {datagrams, otherZoneBytes, otherRegionBytes} = model.network.use;
	return {
		name: scenario.name,
		...summary,
		loss: summary.lost / summary.requests,
		lossWithin: within.lost / within.requests,
		worstCustomer,
		worstAt,
		datagramsPerSecond: datagrams / seconds,
		otherZoneBytesPerSecond: otherZoneBytes / seconds,
		otherRegionBytesPerSecond: otherRegionBytes / seconds,
	};
}
