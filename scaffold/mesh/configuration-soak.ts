/** Changes of the configuration under random disruptions, with checks of what each node then does. */
import {createRandom, type Random} from '../../src/random/index.js';
import {ContactLog, contactTime} from './contact-log.js';
import type {Mesh, MeshNode, MeshRoute} from './mesh.js';
import {SoakDisruptions, type Disruption} from './soak-disruptions.js';
import {VersionLedger} from './version-ledger.js';

/** Something that a node did although it must not. */
export interface Violation {
	readonly node: string;
	readonly text: string;
	/** Latest events of the node about revisions, the store and silent links, oldest first. */
	readonly events: readonly string[];
}

/** Size of the mesh: zones in two regions, and nodes in each. */
export interface SoakSize {
	readonly zones: number;
	readonly nodesPerZone: number;
}

interface ProbeResult {
	readonly status: number;
	/** Service that ran the request; undefined if none did. */
	readonly service: string | undefined;
	/** Time of the request as of `performance.now()`, in ms. */
	readonly sentAt: number;
	/** Oldest version by which the node may have handled the request. */
	readonly floor: number;
	/** Newest version by which the node may have handled the request. */
	readonly ceiling: number;
	readonly id: string;
}

/** Newest version whose effect a node has shown since its start. */
interface ShownVersion {
	version: number;
	at: number;
	starts: number;
}

/** Time in ms within which a configuration must be in force. */
const applyBound = 2000;
/** Time after the effect of a version was seen from which on the node must not fall back behind it, in ms. */
const rollbackSlack = 250;
/** The same for a node that is or was disturbed a short time ago. */
const disturbedRollbackSlack = 8 * rollbackSlack;
const requestPeriod = 100;
/** Versions for which the route that one of them has added stays. */
const keptVersions = 4;
/** Routes that stay, so that a delta is much shorter than the configuration. */
const steadyRoutes = 30;
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

/** Routes of a version: some that stay, one for each of the last versions, and one that moves each time. */
function routesOf(version: number): MeshRoute[] {
	const safe = {host, kind: 'safe', service: 'alpha'} as const;
	const kept = Array.from({length: keptVersions}, (_, i) => version - i);
	const steady = Array.from({length: steadyRoutes}, (_, i) => ({...safe, prefix: `/steady-${i}/`}));
	return [
		...services.map((service) => ({...safe, prefix: `/safe-${service}/`, service})),
		...services.map((service) => ({
			host,
			kind: 'unsafe' as const,
			prefix: `/unsafe-${service}/`,
			service,
		})),
		...kept.map((item) => ({...safe, prefix: `/v${item}/`})),
		{host, kind: 'unsafe', prefix: '/move/', service: movedTo(version)},
		...steady,
	];
}

function movedTo(version: number): string {
	return services[version % services.length]!;
}

function isDenied(status: number): boolean {
	return status >= 300 && status < 500 && !notRunStatuses.has(status);
}

export class ConfigurationSoak {
	readonly violations: Violation[] = [];
	/** What was done, for the report of a violation. */
	readonly history: string[] = [];
	/** Number of answers that were judged by the version that was in force at the latest. */
	judged = 0;
	private readonly versions = new VersionLedger();
	private readonly contact = new ContactLog();
	private readonly disruptions: SoakDisruptions;
	private readonly shown = new Map<string, ShownVersion>();
	private version = 1;
	private requests = 0;
	private isOver = false;
	/** Requests that were answered as not run. */
	private readonly refused = new Set<string>();
	private readonly random: Random;

	constructor(
		private readonly mesh: Mesh,
		private readonly seed: number,
		private readonly size: SoakSize = {zones: 4, nodesPerZone: 2},
	) {
		this.random = createRandom(seed);
		this.disruptions = new SoakDisruptions({
			mesh,
			random: this.random,
			contact: this.contact,
			handleRestore: () => {
				this.versions.forget();
			},
		});
	}

