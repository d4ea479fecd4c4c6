/** Simulates nodes with quotas on a clock of their own: datagrams, failures and the demand of customers. */
import {createRandom, type Random} from '../../src/random/index.js';
import {
	decodeQuota,
	defaultQuotaSettings,
	encodeQuota,
	QuotaAggregator,
	QuotaGate,
	QuotaMembers,
	QuotaMessageType,
	type QuotaMessage,
	type QuotaObserver,
	type QuotaParts,
	type QuotaVerdict,
} from '../../src/quota/index.js';
import {Directory, Liveness, MemberPhase, type Member} from '../../src/membership/index.js';
import {EventClock} from '../event-clock.js';
import {ModelNetwork, type NetworkOptions} from './model-network.js';
import {QuotaBook} from './quota-books.js';
import {
	createCustomers,
	usualSize,
	zones,
	type ModelCustomer,
	type ModelSize,
} from './quota-workload.js';

/** Decides at one node about the requests of customers. */
export interface ModelGate {
	admit(customer: string): QuotaVerdict | Promise<QuotaVerdict> | undefined;
}

/** A simulated node. */
export interface ModelNode {
	readonly index: number;
	readonly id: string;
	readonly region: string;
	readonly zone: string;
	readonly directory: Directory;
	gate: ModelGate;
	incarnation: number;
	/** Handles a datagram; undefined for rules that send none. */
	receive: ((message: QuotaMessage) => void) | undefined;
	isUp: boolean;
	isFrozen: boolean;
	/** What waits until a frozen node runs again. */
	readonly deferred: Array<() => void>;
}

/** Chooses the node that a request of a customer reaches. */
export type Spread = (customer: ModelCustomer, now: number, random: Random) => number;
/** @returns the requests per second of a customer. */
export type Demand = (customer: ModelCustomer, now: number) => number;

export interface ModelOptions {
	readonly seed: number;
	readonly size?: ModelSize;
	readonly network?: NetworkOptions;
	/** Highest demand as a multiple of the usual one. */
	readonly peak?: number;
	demand?: Demand;
	spread?: Spread;
	/** Creates the rule that decides at a node; the quotas of the product by default. */
	createGate?(model: QuotaModel, node: ModelNode): ModelGate;
}

const defaultNetwork: NetworkOptions = {loss: 0.01, duplicates: 0.01, slow: 0.02};
const maxRetryWait = 1000;
/** Time from the start of the nodes to the first requests. */
const trafficStart = 3000;
/** When peers suspect an unreachable node, and when they declare it dead, with a random spread, in ms. */
const suspicion = {delay: 700, spread: 600};
const death = {delay: 2700, spread: 800};
const recovery = {delay: 300, spread: 900};

const silentObserver: QuotaObserver = {
	customerLimited() {
		// Not observed.
	},
	customerFreed() {
		// Not observed.
	},
	newsLost() {
		// Not observed.
	},
	newsRegained() {
		// Not observed.
	},
	aggregatorChanged() {
		// Not observed.
	},
	aggregatorStarted() {
		// Not observed.
	},
	reachChanged() {
		// Not observed.
	},
};

export class QuotaModel {
	readonly clock = new EventClock();
	readonly random: Random;
	readonly network: ModelNetwork;
	readonly customers: ModelCustomer[];
	readonly books = new Map<string, QuotaBook>();
	readonly nodes: ModelNode[] = [];
	private readonly customersByName = new Map<string, ModelCustomer>();
	private readonly versions: number[] = [];

	constructor(readonly options: ModelOptions) {
		const {seed, size = usualSize, network = defaultNetwork} = options;
		this.random = createRandom(seed);
		this.network = new ModelNetwork(this.clock, this.random, network);
		this.customers = createCustomers(size);
		for (const customer of this.customers) {
			this.customersByName.set(customer.name, customer);
			this.books.set(customer.name, new QuotaBook(customer.limit));
		}

		for (let index = 0; index < size.nodes; index++) {
			this.nodes.push(this.createNode(index));
			this.versions.push(1);
		}

		for (const node of this.nodes) {
			for (const other of this.nodes) {
				node.directory.merge(this.memberOf(other, Liveness.Alive));
			}

			this.startNode(node);
		}

		for (const customer of this.customers) {
			this.scheduleRequest(customer);
		}
	}

