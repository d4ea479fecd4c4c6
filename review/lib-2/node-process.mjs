/* eslint-disable camelcase, no-await-in-loop -- names of the wire, steps that follow each other */
/** Starts nodes with the `run` line of the deploy file and settings rendered from its template. */
import {spawn} from 'node:child_process';
import {closeSync, mkdirSync, openSync, readFileSync, writeFileSync} from 'node:fs';
import {createServer} from 'node:net';
import path from 'node:path';
import process from 'node:process';

const top = path.resolve(import.meta.dirname, '../..');
const deployFile = path.join(top, 'deploy/system.toml');
const sectionPattern = /\{\{#([\w.]+)\}\}([\s\S]*?)\{\{\/\1\}\}/gv;
const valuePattern = /\{\{([\w.]+)\}\}/gv;

function lookUp(fields, name) {
	let value = fields;
	for (const key of name.split('.')) {
		value = value?.[key];
	}

	return value;
}

/** Renders the parts of the template language that the template of the project uses. */
export function renderTemplate(text, fields) {
	const withSections = text.replaceAll(sectionPattern, (_, name, inner) =>
		lookUp(fields, name) ? inner : '',
	);
	return withSections.replaceAll(valuePattern, (_, name) => String(lookUp(fields, name) ?? ''));
}

/** @returns ports that are free at the address now. */
export async function freePorts(address, count) {
	const servers = [];
	for (let i = 0; i < count; i += 1) {
		const server = createServer();
		await new Promise((resolve, reject) => {
			server.once('error', reject);
			server.listen(0, address, resolve);
		});
		servers.push(server);
	}

	const ports = servers.map((server) => server.address().port);
	await Promise.all(
		servers.map(
			async (server) =>
				new Promise((resolve) => {
					server.close(resolve);
				}),
		),
	);
	return ports;
}

/** Settings of a small deployment, as the page on the deployment shows them. */
function settingsOf({address, ports, region, zone, service, store, app, isFirstStart}) {
	return {
		ip: address,
		zone,
		region,
		listen: {
			outbound: `${address}:${ports[0]}`,
			ready_address: `${address}:${ports[1]}`,
			control: `${address}:${ports[2]}`,
		},
		port_range: [ports[3], ports[4]],
		first_start: isFirstStart,
		limits: {link_mbps: 1000},
		heartbeat_ms: 1500,
		bounds: {
			grace_s: 6,
			config_apply_ms: 2000,
			retry_budget_ratio: 0.2,
			budget_slack: 60,
		},
		app_address: app,
		service,
		platform: {address: store},
	};
}

function runLine() {
	const deploy = readFileSync(deployFile, 'utf8');
	const run = /^run = "(.*)"$/mv.exec(deploy)[1];
	const template = /^template = "(.*)"$/mv.exec(deploy)[1];
	return {words: run.split(' '), template: readFileSync(path.join(top, template), 'utf8')};
}

/** A node of the project as a process of its own. */
export class NodeProcess {
	child;
	ended;
	starts = 0;

	/**
	 * @param name - name of the node, for its files.
	 * @param folder - temporary folder.
	 * @param place - address, ports, region, zone, service, store and address of the backend server.
	 */
	constructor(name, folder, place) {
		this.name = name;
		this.folder = path.join(folder, name);
		this.place = place;
		mkdirSync(this.folder, {recursive: true});
	}

	get callers() {
		return {host: this.place.address, port: this.place.ports[0]};
	}

	get ready() {
		return `http://${this.place.address}:${this.place.ports[1]}/v1/ready`;
	}

	get control() {
		return `http://${this.place.address}:${this.place.ports[2]}`;
	}

	get logFile() {
		return path.join(this.folder, 'log.txt');
	}

	/** Starts the process; `isFirstStart` is true only when the whole system starts for the first time. */
	start(isFirstStart) {
		const {words, template} = runLine();
		const settingsFile = path.join(this.folder, 'settings.ini');
		writeFileSync(
			settingsFile,
			renderTemplate(template, settingsOf({...this.place, isFirstStart})),
		);
		const [program, ...args] = words.map((word) =>
			word === '/etc/turmericmount/node.yaml' ? settingsFile : word,
		);
		const log = openSync(this.logFile, 'a');
		this.starts += 1;
		this.child = spawn(program, args, {cwd: top, stdio: ['ignore', log, log]});
		closeSync(log);
		const {child} = this;
		this.ended = new Promise((resolve) => {
			child.once('exit', (code, signal) => {
				resolve({code, signal});
			});
		});
	}

	/** Sends a signal to the process. */
	signal(name) {
		process.kill(this.child.pid, name);
	}

	/** Ends the process at once, if it runs. */
	async kill() {
		if (this.child && this.child.exitCode === null && this.child.signalCode === null) {
			this.child.kill('SIGKILL');
		}

		return this.ended;
	}

	async isReady() {
		try {
			const res = await fetch(this.ready, {signal: AbortSignal.timeout(1000)});
			await res.text();
			return res.status === 200;
		} catch {
			return false;
		}
	}

	/** @returns the log lines of the process. */
	log() {
		const lines = readFileSync(this.logFile, 'utf8').split('\n');
		return lines.filter((line) => line.startsWith('{')).map((line) => JSON.parse(line));
	}
}
