/** Changes of the configuration under random disruptions, with checks of what each node then does. */
import {createRandom, type Random} from '../../src/random/index.js';
import type {Mesh, MeshNode, MeshRoute} from './mesh.js';

/** Something that a node did although it must not. */
export interface Violation {
	readonly node: string;
	readonly text: string;
	/** Latest events of the node about revisions, the store and silent links, oldest first. */
	readonly events: readonly string[];
}

interface Disruption {
	readonly name: string;
	run(): Promise<void>;
}

/** Time after the last disruption from which on every node has to keep its promises, in ms. */
const contactTime = 3000;
/** Time in ms within which a configuration must be in force. */
const applyBound = 2000;
const requestPeriod = 100;
const services = ['alpha', 'beta'] as const;
const host = 'a.example';
/** Hundreds of the numbers of events about nodes, revisions and the store. */
const reportedEvents: ReadonlySet<number> = new Set([1, 5, 6]);
const reportedCount = 16;
/** Answers that promise that a request has not run. */
const notRunStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);

async function sleep(duration: number): Promise<void> {
	await new Promise((resolve) => {
		setTimeout(resolve, duration);
	});
}

/** Routes of a version: some that stay, one for each of the last two versions, and one that moves each time. */
function routesOf(version: number): MeshRoute[] {
	const safe = {host, kind: 'safe', service: 'alpha'} as const;
	return [
		...services.map((service) => ({...safe, prefix: `/safe-${service}/`, service})),
		...services.map((service) => ({
			host,
			kind: 'unsafe' as const,
			prefix: `/unsafe-${service}/`,
			service,
		})),
		{...safe, prefix: `/v${version}/`},
		{...safe, prefix: `/v${version - 1}/`},
		{host, kind: 'unsafe', prefix: '/move/', service: movedTo(version)},
	];
}

function movedTo(version: number): string {
	return services[version % services.length]!;
}

export class ConfigurationSoak {
	readonly violations: Violation[] = [];
	/** What was done, for the report of a violation. */
	readonly history: string[] = [];
	private version = 1;
	private requests = 0;
	private isOver = false;
	/** Requests that were answered as not run. */
	private readonly refused = new Set<string>();
	private readonly random: Random;

	constructor(
		private readonly mesh: Mesh,
		private readonly seed: number,
	) {
		this.random = createRandom(seed);
	}

	/** Starts a store and eight nodes in two regions, and waits until they serve. */
	async open(): Promise<void> {
		const {mesh} = this;
		await mesh.startStore();
		for (const [region, zone] of [
			['one', 'a'],
			['one', 'b'],
			['two', 'c'],
			['two', 'd'],
		] as const) {
			for (const service of services) {
				await mesh.addNode({region, zone, service, hasRelay: true});
			}
		}

		await this.change();
		await mesh.settle();
	}

	/**
	 * Disrupts, changes, waits until all nodes are in touch, and checks.
	 * @param rounds - number of times.
	 */
	async run(rounds: number): Promise<void> {
		const traffic = this.mesh.nodes.map(async (node) => this.sendAlong(node));
		for (let round = 0; round < rounds; round++) {
			await this.disrupt();
			await sleep(contactTime);
			await this.check();
			await this.change();
			await sleep(applyBound);
			await this.check();
		}

		this.isOver = true;
		await Promise.all(traffic);
		this.checkRuns();
	}

	private async change(): Promise<void> {
		this.version += 1;
		// The store may be down; a change counts from its acknowledgment.
		while (!(await this.tryConfigure())) {
			await sleep(requestPeriod);
		}

		this.history.push(`version ${this.version} at ${new Date().toISOString().slice(17, 23)}`);
	}

	private async tryConfigure(): Promise<boolean> {
		try {
			await this.mesh.configure(routesOf(this.version), this.version);
			return true;
		} catch {
			return false;
		}
	}

	// Up to three disruptions overlap, with changes before and between them.
	private async disrupt(): Promise<void> {
		const count = 1 + this.random.below(3);
		const running: Array<Promise<void>> = [];
		for (let i = 0; i < count; i++) {
			const disruption = this.drawDisruption();
			this.history.push(`${disruption.name} at ${new Date().toISOString().slice(17, 23)}`);
			running.push(disruption.run());
			await sleep(this.random.below(600));
			await this.change();
		}

		await Promise.all(running);
	}

