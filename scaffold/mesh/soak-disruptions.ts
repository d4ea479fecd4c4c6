/** Disruptions of a mesh that a soak draws from. */
import type {Random} from '../../src/random/index.js';
import {storeName, type ContactLog} from './contact-log.js';
import type {Mesh, MeshNode} from './mesh.js';

/** A disruption that was drawn. */
export interface Disruption {
	readonly name: string;
	/** Resolves when the disruption is over. */
	run(): Promise<void>;
}

/** Collaborators of {@link SoakDisruptions}. */
export interface SoakDisruptionsParts {
	readonly mesh: Mesh;
	readonly random: Random;
	readonly contact: ContactLog;
	/** Called when the store has lost its newest versions. */
	handleRestore(): void;
}

/** Nodes that may be down or frozen at the same time, as a share of all. */
const maxDisturbedShare = 0.4;

async function sleep(duration: number): Promise<void> {
	await new Promise((resolve) => {
		setTimeout(resolve, duration);
	});
}

export class SoakDisruptions {
	constructor(private readonly parts: SoakDisruptionsParts) {}

	/** @returns a disruption of the store, of connections, or of nodes. */
	draw(): Disruption {
		const {random} = this.parts;
		const kinds = [
			...this.storeDisruptions(),
			...this.linkDisruptions(),
			...this.nodeDisruptions(),
		];
		return kinds[random.below(kinds.length)]!;
	}

	/** @returns a disruption that concerns some nodes only, so that all others stay in touch. */
	drawForNodes(): Disruption {
		const kinds = this.nodeDisruptions();
		return kinds[this.parts.random.below(kinds.length)]!;
	}

	private storeDisruptions(): Disruption[] {
		const {mesh, random, contact, handleRestore} = this.parts;
		const duration = 300 + random.below(2200);
		const delay = 100 + random.below(200);
		const refused = mesh.nodes.filter(() => random.next() < 0.35).map(({address}) => address);
		const forAll = (name: string, run: () => Promise<void>) => ({
			name,
			run: async () => contact.disturb([storeName], run),
		});

		const during = (faults: Record<string, unknown>, undo: Record<string, unknown>) => async () => {
			await mesh.setStoreFaults(faults);
			await sleep(duration);
			await mesh.setStoreFaults(undo);
		};

		return [
			forAll(`store down for ${duration}`, during({isDown: true}, {isDown: false})),
			forAll(`store slow (${delay}) for ${duration}`, during({delay}, {delay: 0})),
			forAll(
				`store refuses ${refused.length} nodes for ${duration}`,
				during({refused}, {refused: []}),
			),
			forAll('history lost', async () => mesh.setStoreFaults({isHistoryLost: true})),
			forAll('store restored', async () => {
				const version = await mesh.storeVersion();
				await mesh.restoreStore(Math.max(1, version - 1 - random.below(3)));
				handleRestore();
			}),
		];
	}

	private linkDisruptions(): Disruption[] {
		const {mesh, random, contact} = this.parts;
		const share = [0.3, 0.7, 1][random.below(3)]!;
		const all = mesh.nodes.map(({name}) => name);
		const silenceLinks = () => {
			mesh.silenceLinks(() => random.next() < share);
		};

		const atOnce = (name: string, run: () => Promise<void>) => ({
			name: `${name} (${share})`,
			run: async () => contact.disturb(all, run),
		});
		return [
			atOnce('silent store', async () => mesh.silenceStore(share)),
			atOnce('silent links', async () => {
				silenceLinks();
			}),
			atOnce('all silent', async () => {
				silenceLinks();
				await mesh.silenceStore(share);
			}),
		];
	}

	private nodeDisruptions(): Disruption[] {
		const {random} = this.parts;
		const duration = 300 + random.below(2700);
		const count = 1 + random.below(3);
		return [
			this.forNodes(`frozen for ${duration}`, 1, async (node) => this.freeze(node, duration)),
			this.forNodes('killed', 1, async (node) => this.restart(node, 'SIGKILL', 0)),
			this.forNodes('stopped', 1, async (node) => this.restart(node, 'SIGTERM', 0)),
			this.forNodes(`killed for ${duration}`, count, async (node) =>
				this.restart(node, 'SIGKILL', duration),
			),
			this.forNodes(`scaled in for ${duration}`, count, async (node) =>
				this.restart(node, 'SIGTERM', duration),
			),
		];
	}

	private forNodes(
		name: string,
		count: number,
		disrupt: (node: MeshNode) => Promise<void>,
	): Disruption {
		const {mesh, random, contact} = this.parts;
		const chosen: MeshNode[] = [];
		const max = Math.floor(mesh.nodes.length * maxDisturbedShare);
		const busy = mesh.nodes.filter((node) => contact.isDisturbed(node.name)).length;
		for (let i = 0; i < Math.min(count, max - busy); i++) {
			const node = mesh.nodes[random.below(mesh.nodes.length)]!;
			if (!contact.isDisturbed(node.name) && !chosen.includes(node)) {
				chosen.push(node);
			}
		}

		return {
			name: `${chosen.map((node) => node.name).join('+')} ${name}`,
			async run() {
				await Promise.all(
					chosen.map(async (node) => contact.disturb([node.name], async () => disrupt(node))),
				);
			},
		};
	}

	private async freeze(node: MeshNode, duration: number): Promise<void> {
		const {mesh} = this.parts;
		mesh.signalNode(node, 'SIGSTOP');
		await sleep(duration);
		mesh.signalNode(node, 'SIGCONT');
	}

	private async restart(node: MeshNode, signal: NodeJS.Signals, pause: number): Promise<void> {
		const {mesh} = this.parts;
		await mesh.endNode(node, signal);
		await sleep(pause);
		await mesh.startNode(node);
	}
}