	customer(name: string): ModelCustomer {
		return this.customersByName.get(name)!;
	}

	book(name: string): QuotaBook {
		return this.books.get(name)!;
	}

	async run(duration: number): Promise<void> {
		await this.clock.runSettled(this.clock.now() + duration);
	}

	/** Ends the process of a node; peers find out. */
	kill(node: ModelNode): void {
		node.isUp = false;
		node.incarnation += 1;
		node.deferred.length = 0;
		this.makeUnreachable([node], this.nodes);
	}

	/** Starts the process of a node anew, without any state. */
	restart(node: ModelNode): void {
		node.isUp = true;
		this.startNode(node);
		this.makeReachable([node], this.nodes);
	}

	/** Stops the process of a node for a while. */
	freeze(node: ModelNode, duration: number): void {
		node.isFrozen = true;
		this.makeUnreachable([node], this.nodes);
		this.clock.after(duration, () => {
			node.isFrozen = false;
			for (const run of node.deferred.splice(0)) {
				run();
			}

			this.makeReachable([node], this.nodes);
		});
	}

	/** Cuts the paths between a group of nodes and all others for a while. */
	cut(isInside: (node: ModelNode) => boolean, duration: number): void {
		const inside = this.nodes.filter((node) => isInside(node));
		const outside = this.nodes.filter((node) => !isInside(node));
		const members = new Set(inside.map(({index}) => index));
		const heal = this.network.cut((from, to) => members.has(from) !== members.has(to));
		this.makeUnreachable(inside, outside);
		this.makeUnreachable(outside, inside);
		this.clock.after(duration, () => {
			heal();
			this.makeReachable(inside, outside);
			this.makeReachable(outside, inside);
		});
	}

	/** Cuts a node off from all others. */
	isolate(group: readonly ModelNode[], duration: number): void {
		const members = new Set(group.map(({index}) => index));
		const heal = this.network.cut(
			(from, to) => from !== to && (members.has(from) || members.has(to)),
		);
		this.makeUnreachable(group, this.nodes);
		for (const node of group) {
			this.makeUnreachable(this.nodes, [node]);
		}

		this.clock.after(duration, () => {
			heal();
			this.makeReachable(this.nodes, this.nodes);
		});
	}

	/** Sends a message from a node, encoded as on the wire. */
	send(from: ModelNode, to: string, message: QuotaMessage): void {
		if (to === from.id) {
			from.receive?.(message);
			return;
		}

		const target = this.nodes.find(({id}) => id === to)!;
		const bytes = encodeQuota(message);
		this.network.send(
			{from: from.index, to: target.index, a: from, b: target},
			bytes.length,
			() => {
				this.runAt(target, () => target.receive?.(decodeQuota(bytes)));
			},
		);
	}

	/** Runs something at a node: at once, when it is no longer frozen, or never when its process has ended. */
	runAt(node: ModelNode, run: () => void): void {
		if (node.isFrozen) {
			const {incarnation} = node;
			node.deferred.push(() => {
				if (node.incarnation === incarnation) {
					run();
				}
			});
		} else if (node.isUp) {
			run();
		}
	}

	private createNode(index: number): ModelNode {
		return {
			index,
			id: `10.0.${Math.floor(index / 200)}.${(index % 200) + 1}:7001`,
			...zones[index % zones.length]!,
			directory: new Directory(),
			gate: {admit: () => undefined},
			incarnation: 1,
			receive: undefined,
			isUp: true,
			isFrozen: false,
			deferred: [],
		};
	}

	private startNode(node: ModelNode): void {
		const create = this.options.createGate ?? createQuotaGate;
		node.gate = create(this, node);
	}

	private memberOf(node: ModelNode, liveness: Liveness): Member {
		const {id, region, zone, index} = node;
		return {
			id,
			incarnation: 1,
			version: this.versions[index] ?? 1,
			phase: MemberPhase.Serving,
			liveness,
			region,
			zone,
			service: 'service',
			slots: 9,
		};
	}