	private drawDisruption(): Disruption {
		const {mesh, random} = this;
		const node = mesh.nodes[random.below(mesh.nodes.length)]!;
		const duration = 300 + random.below(1700);
		const disruptions: Disruption[] = [
			{name: 'silent store', run: async () => mesh.silenceStore()},
			{
				name: 'silent links',
				async run() {
					mesh.silenceLinks();
				},
			},
			{
				name: 'all silent',
				async run() {
					mesh.silenceLinks();
					await mesh.silenceStore();
				},
			},
			{
				name: `frozen ${node.name} for ${duration}`,
				async run() {
					mesh.signalNode(node, 'SIGSTOP');
					await sleep(duration);
					mesh.signalNode(node, 'SIGCONT');
				},
			},
			{name: `killed ${node.name}`, run: async () => this.restart(node, 'SIGKILL')},
			{name: `stopped ${node.name}`, run: async () => this.restart(node, 'SIGTERM')},
			{
				name: `store down for ${duration}`,
				async run() {
					await mesh.setStoreFaults({isDown: true});
					await sleep(duration);
					await mesh.setStoreFaults({isDown: false});
				},
			},
			{
				name: `store refuses ${node.name} for ${duration}`,
				async run() {
					await mesh.setStoreFaults({refused: [node.address]});
					await sleep(duration);
					await mesh.setStoreFaults({refused: []});
				},
			},
			{
				name: 'history lost',
				run: async () => mesh.setStoreFaults({isHistoryLost: true}),
			},
		];
		return disruptions[random.below(disruptions.length)]!;
	}

	private async restart(node: MeshNode, signal: NodeJS.Signals): Promise<void> {
		await this.mesh.endNode(node, signal);
		await this.mesh.startNode(node);
	}

	private async sendAlong(node: MeshNode): Promise<void> {
		while (!this.isOver) {
			const kind = this.requests % 2 === 0 ? 'safe' : 'unsafe';
			const service = services[Math.floor(this.requests / 2) % services.length]!;
			void this.probe(node, `/${kind}-${service}/1`, kind === 'safe' ? 'GET' : 'POST');
			await sleep(requestPeriod);
		}
	}

	/** @returns the status, and the service that ran the request; undefined without an answer. */
	private async probe(
		node: MeshNode,
		path: string,
		method: string,
	): Promise<{status: number; service: string | undefined} | undefined> {
		this.requests += 1;
		const id = `soak-${this.seed}-${this.requests}`;
		try {
			const answer = await this.mesh.send(node, {path, method, id, deadline: 1500});
			const {status, body} = answer;
			if (status >= 300 && status < 500 && !notRunStatuses.has(status) && path.includes('safe-')) {
				this.report(node, `denied: ${status} for ${path} (${id})`);
			}

			if (notRunStatuses.has(status)) {
				this.refused.add(id);
			}

			const ranBy = body.split(' ', 1)[0];
			const backend = this.mesh.nodes.find((item) => item.backend.identity.instance === ranBy);
			return {status, service: backend?.service};
		} catch {
			// The connection was lost, as its node was ended or frozen.
			return undefined;
		}
	}

	private async check(): Promise<void> {
		const {version} = this;
		await Promise.all(
			this.mesh.nodes.map(async (node) => {
				const [added, dropped, moved] = await Promise.all([
					this.probe(node, `/v${version}/1`, 'GET'),
					this.probe(node, `/v${version - 2}/1`, 'GET'),
					this.probe(node, '/move/1', 'POST'),
				]);
				if (added?.status === 404) {
					this.report(node, `version ${version} is not in force: its route is unknown`);
				}

				if (dropped?.status === 200) {
					this.report(node, `version ${version} is not in force: a dropped route was served`);
				}

				if (moved?.service !== undefined && moved.service !== movedTo(version)) {
					this.report(node, `version ${version} is not in force: the old service has run`);
				}
			}),
		);
	}

	private checkRuns(): void {
		const runs = new Map<string, number>();
		for (const node of this.mesh.nodes) {
			for (const {id, method} of node.backend.seen) {
				runs.set(id, (runs.get(id) ?? 0) + 1);
				if (method === 'POST' && (this.refused.has(id) || runs.get(id)! > 1)) {
					const what = this.refused.has(id) ? 'was refused as not run' : 'ran twice';
					this.report(node, `${id} ${what} and ran`);
				}
			}
		}
	}

	private report(node: MeshNode, text: string): void {
		const events = this.mesh
			.log(node)
			.filter(({number}) => reportedEvents.has(Math.floor(Number(number) / 100)) || number === 304)
			.slice(-reportedCount);
		this.violations.push({
			node: node.name,
			text: `${new Date().toISOString()} ${text}; after ${this.history.slice(-8).join(', ')}`,
			events: events.map((event) =>
				JSON.stringify({...event, level: undefined, message: undefined}),
			),
		});
	}
}
