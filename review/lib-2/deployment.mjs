/* eslint-disable camelcase, no-await-in-loop, unicorn/no-process-exit -- names of the wire, steps that follow each other */
/** A small deployment: store, nodes as processes, and a backend server beside each node. */
import {appendFileSync, mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {Backend} from './backend.mjs';
import {freePorts, NodeProcess} from './node-process.mjs';
import {Store} from './store.mjs';

export const isTroubled = process.env.TROUBLE !== '0';

export async function sleep(ms) {
	return new Promise((resolve) => {
		setTimeout(resolve, ms);
	});
}

/** Waits until something holds; the case could not run when it does not. */
export async function until(name, check, limitMs = 20_000) {
	const end = performance.now() + limitMs;
	while (!(await check())) {
		if (performance.now() > end) {
			throw new Error(`waited in vain: ${name}`);
		}

		await sleep(25);
	}
}

/** Writes what was sent, answered and run into the record of a case. */
export class Record {
	constructor(folder) {
		this.file = path.join(folder, 'record.txt');
		this.startedAt = performance.now();
		writeFileSync(this.file, `trouble: ${isTroubled ? 'yes' : 'no'}\n`);
	}

	add(text) {
		const at = ((performance.now() - this.startedAt) / 1000).toFixed(3);
		appendFileSync(this.file, `${at} ${text}\n`);
	}
}

export class Deployment {
	folder = mkdtempSync(path.join(tmpdir(), 'review-'));
	store = new Store();
	nodes = [];
	version = 0;

	/**
	 * @param subnet - second and third part of the loopback addresses of the case.
	 */
	constructor(subnet) {
		this.subnet = subnet;
		// Also when the script fails.
		process.once('exit', () => {
			for (const node of this.nodes) {
				node.child?.kill('SIGKILL');
			}

			rmSync(this.folder, {recursive: true, force: true});
		});
	}

	async startStore() {
		await this.store.listen(`127.${this.subnet}.1`);
	}

	/** Prepares a node and its backend server; `start` starts them. */
	async add({
		region,
		zone,
		service,
		slots,
		work,
		createBackend = (identity) => new Backend(identity),
	}) {
		const index = this.nodes.length + 1;
		const address = `127.${this.subnet}.${10 + index}`;
		const backend = createBackend({id: `i-${index}`, service, zone, slots, work});
		const app = await backend.listen(address);
		const ports = await freePorts(address, 5);
		const place = {address, ports, region, zone, service, store: this.store.address, app};
		const node = new NodeProcess(`node-${index}`, this.folder, place);
		node.backend = backend;
		this.nodes.push(node);
		return node;
	}

	/** Writes a configuration as the operator does. */
	configure(routes) {
		this.version += 3;
		const names = new Set(Object.values(routes).map(({service}) => service));
		const defaults = {attempts: 2, timeout_ms: 1000, target_latency_ms: 400, priority: 0};
		return this.store.put('op', 'config', {
			version: this.version,
			routes: Object.fromEntries(
				Object.entries(routes).map(([name, route]) => [name, {...defaults, ...route}]),
			),
			services: Object.fromEntries(
				[...names].map((name) => [name, {health_path: '/health', max_connections: 240}]),
			),
			limits: {
				max_header_bytes: 16_384,
				max_body_bytes: 1_000_000,
				header_timeout_ms: 3000,
				idle_timeout_ms: 15_000,
			},
		});
	}

	/** Starts all nodes for the first time, and the pings of their backend servers. */
	async start() {
		for (const node of this.nodes) {
			node.start(true);
			node.backend.startPings(node.control);
		}

		for (const node of this.nodes) {
			await until(`${node.name} is ready`, async () => node.isReady());
		}
	}

	async stop() {
		await Promise.all(this.nodes.map(async (node) => node.kill()));
		for (const {backend} of this.nodes) {
			backend.close();
		}

		this.store.close();
		rmSync(this.folder, {recursive: true, force: true});
	}
}

/**
 * Runs a case: exit code 1 if the rule was broken, 0 if it held, 2 if the case could not run.
 * @param folder - folder of the case.
 * @param play - plays it; returns whether the rule was broken.
 */
export async function runCase(folder, play) {
	const record = new Record(folder);
	let code = 2;
	try {
		const isBroken = await play(record);
		code = isBroken ? 1 : 0;
		record.add(isBroken ? 'the rule was broken' : 'the rule held');
	} catch (err) {
		record.add(`the case could not run: ${err.stack ?? String(err)}`);
	}

	process.exit(code);
}
