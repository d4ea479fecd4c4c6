/** Nodes of the users' platform as processes on loopback, with a stand-in store and backend servers. */
import {Buffer} from 'node:buffer';
import {execFile} from 'node:child_process';
import {mkdtempSync, readFileSync, rmSync, writeFileSync} from 'node:fs';
import {type Agent, request as httpRequest} from 'node:http';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import process from 'node:process';
import {promisify} from 'node:util';
import {ProcessGroup} from '../deployment/process-group.js';
import {readUsage, type ProcessUsage} from '../deployment/process-usage.js';
import {LinkRelay} from './link-relay.js';
import {MeshBackend} from './mesh-backend.js';

/** One node to start. */
export interface MeshNodeOptions {
	readonly zone: string;
	readonly region: string;
	readonly service: string;
	/** Further lines of the settings file, after its last section. */
	readonly settings?: readonly string[];
	/** Whether a relay stands before its link port, so that its links can go silent. */
	readonly hasRelay?: boolean;
}

/** A node with its backend server. */
export interface MeshNode extends MeshNodeOptions {
	readonly name: string;
	readonly address: string;
	readonly backend: MeshBackend;
	readonly relay: LinkRelay | undefined;
}

/** A caller's request. */
export interface MeshRequest {
	readonly host?: string;
	readonly method?: string;
	readonly path: string;
	readonly body?: string;
	readonly id?: string;
	readonly deadline?: number;
	readonly agent?: Agent;
	readonly signal?: AbortSignal;
	/** Further headers. */
	readonly headers?: Readonly<Record<string, string | string[]>>;
	readonly trailers?: Readonly<Record<string, string>>;
}

/** What a caller got. */
export interface MeshAnswer {
	readonly status: number;
	readonly body: string;
	readonly headers: Readonly<Record<string, string | string[] | undefined>>;
}

export interface MeshRoute {
	readonly host: string;
	readonly prefix: string;
	readonly kind: 'safe' | 'unsafe' | 'upload';
	readonly service: string;
	readonly priority?: number;
	readonly timeout_ms?: number;
	readonly allowed_regions?: readonly string[];
	readonly anonymous?: boolean;
}

/** An availability zone as a node shows it to operators. */
export interface MeshZone {
	readonly zone: string;
	readonly isEvacuated: boolean;
	readonly source?: string;
}

/** A customer of a configuration. */
export interface MeshTenant {
	readonly api_keys?: readonly string[];
	readonly priority?: number;
	readonly rate_per_s?: number;
}

const ports = {callers: 7600, readiness: 7601, announcements: 7602, link: 7603, operators: 7604};
const storePort = 7690;
/** Start of all addresses; another second octet lets the tests of two checkouts run at the same time. */
export const meshNetwork = `127.${process.env.MESH_OCTET ?? '31'}`;
/** Relays have the addresses of their nodes, this much higher. */
const relayOffset = 100;
const waitLimit = 20_000;
let nextId = 0;

/** @returns a port that is free now. */
export async function freePort(address: string): Promise<number> {
	return new Promise((resolve) => {
		const server = createServer();
		server.listen(0, address, () => {
			const found = server.address();
			server.close(() => {
				resolve(typeof found === 'object' && found ? found.port : 0);
			});
		});
	});
}

/** Waits until something holds; fails after a limit that only ends a test that hangs. */
export async function eventually(
	check: () => boolean | Promise<boolean>,
	period = 20,
): Promise<void> {
	const until = performance.now() + waitLimit;
	while (!(await check())) {
		if (performance.now() > until) {
			throw new Error('waited in vain');
		}

		await new Promise((resolve) => {
			setTimeout(resolve, period);
		});
	}
}

export class Mesh {
	/** TCP port on which each node takes callers. */
	readonly callerPort = ports.callers;
	readonly nodes: MeshNode[] = [];
	/** Fields that the configuration gives each service in addition. */
	serviceFields: Readonly<Record<string, unknown>> = {};
	private readonly folder = mkdtempSync(join(tmpdir(), 'mesh-'));
	private readonly group = new ProcessGroup(this.folder);
	private newest = 0;

	constructor(
		private readonly subnet: number,
		/** Options of Node.js and the program that runs as a node. */
		private readonly program: readonly string[] = ['dist/platform/turmeric-platform-node.js'],
	) {}

	private get store(): string {
		return `${meshNetwork}.${this.subnet}.1:${storePort}`;
	}

	async startStore(): Promise<void> {
		const args = ['dist/scaffold/stand-ins/platform-store.js', ...this.store.split(':')];
		await this.group.start({name: 'store', args, readyText: 'ready'});
	}