	private makeUnreachable(group: readonly ModelNode[], observers: readonly ModelNode[]): void {
		for (const node of group) {
			const version = this.versions[node.index]!;
			for (const [liveness, {delay, spread}] of [
				[Liveness.Suspect, suspicion],
				[Liveness.Dead, death],
			] as const) {
				this.observe(observers, node, delay + spread * this.random.next(), (observer) => {
					if (this.versions[node.index] === version) {
						observer.directory.merge(this.memberOf(node, liveness));
					}
				});
			}
		}
	}

	private makeReachable(group: readonly ModelNode[], observers: readonly ModelNode[]): void {
		for (const node of group) {
			this.versions[node.index]! += 1;
			const {delay, spread} = recovery;
			this.observe(observers, node, delay + spread * this.random.next(), (observer) => {
				observer.directory.merge(this.memberOf(node, Liveness.Alive));
			});
		}
	}

	private observe(
		observers: readonly ModelNode[],
		node: ModelNode,
		delay: number,
		run: (observer: ModelNode) => void,
	): void {
		for (const observer of observers) {
			if (observer !== node) {
				this.clock.after(delay + this.random.next() * 100, () => {
					this.runAt(observer, () => {
						run(observer);
					});
				});
			}
		}
	}

	// Draws arrivals at the highest rate and drops those beyond the demand at the time.
	private scheduleRequest(customer: ModelCustomer): void {
		const {peak = 7, demand = ({usual}) => usual} = this.options;
		const rate = customer.usual * peak;
		const gap = (-Math.log(1 - this.random.next()) / rate) * 1000;
		this.clock.after(gap, () => {
			const now = this.clock.now();
			if (now >= trafficStart && this.random.next() * rate < demand(customer, now)) {
				void this.request(customer, true);
			}

			this.scheduleRequest(customer);
		});
	}

	private async request(customer: ModelCustomer, mayRetry: boolean): Promise<void> {
		const {spread = spreadEvenly} = this.options;
		const node = this.nodes[spread(customer, this.clock.now(), this.random) % this.nodes.length]!;
		if (!node.isUp || node.isFrozen) {
			return;
		}

		const decision = node.gate.admit(customer.name);
		const verdict = decision instanceof Promise ? await decision : decision;
		const book = this.book(customer.name);
		if (verdict?.isAdmitted) {
			book.admitted(this.clock.now());
			return;
		}

		book.refused(this.clock.now());
		if (mayRetry && verdict && verdict.wait <= maxRetryWait) {
			this.clock.after(verdict.wait, () => {
				void this.request(customer, false);
			});
		}
	}
}

export const spreadEvenly: Spread = (_customer, _now, random) => random.below(1_000_000);

/** Creates the gate and the aggregator of the product at a simulated node. */
function createQuotaGate(model: QuotaModel, node: ModelNode): ModelGate {
	const {incarnation} = node;
	const parts: QuotaParts = {
		clock: {
			now: () => model.clock.now(),
			after: (delay, run) =>
				model.clock.after(delay, () => {
					if (node.incarnation === incarnation) {
						model.runAt(node, run);
					}
				}),
		},
		settings: defaultQuotaSettings,
		members: new QuotaMembers(node.directory, () => node.directory.get(node.id)!),
		self: {id: node.id, incarnation},
		observer: silentObserver,
		limitOf: (customer) => model.customer(customer).limit,
		send(to, message) {
			model.send(node, to, message);
		},
	};
	const aggregator = new QuotaAggregator(parts);
	const gate = new QuotaGate({...parts, random: model.random});
	node.receive = (message) => {
		switch (message.type) {
			case QuotaMessageType.Report: {
				aggregator.handleReport(message);
				break;
			}

			case QuotaMessageType.Shares: {
				gate.handleShares(message);
				break;
			}

			case QuotaMessageType.Sum: {
				aggregator.handleSum(message);
				break;
			}

			case QuotaMessageType.SumAck: {
				aggregator.handleSumAck(message);
				break;
			}
		}
	};

	return gate;
}
