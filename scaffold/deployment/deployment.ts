import {execFile} from 'node:child_process';
import {existsSync, mkdtempSync, readdirSync, readFileSync, rmSync, writeFileSync} from 'node:fs';
import {createServer, type Server} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import process from 'node:process';
import {promisify} from 'node:util';
import {isRoutable, type Member} from '../../src/membership/index.js';
import type {NetworkPlan, Relay} from '../stand-ins/network.js';
import type {DeploymentPlan, ServicePlan} from './place.js';
import {ProcessGroup} from './process-group.js';
import {relayOctetOffset} from './relay-octet.js';

/** A backend server with the node beside it. */
export interface Pair {
	/** Name of the service and a number. */
	readonly name: string;
	readonly service: string;
	readonly region: string;
	readonly zone: string;
	/** IP number of the VM. */
	readonly address: string;
	/** IP number under which other zones reach the VM. */
	readonly advertise: string;
	readonly node: string;
	readonly backend: string;
}

/** Counts that the stand-in store keeps. */
export interface StoreCounts {
	readonly reads: number;
	readonly writes: number;
	/** Newest version that the store has given out. */
	readonly version: number;
}

/** Ports on each VM. */
export const ports = {
	caller: 7000,
	link: 7001,
	operator: 7002,
	backend: 8000,
	store: 7500,
} as const;

const lockPort = 7999;
const firstRun = 1;
const lastRun = 250;
const secret = 'stand-in-secret';
const pollPeriod = 50;
const startLimit = 60_000;

/** Takes a third octet that no other run uses; the lock ends with the process. */
async function claimRun(): Promise<{run: number; lock: Server}> {
	const start = firstRun + Math.floor(Math.random() * (lastRun - firstRun));
	for (let i = 0; i <= lastRun - firstRun; i++) {
		const run = firstRun + ((start + i) % (lastRun - firstRun));
		const lock = createServer();
		const isFree = await new Promise<boolean>((resolve) => {
			lock.once('error', () => {
				resolve(false);
			});
			lock.listen(lockPort, `127.0.${run}.1`, () => {
				resolve(true);
			});
		});
		if (isFree) {
			return {run, lock};
		}
	}

	throw new Error('too many deployments run on this machine');
}

/** A whole deployment of small processes on the loopback addresses of this machine. */
export class Deployment {
	readonly pairs: Pair[] = [];
	readonly folder = mkdtempSync(join(tmpdir(), 'turmericmount-'));
	readonly group = new ProcessGroup(join(this.folder, 'logs'));
	private lock: Server | undefined;
	private run = 0;

	constructor(
		readonly plan: DeploymentPlan,
		private readonly seed = 1,
	) {}

	/** Address of the store as a node of a zone sees it. */
	get storeAddress(): string {
		return this.address(this.plan.storeOctet + relayOctetOffset, 200);
	}

	/** Starts the network, the store, and each backend server with its node. */
	async start(): Promise<void> {
		const claimed = await claimRun();
		this.run = claimed.run;
		this.lock = claimed.lock;
		this.layOut();
		await this.startNetwork();
		await this.startStore();
		await Promise.all(this.pairs.map(async (pair) => this.startPair(pair)));
	}

	/** Ends everything and removes its files. */
	async stop(): Promise<void> {
		await this.group.stop();
		this.lock?.close();
		rmSync(this.folder, {recursive: true, force: true});
	}

	/**
	 * @param name - name of a pair.
	 * @returns the pair.
	 */
	pair(name: string): Pair {
		const pair = this.pairs.find((item) => item.name === name);
		if (!pair) {
			throw new Error(`no pair ${name}`);
		}

		return pair;
	}

	/** Starts a backend server and its node. */
	async startPair(pair: Pair): Promise<void> {
		await Promise.all([this.startNode(pair), this.startBackend(pair)]);
	}

	/** Starts a node; it need not be ready yet. */
	async startNode(pair: Pair): Promise<void> {
		const file = join(this.folder, `${pair.node}.ini`);
		writeFileSync(file, this.nodeSettings(pair));
		await this.group.start({
			name: pair.node,
			args: [
				'--max-semi-space-size=4',
				'--max-old-space-size=96',
				'dist/src/bin/turmeric-node.js',
				'--settings',
				file,
			],
			readyText: 'node-started',
		});
	}

	/** Starts a backend server. */
	async startBackend(pair: Pair): Promise<void> {
		const service = this.servicePlan(pair.service);
		await this.group.start({
			name: pair.backend,
			args: [
				'dist/scaffold/stand-ins/backend-server.js',
				'--address',
				pair.address,
				'--port',
				String(ports.backend),
				'--node',
				`${pair.address}:${ports.operator}`,
				'--service',
				pair.service,
				'--slots',
				String(service.slots),
				'--connections',
				String(service.connections),
				'--service-time',
				String(service.serviceTime),
				'--seed',
				String(this.seed + this.pairs.indexOf(pair)),
				'--book',
				this.bookFile(pair),
			],
			readyText: 'ready',
		});
	}