	/** Starts a node with its backend server; waits until the node listens. */
	async addNode(options: MeshNodeOptions): Promise<MeshNode> {
		const index = this.nodes.length + 1;
		const address = `${meshNetwork}.${this.subnet}.${10 + index}`;
		const control = `${address}:${ports.announcements}`;
		const identity = {instance: `i-${index}`, service: options.service, born: 1000 + index};
		const backend = new MeshBackend(identity, address, control);
		await backend.listen();
		const relayAddress = `${meshNetwork}.${this.subnet}.${relayOffset + index}`;
		const relay = options.hasRelay ? new LinkRelay(relayAddress, address, ports.link) : undefined;
		await relay?.listen();
		const node = {...options, name: `node-${index}`, address, backend, relay};
		this.nodes.push(node);
		writeFileSync(this.settingsFile(node), this.settingsOf(node));
		await this.startNode(node);
		backend.startHeartbeats();
		return node;
	}

	async startNode(node: MeshNode): Promise<void> {
		const args = [...this.program, '--settings', this.settingsFile(node)];
		await this.group.start({name: node.name, args, readyText: 'node-started'});
	}

	/** @returns the exit code. */
	async endNode(node: MeshNode, signal: NodeJS.Signals): Promise<number | undefined> {
		const {ended} = this.group.get(node.name);
		this.group.signal(node.name, signal);
		return ended;
	}

	signalNode(node: MeshNode, signal: NodeJS.Signals): void {
		this.group.signal(node.name, signal);
	}

	/** Writes a configuration as the operator does. */
	async configure(
		routes: readonly MeshRoute[],
		version = this.newest + 1,
		tenants?: Readonly<Record<string, MeshTenant>>,
	): Promise<void> {
		this.newest = Math.max(this.newest, version);
		const services = new Set(routes.map((route) => route.service));
		const value = {
			version,
			routes: Object.fromEntries(
				routes.map((route, i) => [
					`r-${i}`,
					{timeout_ms: 1000, target_latency_ms: 400, priority: 0, attempts: 2, ...route},
				]),
			),
			services: Object.fromEntries(
				[...services].map((name) => [
					name,
					{health_path: '/health', max_connections: 50, ...this.serviceFields},
				]),
			),
			limits: {
				max_header_bytes: 16_384,
				max_body_bytes: 1_000_000,
				header_timeout_ms: 3000,
				idle_timeout_ms: 15_000,
			},
			tenants,
		};
		const text = Buffer.from(JSON.stringify(value)).toString('base64');
		await this.writeRow('op', 'config', text);
	}

	async writeRow(table: string, key: string, value: string): Promise<void> {
		await this.commit({put_entries: [{table, part: '', key, value}]});
	}

	async removeRow(table: string, key: string): Promise<void> {
		await this.commit({removals: [{table, part: '', key}]});
	}

	async setStoreFaults(faults: Record<string, unknown>): Promise<void> {
		const body = JSON.stringify(faults);
		await fetch(`http://${this.store}/stand-in/faults`, {method: 'POST', body});
	}

	/**
	 * Lets open connections of all nodes to the store go silent; those that they open later work.
	 * @param share - share of the connections, from 0 to 1.
	 */
	async silenceStore(share = 1): Promise<void> {
		const silenced = this.nodes.map(({address}) => address);
		await this.setStoreFaults({silenced, silencedShare: share});
	}

	/**
	 * Lets links between nodes go silent; those that are opened later work.
	 * @param isChosen - whether a link goes silent; all of them do by default.
	 */
	silenceLinks(isChosen?: () => boolean): void {
		for (const {relay} of this.nodes) {
			relay?.silence(isChosen);
		}
	}

	/** @returns calls to the store so far. */
	async storeCalls(): Promise<number> {
		const res = await fetch(`http://${this.store}/stand-in/counts`);
		const {reads, writes} = (await res.json()) as {reads: number; writes: number};
		return reads + writes;
	}

	/** @returns the newest version that the store has given out. */
	async storeVersion(): Promise<number> {
		const res = await fetch(`http://${this.store}/stand-in/counts`);
		const {version} = (await res.json()) as {version: number};
		return version;
	}

	/** Brings the store back to its state at an earlier version. */
	async restoreStore(version: number): Promise<void> {
		const res = await fetch(`http://${this.store}/stand-in/restore`, {
			method: 'POST',
			body: String(version),
		});
		await res.text();
	}

	async isReady(node: MeshNode): Promise<boolean> {
		try {
			const res = await fetch(`http://${node.address}:${ports.readiness}/v1/ready`);
			await res.text();
			return res.status === 200;
		} catch {
			return false;
		}
	}

	/** @returns what the node says of itself to operators. */
	async status(node: MeshNode): Promise<{revision: {inForce: number}; members: number}> {
		const res = await fetch(`http://${node.address}:${ports.operators}/v1/status`);
		return (await res.json()) as {revision: {inForce: number}; members: number};
	}

	/** @returns the value of a metric without labels. */
	async metric(node: MeshNode, name: string): Promise<number> {
		const res = await fetch(`http://${node.address}:${ports.operators}/metrics`);
		const text = await res.text();
		const line = text.split('\n').find((item) => item.startsWith(`${name} `));
		return Number(line?.slice(name.length + 1));
	}

	/** @returns what the node says to operators about the availability zones that it knows. */
	async zones(node: MeshNode): Promise<MeshZone[]> {
		const res = await fetch(`http://${node.address}:${ports.operators}/v1/zones`);
		const {zones} = (await res.json()) as {zones: MeshZone[]};
		return zones;
	}