	/** Starts a store and nodes in two regions, and waits until they serve. */
	async open(): Promise<void> {
		const {mesh, size} = this;
		await mesh.startStore();
		for (let i = 0; i < size.zones; i++) {
			const region = i < size.zones / 2 ? 'one' : 'two';
			for (let j = 0; j < size.nodesPerZone; j++) {
				const service = services[j % services.length]!;
				await mesh.addNode({region, zone: `z${i}`, service, hasRelay: true});
			}
		}

		await this.change();
		await mesh.settle();
	}

	/**
	 * Disrupts and changes, and judges all the while what each node that is in touch does.
	 * @param rounds - number of times.
	 */
	async run(rounds: number): Promise<void> {
		const traffic = this.mesh.nodes.map(async (node) => this.sendAlong(node));
		for (let round = 0; round < rounds; round++) {
			await this.disrupt();
			await this.changeNextToNodeDisruptions();
			await sleep(applyBound + 10 * requestPeriod);
		}

		this.isOver = true;
		await Promise.all(traffic);
		this.checkRuns();
	}

	private async change(): Promise<void> {
		this.version += 1;
		this.versions.recordSent(this.version);
		// The store may be down; a change counts from its acknowledgment.
		while (!(await this.tryConfigure())) {
			await sleep(requestPeriod);
		}

		this.versions.recordAcked(this.version);
		this.note(`version ${this.version}`);
	}

	private note(what: string): void {
		this.history.push(`${what} at ${new Date().toISOString().slice(17, 23)}`);
	}

	private async tryConfigure(): Promise<boolean> {
		try {
			await this.mesh.configure(routesOf(this.version), this.version);
			return true;
		} catch {
			return false;
		}
	}

	// Up to four disruptions overlap, with changes before and between them.
	private async disrupt(): Promise<void> {
		const {random, disruptions} = this;
		const count = 1 + random.below(4);
		const running: Array<Promise<void>> = [];
		for (let i = 0; i < count; i++) {
			running.push(this.runDisruption(disruptions.draw()));
			await sleep(random.below(900));
			if (random.below(2) === 0) {
				await this.change();
			}
		}

		await Promise.all(running);
	}

	// The nodes that are not concerned are in touch again when the change must be in force.
	private async changeNextToNodeDisruptions(): Promise<void> {
		const {random, disruptions} = this;
		await sleep(contactTime - applyBound + random.below(applyBound));
		const count = random.below(3);
		const running: Array<Promise<void>> = [];
		for (let i = 0; i < count; i++) {
			running.push(this.runDisruption(disruptions.drawForNodes()));
			await sleep(random.below(300));
		}

		await this.change();
		if (random.below(2) === 0) {
			running.push(this.runDisruption(disruptions.drawForNodes()));
		}

		await Promise.all(running);
	}

	private async runDisruption(disruption: Disruption): Promise<void> {
		this.note(disruption.name);
		await disruption.run();
	}

	private async sendAlong(node: MeshNode): Promise<void> {
		const checks = [
			async () => this.checkAdded(node, false),
			async () => this.checkDropped(node),
			async () => this.checkMoved(node),
			async () => this.checkAdded(node, true),
		];
		for (let i = 0; !this.isOver; i++) {
			const kind = i % 2 === 0 ? 'safe' : 'unsafe';
			const service = services[Math.floor(i / 2) % services.length]!;
			void this.checkSteady(node, `/${kind}-${service}/1`, kind === 'safe' ? 'GET' : 'POST');
			void checks[i % checks.length]!();
			await sleep(requestPeriod);
		}
	}

	// All versions have the route, so that a refusal counts whatever has happened to the node.
	private async checkSteady(node: MeshNode, path: string, method: string): Promise<void> {
		const result = await this.probe(node, path, method);
		if (result && isDenied(result.status)) {
			this.report(node, `denied: ${result.status} for ${path} (${result.id})`);
		}
	}