	/** Waits until every node takes calls and knows every backend server. */
	async waitUntilReady(): Promise<void> {
		for (const pair of this.pairs) {
			await this.waitFor(`${pair.node} to be ready`, async () => {
				const status = await this.status(pair);
				return status.state === 'ready' && status.members === this.pairs.length;
			});
		}

		await this.waitFor('all nodes to know all that serve', async () =>
			this.isServing(this.pairs.length),
		);
	}

	/**
	 * @param count - how many members should take work.
	 * @returns whether every node sees exactly so many.
	 */
	async isServing(count: number): Promise<boolean> {
		const counts = await Promise.all(
			this.pairs.map(async (pair) => {
				const text = await fetchText(`http://${pair.address}:${ports.operator}/v1/members`);
				const {members} = JSON.parse(text) as {members: Member[]};
				return members.filter((member) => isRoutable(member)).length;
			}),
		);
		return counts.every((seen) => seen === count);
	}

	/**
	 * Waits for an event.
	 * @param what - for the message.
	 * @param check - tells whether it has come.
	 */
	async waitFor(what: string, check: () => Promise<boolean>): Promise<void> {
		const until = Date.now() + startLimit;
		for (;;) {
			const isThere = await check().catch(() => false);
			if (isThere) {
				return;
			}

			if (Date.now() > until) {
				throw new Error(`waited in vain for ${what}`);
			}

			await new Promise((resolve) => {
				setTimeout(resolve, pollPeriod);
			});
		}
	}

	/**
	 * @param pair - whose node is asked.
	 * @returns the status of the node.
	 */
	async status(pair: Pair): Promise<{
		state: string;
		members: number;
		revision: {inForce: number; held: number};
		backend: {state: string; load: {slots: number}};
		keys: number;
		instance: string;
	}> {
		return JSON.parse(
			await fetchText(`http://${pair.address}:${ports.operator}/v1/status`),
		) as Awaited<ReturnType<Deployment['status']>>;
	}

	/**
	 * Runs the operators' program.
	 * @param args - its arguments; the store is added.
	 * @returns exit code and output.
	 */
	async operate(...args: string[]): Promise<{code: number; output: string}> {
		const store = ['--store', `${this.address(this.plan.storeOctet, 200)}:${ports.store}`];
		return new Promise((resolve) => {
			const all = ['dist/src/bin/turmericctl.js', ...args, ...store];
			execFile(process.execPath, all, (err, stdout, stderr) => {
				resolve({code: Number(err?.code ?? 0), output: stdout + stderr});
			});
		});
	}

	/**
	 * Runs a command of the operators' program on a node.
	 * @param name - name of the command.
	 * @param pair - whose node.
	 */
	async operateNode(name: string, pair: Pair): Promise<void> {
		const args = ['dist/src/bin/turmericctl.js', name, `${pair.address}:${ports.operator}`];
		await promisify(execFile)(process.execPath, args);
	}

	/** Starts everything, applies the declaration, and waits until all nodes take calls. */
	async open(): Promise<void> {
		await this.start();
		const {code, output} = await this.operate('apply', this.plan.files);
		if (code !== 0) {
			throw new Error(output);
		}

		await this.waitUntilReady();
	}

	/**
	 * Changes how a backend server behaves.
	 * @param pair - whose backend server.
	 * @param behaviour - what changes.
	 */
	async setBehaviour(pair: Pair, behaviour: Readonly<Record<string, unknown>>): Promise<void> {
		const url = `http://${pair.address}:${ports.backend}/stand-in/behaviour`;
		await fetchText(url, JSON.stringify(behaviour));
	}

	/**
	 * Makes the store fail.
	 * @param faults - what changes.
	 */
	async setStoreFaults(faults: Readonly<Record<string, unknown>>): Promise<void> {
		await fetchText(`${this.storeControl}/stand-in/faults`, JSON.stringify(faults));
	}

	/**
	 * Brings the store back to an earlier state.
	 * @param version - version of the state.
	 */
	async restoreStore(version: number): Promise<void> {
		await fetchText(`${this.storeControl}/stand-in/restore`, String(version));
	}

	/** @returns what the store was asked. */
	async storeCounts(): Promise<StoreCounts> {
		return JSON.parse(await fetchText(`${this.storeControl}/stand-in/counts`)) as StoreCounts;
	}

	/**
	 * Makes the network fail.
	 * @param faults - what changes.
	 * @returns bytes that have crossed between regions.
	 */
	async setNetworkFaults(
		faults: Readonly<Record<string, unknown>>,
	): Promise<Readonly<Record<string, number>>> {
		const url = `http://${this.address(0, 250)}:${ports.store}/`;
		const {bytes} = JSON.parse(await fetchText(url, JSON.stringify(faults))) as {
			bytes: Record<string, number>;
		};
		return bytes;
	}