	/** @returns the lines that a command of `turmericctl` for a node writes. */
	async control(command: string, {address}: MeshNode): Promise<string[]> {
		const args = ['dist/src/bin/turmericctl.js', command, `${address}:${ports.operators}`];
		const {stdout} = await promisify(execFile)(process.execPath, args);
		return stdout.trimEnd().split('\n');
	}

	/** @returns the answer of the node's port for operators. */
	async operatorText(node: MeshNode, path: string): Promise<string> {
		const res = await fetch(`http://${node.address}:${ports.operators}${path}`);
		return res.text();
	}

	/** @returns IP:port of the node's port for operators. */
	operatorEndpoint({address}: MeshNode): string {
		return `${address}:${ports.operators}`;
	}

	/** @returns the configuration version in force at the node. */
	async version(node: MeshNode): Promise<number> {
		const status = await this.status(node);
		return status.revision.inForce;
	}

	/** Waits until a configuration version, or a later one, is in force at the node. */
	async awaitVersion(node: MeshNode, version: number): Promise<void> {
		await eventually(async () => (await this.version(node)) >= version);
	}

	/** @returns the HTTP status that a caller gets. */
	async statusFor(node: MeshNode, req: MeshRequest): Promise<number> {
		const answer = await this.send(node, req);
		return answer.status;
	}

	/** Waits until every node is ready, knows all others, and has its backend server. */
	async settle(): Promise<void> {
		for (const node of this.nodes) {
			await eventually(async () => this.isReady(node));
			await eventually(async () => {
				const {members} = await this.status(node);
				return members === this.nodes.length;
			});
		}
	}

	async send(node: MeshNode, req: MeshRequest): Promise<MeshAnswer> {
		nextId += 1;
		const {host = 'a.example', method = 'GET', path, body, id = `r${nextId}`} = req;
		const headers: Record<string, string | string[]> = {
			...req.headers,
			host,
			'x-attempt-id': id,
			'x-request-deadline': String(req.deadline ?? 2000),
		};
		if (body !== undefined && !req.trailers) {
			headers['content-length'] = String(Buffer.byteLength(body));
		}

		const {agent, signal} = req;
		return new Promise((resolve, reject) => {
			const {address} = node;
			const out = httpRequest(
				{host: address, port: ports.callers, method, path, headers, agent, signal},
				(res) => {
					const chunks: Buffer[] = [];
					res.on('data', (chunk: Buffer) => {
						chunks.push(chunk);
					});
					res.once('error', reject);
					res.once('end', () => {
						const text = Buffer.concat(chunks).toString('utf8');
						resolve({status: res.statusCode ?? 0, body: text, headers: res.headers});
					});
				},
			);
			out.once('error', reject);
			if (body !== undefined && req.trailers) {
				out.write(body);
				out.addTrailers(req.trailers);
				out.end();
			} else {
				out.end(body);
			}
		});
	}

	/** @returns what the node's process has used since its start. */
	usage(node: MeshNode): ProcessUsage {
		return readUsage(this.group.get(node.name).child.pid!);
	}

	/** @returns everything that a node has written. */
	output(node: MeshNode): string {
		return readFileSync(join(this.folder, `${node.name}.log`), 'utf8');
	}

	/** @returns the log lines of a node. */
	log(node: MeshNode): Array<Readonly<Record<string, unknown>>> {
		const lines = this.output(node)
			.split('\n')
			.filter((line) => line.startsWith('{'));
		return lines.map((line) => JSON.parse(line) as Readonly<Record<string, unknown>>);
	}

	async stop(): Promise<void> {
		for (const node of this.nodes) {
			node.backend.close();
			node.relay?.close();
		}

		await this.group.stop();
		rmSync(this.folder, {recursive: true, force: true});
	}

	private async commit(transaction: Record<string, unknown>): Promise<void> {
		const body = JSON.stringify({expect: [], put_entries: [], removals: [], ...transaction});
		await fetch(`http://${this.store}/v1/rows-tx`, {method: 'POST', body});
	}

	private settingsFile(node: MeshNode): string {
		return join(this.folder, `${node.name}.ini`);
	}

	private settingsOf(node: MeshNode): string {
		const {address, region, zone, service, backend, relay, settings = []} = node;
		return [
			'[node]',
			`address = ${address}`,
			`advertise = ${relay?.address ?? address}`,
			`callers = ${address}:${ports.callers}`,
			`readiness = ${address}:${ports.readiness}`,
			`announcements = ${address}:${ports.announcements}`,
			`link-port = ${ports.link}`,
			`operator-port = ${ports.operators}`,
			`region = ${region}`,
			`zone = ${zone}`,
			'stop-timeout = 6 s',
			'[peers]',
			'secret = test-secret',
			'[store]',
			`address = ${this.store}`,
			'[backend]',
			`service = ${service}`,
			`address = ${backend.endpoint}`,
			'announce-period = 300 ms',
			'[budgets]',
			'slack = 50',
			...settings,
		].join('\n');
	}
}