	private async checkAdded(node: MeshNode, isNewest: boolean): Promise<void> {
		const floor = this.floorOf(node);
		const version = isNewest ? this.versions.newestAcked : floor;
		if (version === 0) {
			return;
		}

		const path = `/v${version}/1`;
		const result = await this.probe(node, path, 'GET');
		if (result?.status === 200) {
			this.recordShown(node, version);
		}

		const isIn = result && version <= result.floor && result.ceiling < version + keptVersions;
		if (isIn && isDenied(result.status)) {
			this.reportBehind(node, result, `${result.status} for ${path}`);
		}
	}

	private async checkDropped(node: MeshNode): Promise<void> {
		const path = `/v${this.floorOf(node) - keptVersions}/1`;
		const result = await this.probe(node, path, 'GET');
		if (result?.status === 200) {
			this.reportBehind(node, result, `a dropped route was served (${path})`);
		}
	}

	private async checkMoved(node: MeshNode): Promise<void> {
		const result = await this.probe(node, '/move/1', 'POST');
		const isFixed = result !== undefined && result.floor === result.ceiling && result.floor > 0;
		if (isFixed && result.service !== undefined && result.service !== movedTo(result.floor)) {
			this.reportBehind(node, result, 'the old service has run');
		}
	}

	/** @returns the oldest version by which the node may handle a request that is sent now. */
	private floorOf(node: MeshNode): number {
		const now = performance.now();
		const isInTouch = this.contact.isInTouch(node.name);
		const bound = isInTouch ? this.versions.ackedBefore(now - applyBound) : 0;
		const shown = this.shown.get(node.name);
		const slack = isInTouch ? rollbackSlack : disturbedRollbackSlack;
		const isKept = shown?.starts === this.contact.countOf(node.name) && now - shown.at > slack;
		return Math.max(bound, isKept ? shown.version : 0);
	}

	private recordShown(node: MeshNode, version: number): void {
		const starts = this.contact.countOf(node.name);
		const shown = this.shown.get(node.name);
		if (!shown || shown.version < version || shown.starts !== starts) {
			this.shown.set(node.name, {version, at: performance.now(), starts});
		}
	}

	/** @returns the result; undefined without an answer, or if a disruption of the node began meanwhile. */
	private async probe(
		node: MeshNode,
		path: string,
		method: string,
	): Promise<ProbeResult | undefined> {
		this.requests += 1;
		const id = `soak-${this.seed}-${this.requests}`;
		const sentAt = performance.now();
		const floor = this.floorOf(node);
		const disturbances = this.contact.countOf(node.name);
		try {
			const {status, body} = await this.mesh.send(node, {path, method, id, deadline: 1500});
			if (notRunStatuses.has(status)) {
				this.refused.add(id);
			}

			const ranBy = body.split(' ', 1)[0];
			const backend = this.mesh.nodes.find((item) => item.backend.identity.instance === ranBy);
			const isSame = this.contact.countOf(node.name) === disturbances;
			this.judged += floor > 0 && isSame ? 1 : 0;
			return {
				status,
				service: backend?.service,
				sentAt,
				floor: isSame ? floor : 0,
				ceiling: this.versions.newestSent,
				id,
			};
		} catch {
			// The connection was lost, as its node was ended or frozen.
			return undefined;
		}
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

	private reportBehind(node: MeshNode, {floor, id, sentAt}: ProbeResult, text: string): void {
		if (floor > 0) {
			const age = Math.round(performance.now() - sentAt);
			this.report(node, `version ${floor} is not in force: ${text} (${id}, sent ${age} ms ago)`);
		}
	}

	private report(node: MeshNode, text: string): void {
		const events = this.mesh
			.log(node)
			.filter(({number}) => reportedEvents.has(Math.floor(Number(number) / 100)) || number === 304)
			.slice(-reportedCount);
		this.violations.push({
			node: node.name,
			text: `${new Date().toISOString()} ${text}; after ${this.history.slice(-12).join(', ')}`,
			events: events.map((event) =>
				JSON.stringify({...event, level: undefined, message: undefined}),
			),
		});
	}
}
