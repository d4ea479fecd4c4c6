import {describe, expect, it} from 'vitest';
import {ManualClock, type Millis} from '../../../clock/index.js';
import {EvacuatedZones, storeSource} from '../../../evacuation/index.js';
import {
	createLocalMember,
	decodeGossip,
	defaultGossipSettings,
	encodeGossip,
	Gossip,
	MemberPhase,
} from '../../../membership/index.js';
import {createRandom, type Random} from '../../../random/index.js';
import {Metrics, silentLogger} from '../../../telemetry/index.js';
import {EvacuationMonitor} from '../../evacuation-monitor.js';

/** Time within which all connected nodes have to know an evacuation, from its acknowledgement. */
const maxEvacuationTime: Millis = 5000;
const noRevisions = {accepted: 0, acceptedHash: '', staged: 0, stagedHash: ''};
const step: Millis = 20;
const seeds = [1, 2, 3, 4, 5, 6];

type Node = {
	readonly id: string;
	readonly gossip: Gossip;
	readonly zones: EvacuatedZones;
	isCutOff: boolean;
};

/** Nodes of two regions with two zones each on a simulated network; `read` stands for the store. */
class Fleet {
	readonly clock = new ManualClock();
	readonly nodes: Node[] = [];
	loss = 0;
	private readonly random: Random;

	constructor(size: number, seed: number) {
		this.random = createRandom(seed);
		for (let i = 0; i < size; i++) {
			this.add(i);
		}

		this.run(6000);
	}

	add(i: number): Node {
		const id = `10.0.0.${i + 1}:7001`;
		const region = i % 4 < 2 ? 'one' : 'two';
		const zones = new EvacuatedZones(this.clock, id);
		const gossip: Gossip = new Gossip(createLocalMember(id, i + 1, {region, zone: `z${i % 4}`}), {
			settings: defaultGossipSettings,
			clock: this.clock,
			random: this.random,
			host: {
				send: (to, message) => {
					this.deliver(node, to, encodeGossip(message));
				},
				mayProbe: () => true,
				knownRevisions() {
					const evacuation = zones.advertised;
					return evacuation ? {...noRevisions, evacuation} : noRevisions;
				},
				handleKnownRevisions({evacuation}, from) {
					if (evacuation) {
						zones.merge(evacuation, from);
					}
				},
				handleRumor: () => undefined,
				handleHeldRevision: () => undefined,
				handlePause: () => undefined,
			},
		});
		const node: Node = {id, gossip, zones, isCutOff: false};
		new EvacuationMonitor({
			clock: this.clock,
			logger: silentLogger,
			metrics: new Metrics(),
			gossip,
			zones,
			executor: {refuseQueue: () => undefined},
			onOwnZoneReturned: () => undefined,
		}).start();
		this.nodes.push(node);
		gossip.updateLocalMember({phase: MemberPhase.Serving, service: 's', slots: 6});
		gossip.join(this.nodes[0]!.id);
		return node;
	}

	read({zones}: Node, version: number, ...names: string[]): void {
		zones.merge({position: {era: 1, version}, zones: names}, storeSource);
	}

	run(duration: Millis): void {
		for (let passed = 0; passed < duration; passed += step) {
			this.clock.advance(step);
			const isTick = Math.round(this.clock.now()) % defaultGossipSettings.probePeriod === 0;
			for (const {gossip} of this.nodes) {
				if (isTick) {
					gossip.tick();
				} else {
					gossip.checkProbes();
				}
			}
		}
	}

	/** @returns the time until a condition holds for all nodes that are not cut off. */
	timeUntil(isMet: (node: Node) => boolean): Millis {
		const startedAt = this.clock.now();
		while (!this.nodes.every((node) => node.isCutOff || isMet(node))) {
			this.run(step);
			if (this.clock.now() - startedAt > 60_000) {
				return Number.POSITIVE_INFINITY;
			}
		}

		return this.clock.now() - startedAt;
	}

	private deliver(from: Node, to: string, bytes: Uint8Array): void {
		const target = this.nodes.find(({id}) => id === to);
		const isLost = this.random.next() < this.loss;
		if (target && !isLost && !from.isCutOff && !target.isCutOff) {
			this.clock.after(1, () => {
				target.gossip.receive(decodeGossip(bytes));
			});
		}
	}
}

function isEvacuated({zones}: Node): boolean {
	return zones.current.length > 0;
}

describe('an evacuation among nodes whose peers tell them', () => {
	it.each(seeds)(
		'is known to all within 5 s if one node reads it and a fifth of the datagrams is lost (seed %i)',
		(seed) => {
			const fleet = new Fleet(60, seed);
			fleet.loss = 0.2;
			fleet.read(fleet.nodes[7]!, 10, 'z1');
			expect(fleet.timeUntil((node) => isEvacuated(node))).toBeLessThan(maxEvacuationTime);
			fleet.read(fleet.nodes[30]!, 11);
			expect(fleet.timeUntil((node) => !isEvacuated(node))).toBeLessThan(maxEvacuationTime);
		},
	);

	it.each(seeds)('is known to a node that was cut off soon after it is back (seed %i)', (seed) => {
		const fleet = new Fleet(24, seed);
		const cut = fleet.nodes[9]!;
		cut.isCutOff = true;
		fleet.run(4000);
		fleet.read(fleet.nodes[3]!, 10, 'z1');
		fleet.run(15_000);
		cut.isCutOff = false;
		expect(fleet.timeUntil((node) => isEvacuated(node))).toBeLessThan(maxEvacuationTime);
	});

	it.each(seeds)(
		'does not come back with a node that was cut off before it ended (seed %i)',
		(seed) => {
			const fleet = new Fleet(24, seed);
			fleet.read(fleet.nodes[3]!, 10, 'z1');
			fleet.timeUntil((node) => isEvacuated(node));
			const cut = fleet.nodes[9]!;
			cut.isCutOff = true;
			fleet.read(fleet.nodes[3]!, 20);
			fleet.run(60_000);
			expect(fleet.nodes.map(({zones}) => zones.advertised).filter(Boolean)).toHaveLength(1);
			const begun: string[] = [];
			for (const {id, zones} of fleet.nodes) {
				zones.registerListener((change) => {
					if (change.isEvacuated) {
						begun.push(id);
					}
				});
			}

			cut.isCutOff = false;
			expect(fleet.timeUntil((node) => !isEvacuated(node))).toBeLessThan(maxEvacuationTime);
			fleet.run(10_000);
			expect(begun).toEqual([]);
		},
	);

	it('is known to a starting node with the first message that a peer sends it', () => {
		const fleet = new Fleet(24, 1);
		fleet.read(fleet.nodes[3]!, 10, 'z1');
		fleet.run(5000);
		const started = fleet.add(24);
		const receivedAt = started.gossip.lastReceivedAt;
		while (started.gossip.lastReceivedAt === receivedAt) {
			expect(isEvacuated(started)).toBe(false);
			fleet.run(step);
		}

		expect(isEvacuated(started)).toBe(true);
	});

	it('adds nothing to messages before the first one and from 30 s after the last', () => {
		const fleet = new Fleet(12, 1);
		const advertised = () => fleet.nodes.filter(({zones}) => zones.advertised !== undefined);
		expect(advertised()).toHaveLength(0);
		fleet.read(fleet.nodes[3]!, 10, 'z1');
		fleet.run(3000);
		expect(advertised()).toHaveLength(12);
		fleet.read(fleet.nodes[3]!, 11);
		fleet.run(35_000);
		expect(advertised()).toHaveLength(0);
	});
});
