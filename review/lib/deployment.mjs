/* eslint-disable camelcase -- The names on the wire are those of the users. */
/** Starts the nodes as the deploy file says, beside stand-ins for the store and the backend servers. */
import {Buffer} from 'node:buffer';
import {spawn} from 'node:child_process';
import {appendFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync} from 'node:fs';
import {request as httpRequest} from 'node:http';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {Backend} from './backend.mjs';
import {findPlaces, sleep} from './net.mjs';
import {Relay} from './relay.mjs';
import {Store} from './store.mjs';

const root = path.resolve(import.meta.dirname, '../..');
const offsets = {control: 0, ready: 1, app: 2, outbound: 3, linkFirst: 4, linkLast: 5, store: 6};
const startLimit = 30_000;
/** Whether the logs of the nodes stay in the temporary folder, to look into them. */
const keepsLogs = process.env.KEEP_LOGS !== undefined;

const lookUp = (fields, name) => {
	let value = fields;
	for (const key of name.split('.')) {
		value = value?.[key];
	}

	return value;
};

/** Renders the part of the template language that the template uses. */
const render = (template, fields) =>
	template
		.replaceAll(/\{\{#([\w.]+)\}\}\n?([\s\S]*?)\{\{\/\1\}\}\n?/gv, (_, name, text) =>
			lookUp(fields, name) ? text : '',
		)
		.replaceAll(/\{\{([\w.]+)\}\}/gv, (_, name) => String(lookUp(fields, name) ?? ''));

const runLine = () => {
	const text = readFileSync(path.join(root, 'deploy/system.toml'), 'utf8');
	return /^run = "(.*)"$/mv.exec(text)[1].split(' ');
};

/** Bounds of the sites rannakivi-mesh and kerakot-mesh. */
export const bounds = {
	grace_s: 6,
	contact_ms: 3000,
	config_apply_ms: 2000,
	drain_ms: 2000,
	retry_budget_ratio: 0.2,
	budget_slack: 56,
};

export class Deployment {
	nodes = [];
	children = new Set();
	nextId = 0;
	configVersion = 0;
	/** Runs at the backend servers, by the id of the request. */
	runs = new Map();
	startedAt = performance.now();

	/**
	 * @param recordFile - file that the record is written to.
	 */
	constructor(recordFile) {
		this.recordFile = recordFile;
		writeFileSync(this.recordFile, '');
		this.folder = mkdtempSync(path.join(tmpdir(), 'review-'));
	}

	get now() {
		return performance.now() - this.startedAt;
	}

	record = (event, fields = {}) => {
		if (event === 'run') {
			const run = {at: this.now, instance: fields.instance};
			this.runs.set(fields.id, [...(this.runs.get(fields.id) ?? []), run]);
		}

		const line = `${this.now.toFixed(1)} ${event} ${JSON.stringify(fields)}\n`;
		appendFileSync(this.recordFile, line);
	};

	/** @returns when a backend server began to run a request; undefined if it did not. */
	runsAt(id, instance) {
		return this.runs.get(id)?.find((run) => run.instance === instance)?.at;
	}

	/**
	 * @param machines - region, zone and service of each machine.
	 * @param hasRelays - whether a relay stands before the link port of each node.
	 */
	async start(machines, hasRelays = false) {
		const {addresses, port} = await findPlaces(2 * machines.length + 1);
		this.port = port;
		this.storeAddress = addresses[0];
		this.store = new Store();
		await this.store.start(this.storeAddress, port + offsets.store);
		this.nodes = machines.map((machine, i) => ({
			...machine,
			name: `${machine.zone}-${i + 1}`,
			address: addresses[i + 1],
			relay: hasRelays
				? new Relay({
						address: addresses[machines.length + i + 1],
						target: addresses[i + 1],
						port: port + offsets.linkFirst,
					})
				: undefined,
		}));
		for (const node of this.nodes) {
			node.backend = new Backend({
				service: node.service,
				zone: node.zone,
				address: node.address,
				port: port + offsets.app,
				control: port + offsets.control,
				heartbeat: 1500,
				record: this.record,
			});
		}

		await Promise.all(
			this.nodes.map(async ({backend, relay}) => Promise.all([backend.start(), relay?.start()])),
		);
		for (const node of this.nodes) {
			this.startNode(node, true);
		}
	}

	startNode(node, isFirst = false) {
		const {port} = this;
		const settings = path.join(this.folder, `${node.name}.ini`);
		const template = readFileSync(path.join(root, 'deploy/node.ini.template'), 'utf8');
		const text = render(template, {
			ip: node.address,
			listen: {
				outbound: `${node.address}:${port + offsets.outbound}`,
				ready_address: `${node.address}:${port + offsets.ready}`,
				control: `${node.address}:${port + offsets.control}`,
			},
			port_range: [port + offsets.linkFirst, port + offsets.linkLast],
			region: node.region,
			zone: node.zone,
			limits: {link_mbps: 1000},
			bounds,
			first_start: isFirst,
			platform: {address: `${this.storeAddress}:${port + offsets.store}`},
			service: node.service,
			app_address: `${node.address}:${port + offsets.app}`,
			heartbeat_ms: 1500,
		});
		// The one setting beside the template: peers reach the node through its relay.
		const advertise = node.relay ? `[node]\nadvertise = ${node.relay.address}` : '[node]';
		writeFileSync(settings, text.replace('[node]', advertise));
		const [, ...words] = runLine();
		const args = words.map((word) => (word === '/etc/turmericmount/node.yaml' ? settings : word));
		const {PATH, HOME, LANG} = process.env;
		const child = spawn(process.execPath, args, {
			cwd: root,
			env: {PATH, HOME, LANG, TURMERICMOUNT_CONFIG: settings},
			stdio: ['ignore', 'pipe', 'pipe'],
		});
		node.child = child;
		node.isRunning = true;
		this.children.add(child);
		const logFile = path.join(this.folder, `${node.name}.log`);
		for (const output of [child.stdout, child.stderr]) {
			output.on('data', (chunk) => {
				if (keepsLogs) {
					appendFileSync(logFile, chunk);
				}
			});
		}

		node.ended = new Promise((resolve) => {
			child.once('exit', (code, signal) => {
				this.children.delete(child);
				node.isRunning = node.child !== child && node.isRunning;
				this.record('node-exit', {node: node.name, code, signal});
				resolve(code);
			});
		});
		this.record('node-start', {node: node.name, service: node.service});
	}

	signal(node, signal) {
		this.record('signal', {node: node.name, signal});
		node.child.kill(signal);
	}

	/** Writes a configuration as the operator does; the answer of the store is the ack. */
	configure(routes, limits = {}) {
		this.configVersion += 3;
		const version = this.configVersion;
		const names = [...new Set(this.nodes.map(({service}) => service))];
		const value = {
			version,
			routes,
			services: Object.fromEntries(
				names.map((name) => [name, {health_path: '/health', max_connections: 220}]),
			),
			limits: {
				max_header_bytes: 16_384,
				max_body_bytes: 1_000_000,
				header_timeout_ms: 3000,
				idle_timeout_ms: 15_000,
				...limits,
			},
		};
		const {status} = this.store.commit({
			put_entries: [
				{
					table: 'op',
					part: '',
					key: 'config',
					value: Buffer.from(JSON.stringify(value)).toString('base64'),
				},
			],
		});
		this.record('config-ack', {version, status, routes: Object.keys(routes)});
		return this.now;
	}

	async isReady(node) {
		const {status} = await this.get(node, offsets.ready, '/v1/ready');
		return status === 200;
	}

	async get(node, offset, target) {
		return new Promise((resolve) => {
			const req = httpRequest(
				{host: node.address, port: this.port + offset, path: target, agent: false, timeout: 1000},
				(res) => {
					res.resume();
					res.once('end', () => {
						resolve({status: res.statusCode});
					});
				},
			);
			req.once('timeout', () => {
				req.destroy();
			});
			req.once('error', () => {
				resolve({status: undefined});
			});
			req.end();
		});
	}

	async whenReady(nodes = this.nodes) {
		const until = this.now + startLimit;
		for (const node of nodes) {
			// eslint-disable-next-line no-await-in-loop
			while (!(await this.isReady(node))) {
				if (this.now > until) {
					throw new Error(`${node.name} is not ready`);
				}

				await sleep(50); // eslint-disable-line no-await-in-loop
			}
		}

		this.record('ready', {nodes: nodes.length});
	}

	newId() {
		this.nextId += 1;
		return `r${String(this.nextId).padStart(6, '0')}`;
	}

	/**
	 * Sends a request as a consumer on the machine of a node, on a connection of its own unless an agent is given.
	 * @returns how it ended: status, body, headers; `failed` tells why the connection gave no complete answer.
	 */
	async send(
		node,
		{
			host = 'shop.example',
			method = 'GET',
			target,
			body,
			deadline = 2000,
			agent = false,
			headers,
			id = this.newId(),
		},
	) {
		const sentAt = this.now;
		this.record('send', {id, node: node.name, method, path: target});
		const result = await new Promise((resolve) => {
			const req = httpRequest(
				{
					host: node.address,
					port: this.port + offsets.outbound,
					method,
					path: target,
					agent,
					headers: {
						host,
						'x-attempt-id': id,
						'x-request-deadline': String(deadline),
						...(body && {'content-length': body.length}),
						...headers,
					},
				},
				(res) => {
					const chunks = [];
					res.on('data', (chunk) => {
						chunks.push(chunk);
					});
					const finish = (failed) => {
						const {statusCode: status, headers: received} = res;
						resolve({status, headers: received, body: Buffer.concat(chunks), failed});
					};

					res.once('end', () => {
						finish(undefined);
					});
					res.once('error', (err) => {
						finish(err.code ?? err.message);
					});
				},
			);
			req.once('error', (err) => {
				resolve({status: undefined, failed: err.code ?? err.message});
			});
			req.end(body);
		});
		const {status, failed} = result;
		this.record('answer', {id, node: node.name, status, failed, bytes: result.body?.length});
		return {...result, id, sentAt, endedAt: this.now};
	}

	/** Ends everything that was started. */
	async stop() {
		const all = [...this.children];
		for (const child of all) {
			child.kill('SIGKILL');
		}

		await Promise.all(this.nodes.map(async ({ended}) => ended));
		for (const {backend, relay} of this.nodes) {
			backend?.crash();
			relay?.stop();
		}

		this.store?.stop();
		if (!keepsLogs) {
			rmSync(this.folder, {recursive: true, force: true});
		}
	}
}

/** Time for a whole run, in ms. */
const timeLimit = 115_000;

/** Whether the script runs with its disruption. */
export const isTroubled = process.env.TROUBLE !== '0';

/**
 * Runs a case: exit code 1 if the rule was broken, 0 if it held, 2 if the case could not run.
 * @param caseFolder - folder of the case.
 * @param play - plays the case; returns the list of what broke the rule.
 * @param recordName - name of the record in the folder.
 */
export const runCase = async (caseFolder, play, recordName = 'record.txt') => {
	const deployment = new Deployment(path.join(caseFolder, recordName));
	const giveUp = (reason) => {
		deployment.record('not-run', {reason});
		process.stderr.write(`${reason}\n`);
		for (const child of deployment.children) {
			child.kill('SIGKILL');
		}

		process.exit(2); // eslint-disable-line unicorn/no-process-exit
	};

	process.on('uncaughtException', (err) => {
		giveUp(String(err.stack ?? err));
	});
	for (const signal of ['SIGINT', 'SIGTERM']) {
		process.on(signal, () => {
			giveUp(`ended by ${signal}`);
		});
	}

	const limit = setTimeout(() => {
		giveUp('the time limit has passed');
	}, timeLimit);
	let code = 2;
	try {
		const broken = await play(deployment);
		for (const line of broken) {
			deployment.record('BROKEN', line);
		}

		deployment.record('verdict', {broken: broken.length, trouble: isTroubled});
		process.stdout.write(`${broken.length} broken, trouble ${isTroubled ? 'on' : 'off'}\n`);
		code = broken.length > 0 ? 1 : 0;
	} catch (err) {
		deployment.record('not-run', {error: String(err.stack ?? err)});
		process.stderr.write(`${err.stack ?? err}\n`);
	} finally {
		clearTimeout(limit);
		await deployment.stop();
	}

	process.exit(code); // eslint-disable-line unicorn/no-process-exit
};