	/**
	 * @param pair - whose backend server.
	 * @returns what it has run, over all its starts.
	 */
	book(pair: Pair): BookEntry[] {
		const file = this.bookFile(pair);
		const lines = existsSync(file) ? readFileSync(file, 'utf8').split('\n') : [];
		return lines.filter(Boolean).map((line) => JSON.parse(line) as BookEntry);
	}

	/**
	 * @param callId - id of a call.
	 * @returns how often it was run, by any backend server.
	 */
	runsOf(callId: string): number {
		const entries = this.pairs.flatMap((pair) => this.book(pair));
		return entries.filter((entry) => entry.callId === callId).length;
	}

	/**
	 * @param pair - whose backend server.
	 * @returns calls that run there now.
	 */
	async running(pair: Pair): Promise<number> {
		return Number(await fetchText(`http://${pair.address}:${ports.backend}/stand-in/running`));
	}

	/**
	 * @param octet - number of a zone; 100 more for the relayed address.
	 * @param host - number of the VM.
	 */
	address(octet: number, host: number): string {
		return `127.${octet}.${this.run}.${host}`;
	}

	private get storeControl(): string {
		return `http://${this.address(this.plan.storeOctet, 200)}:${ports.store}`;
	}

	private bookFile(pair: Pair): string {
		return join(this.folder, `${pair.backend}.book`);
	}

	private servicePlan(name: string): ServicePlan {
		return this.plan.services.find((service) => service.name === name)!;
	}

	private layOut(): void {
		let host = 1;
		for (const service of this.plan.services) {
			for (let i = 0; i < service.backends; i++) {
				const place = this.plan.zones[i % this.plan.zones.length]!;
				const name = `${service.name}-${i + 1}`;
				this.pairs.push({
					name,
					service: service.name,
					region: place.region,
					zone: place.zone,
					address: this.address(place.octet, host),
					advertise: this.address(place.octet + relayOctetOffset, host),
					node: `node-${name}`,
					backend: `backend-${name}`,
				});
				host += 1;
			}
		}
	}

	private async startNetwork(): Promise<void> {
		const relays: Relay[] = this.pairs.map((pair) => ({
			listen: pair.advertise,
			target: pair.address,
			port: ports.link,
			isUdp: true,
		}));
		relays.push({
			listen: this.storeAddress,
			target: this.address(this.plan.storeOctet, 200),
			port: ports.store,
			isUdp: false,
		});
		const plan: NetworkPlan = {
			zones: this.plan.zones,
			relays,
			zoneDelay: this.plan.zoneDelay,
			regionDelay: this.plan.regionDelay,
			control: {address: this.address(0, 250), port: ports.store},
			seed: this.seed,
		};
		await this.group.start({
			name: 'network',
			args: ['dist/scaffold/stand-ins/network.js', JSON.stringify(plan)],
			readyText: 'ready',
		});
	}

	private async startStore(): Promise<void> {
		const address = this.address(this.plan.storeOctet, 200);
		await this.group.start({
			name: 'store',
			args: ['dist/scaffold/stand-ins/platform-store.js', address, String(ports.store)],
			readyText: 'ready',
		});
	}

	private nodeSettings(pair: Pair): string {
		const seeds = this.pairs.slice(0, 3).map((seed) => `${seed.advertise}:${ports.link}`);
		return [
			'[node]',
			`address = ${pair.address}`,
			`advertise = ${pair.advertise}`,
			`caller-port = ${ports.caller}`,
			`link-port = ${ports.link}`,
			`operator-port = ${ports.operator}`,
			`region = ${pair.region}`,
			`zone = ${pair.zone}`,
			`random-seed = ${this.seed + this.pairs.indexOf(pair)}`,
			'[peers]',
			`seeds = ${seeds.join(', ')}`,
			`secret = ${secret}`,
			'[store]',
			`address = ${this.storeAddress}:${ports.store}`,
			'[log]',
			'form = json',
			'level = info',
			'',
		].join('\n');
	}
}

/** One request that a backend server has run. */
export interface BookEntry {
	/** Start of the backend server that ran it. */
	readonly instance: string;
	readonly callId: string;
	/** Time of day in ms since the Unix epoch. */
	readonly startedAt: number;
	/** Calls that ran there at that moment, this one included. */
	readonly running: number;
}

/**
 * @param url - what to fetch.
 * @param body - with a body, the request is a POST.
 * @returns the text of the answer.
 */
export async function fetchText(url: string, body?: string): Promise<string> {
	const method = body === undefined ? 'GET' : 'POST';
	const res = await fetch(url, {method, body});
	return res.text();
}

/**
 * @param folder - folder of declaration files.
 * @returns names and contents of the files in it.
 */
export function readFolder(folder: string): Array<{name: string; text: string}> {
	const names = readdirSync(folder).filter((name) => name.endsWith('.ini'));
	return names.toSorted().map((name) => {
		const path = join(folder, name);
		return {name: path, text: readFileSync(path, 'utf8')};
	});
}
