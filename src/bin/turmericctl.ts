#!/usr/bin/env node
/** Command line for operators: changes the declaration of a deployment and controls its nodes. */
import {randomInt, randomUUID} from 'node:crypto';
import {userInfo} from 'node:os';
import process from 'node:process';
import {
	command,
	flag,
	number,
	option,
	optional,
	positional,
	run,
	string,
	subcommands,
} from 'cmd-ts';
import {request} from 'undici';
import {digestKey, PlatformStore} from '../../platform/index.js';
import {second} from '../clock/index.js';
import {DeclarationStore} from '../control/index.js';
import {
	formatChange,
	parseContent,
	planChanges,
	renderDeclaration,
	type Declaration,
	type PlannedChange,
} from '../declaration/index.js';
import {FindingsError, formatFinding} from '../ini/index.js';
import {
	ApplyOutcome,
	ChangeApplier,
	formatCustomers,
	formatExplanation,
	isExplanation,
	readDeclarationFolder,
	type ApplyResult,
	type CustomersReply,
} from '../operator/index.js';
import {formatZones, type ZoneList} from '../node/zone-list.js';
import {createRandom} from '../random/index.js';
import {parseEndpoint} from '../settings/index.js';
import {GuardedStore} from '../store/index.js';
import {Metrics, silentLogger} from '../telemetry/index.js';
import {SystemClock} from '../wiring/index.js';
import {ExitCode} from './exit-code.js';
import {packageVersion} from './package-version.js';

/** Invalid command-line arguments. */
class UsageError extends Error {
	override name = 'UsageError';
}

const clock = new SystemClock();
/** Exclusive upper bound of the random seed. */
const seedBound = 2 ** 31;
const folder = positional({type: string, displayName: 'FOLDER', description: 'declaration files'});
const storeOption = option({type: string, long: 'store', description: 'IP:port of the store'});
const nodeArgument = positional({
	type: string,
	displayName: 'NODE',
	description: 'IP:port of the operator port of a node',
});
const json = flag({long: 'json', description: 'write JSON instead of text'});

function write(isJson: boolean, value: unknown, lines: readonly string[]): void {
	const text = isJson ? JSON.stringify(value) : lines.join('\n');
	process.stdout.write(`${text}\n`);
}

function openStore(text: string): DeclarationStore {
	const endpoint = parseEndpoint(text);
	if (!endpoint) {
		throw new UsageError(`--store: "${text}" is not IP:port`);
	}

	const metrics = new Metrics();
	const store = new PlatformStore({endpoint, localAddress: undefined, metrics});
	const random = createRandom(randomInt(seedBound));
	return new DeclarationStore(new GuardedStore({store, clock, random, logger: silentLogger}));
}

function readDeclaration(path: string): Declaration {
	return renderDeclaration(readDeclarationFolder(path));
}

async function loadDeclaration(
	store: DeclarationStore,
	hash: string | undefined,
): Promise<Declaration | undefined> {
	const content = hash === undefined ? undefined : await store.getContent(hash);
	return content === undefined ? undefined : parseContent(content);
}

function changeLines(changes: readonly PlannedChange[]): string[] {
	return changes.length === 0 ? ['no changes'] : changes.map((change) => formatChange(change));
}

async function runAndReport(isJson: boolean, action: () => Promise<ExitCode>): Promise<void> {
	try {
		process.exitCode = await action();
	} catch (err) {
		process.exitCode = reportError(isJson, err);
	}
}

function reportError(isJson: boolean, err: unknown): ExitCode {
	if (err instanceof FindingsError) {
		const lines = err.findings.map((finding) => formatFinding(finding));
		const text = isJson ? JSON.stringify({findings: err.findings}) : lines.join('\n');
		process.stderr.write(`${text}\n`);
		return ExitCode.Invalid;
	}

	process.stderr.write(`${err instanceof Error ? err.message : String(err)}\n`);
	return err instanceof UsageError ? ExitCode.Invalid : ExitCode.Unavailable;
}

const check = command({
	name: 'check',
	description: 'Checks all declaration files together.',
	args: {folder, json},
	handler: async ({folder: path, json: isJson}) =>
		runAndReport(isJson, async () => {
			const declaration = readDeclaration(path);
			const {services, calls} = declaration;
			const summary = {services: services.length, policies: calls.length};
			write(isJson, summary, [
				`${path}: valid; ${summary.services} services, ${summary.policies} customer policies`,
			]);
			return ExitCode.Ok;
		}),
});

const plan = command({
	name: 'plan',
	description: 'Shows what applying the files would change.',
	args: {folder, store: storeOption, json},
	handler: async ({folder: path, store: address, json: isJson}) =>
		runAndReport(isJson, async () => {
			const declaration = readDeclaration(path);
			const store = openStore(address);
			const {head} = await store.readHead();
			const changes = planChanges(await loadDeclaration(store, head.accepted?.hash), declaration);
			const revision = head.accepted?.revision ?? 0;
			write(isJson, {revision, changes}, [
				...changeLines(changes),
				`planned on revision ${revision}; apply with --on ${revision}`,
			]);
			return ExitCode.Ok;
		}),
});

function applyLines(result: ApplyResult): string[] {
	const {outcome, revision, silentZones, differences} = result;
	switch (outcome) {
		case ApplyOutcome.Accepted: {
			return [`revision ${revision} is accepted and in force`];
		}

		case ApplyOutcome.Unchanged: {
			return [`revision ${revision} already has the same content`];
		}

		case ApplyOutcome.Conflict: {
			const title = `conflict: revision ${revision} comes from another change; differences to the requested declaration:`;
			return [title, ...changeLines(differences)];
		}

		case ApplyOutcome.Pending:
		case ApplyOutcome.Withdrawn: {
			return [
				`revision ${revision} is ${outcome}; zones that have not acknowledged it:`,
				...silentZones.map((zone) => `  ${zone}`),
			];
		}
	}
}

const applyCodes: Readonly<Record<ApplyOutcome, ExitCode>> = {
	[ApplyOutcome.Accepted]: ExitCode.Ok,
	[ApplyOutcome.Unchanged]: ExitCode.Ok,
	[ApplyOutcome.Conflict]: ExitCode.Conflict,
	[ApplyOutcome.Pending]: ExitCode.Pending,
	[ApplyOutcome.Withdrawn]: ExitCode.Failed,
};

const apply = command({
	name: 'apply',
	description: 'Stages the files as a new revision and waits until it is accepted and in force.',
	args: {
		folder,
		store: storeOption,
		on: option({
			type: optional(number),
			long: 'on',
			description: 'accepted revision that the plan was made on',
		}),
		message: option({type: string, long: 'message', short: 'm', defaultValue: () => ''}),
		wait: option({
			type: number,
			long: 'wait',
			defaultValue: () => 20,
			description: 'maximum time to wait, in seconds',
		}),
		withdraw: flag({
			long: 'withdraw',
			description: 'withdraw the change if it is not accepted in time',
		}),
		json,
	},
	handler: async ({folder: path, store, on, message, wait, withdraw, json: isJson}) =>
		runAndReport(isJson, async () => {
			const declaration = readDeclaration(path);
			const applier = new ChangeApplier(openStore(store), clock);
			const result = await applier.apply({
				declaration,
				author: userInfo().username,
				message,
				baseRevision: on,
				changeId: randomUUID(),
				waitTime: wait * second,
				isWithdrawnLate: withdraw,
			});
			write(isJson, result, applyLines(result));
			return applyCodes[result.outcome];
		}),
});

const status = command({
	name: 'status',
	description:
		'Shows which revision is accepted, which is staged, and which zones have not acknowledged it.',
	args: {store: storeOption, json},
	handler: async ({store: address, json: isJson}) =>
		runAndReport(isJson, async () => {
			const store = openStore(address);
			const {head} = await store.readHead();
			const silentZones = head.staged ? await store.unacknowledgedZones(head.staged.revision) : [];
			write(isJson, {...head, silentZones}, [
				`accepted: ${head.accepted?.revision ?? 'none'}`,
				`staged: ${head.staged?.revision ?? 'none'}`,
				...silentZones.map((zone) => `  not acknowledged by ${zone}`),
			]);
			return ExitCode.Ok;
		}),
});

const history = command({
	name: 'history',
	description: 'Lists accepted revisions.',
	args: {store: storeOption, json},
	handler: async ({store: address, json: isJson}) =>
		runAndReport(isJson, async () => {
			const records = await openStore(address).history();
			const lines = records.map(({revision, at, author, message}) =>
				[revision, new Date(at).toISOString(), author, message].join('  '),
			);
			write(isJson, records, lines);
			return ExitCode.Ok;
		}),
});

const diff = command({
	name: 'diff',
	description: 'Shows the differences between two accepted revisions.',
	args: {
		from: positional({type: number, displayName: 'FROM'}),
		to: positional({type: number, displayName: 'TO'}),
		store: storeOption,
		json,
	},
	handler: async ({from, to, store: address, json: isJson}) =>
		runAndReport(isJson, async () => {
			const store = openStore(address);
			const records = await store.history();
			const findDeclaration = async (revision: number) => {
				const record = records.find((item) => item.revision === revision);
				const declaration = await loadDeclaration(store, record?.hash);
				if (!declaration) {
					throw new UsageError(`revision ${revision} was never accepted`);
				}

				return declaration;
			};

			const changes = planChanges(await findDeclaration(from), await findDeclaration(to));
			write(isJson, changes, changeLines(changes));
			return ExitCode.Ok;
		}),
});

const retireZone = command({
	name: 'retire-zone',
	description:
		'Removes a zone that is no longer in use from the zones that must acknowledge changes.',
	args: {
		zone: positional({type: string, displayName: 'REGION/ZONE'}),
		store: storeOption,
		json,
	},
	handler: async ({zone, store, json: isJson}) =>
		runAndReport(isJson, async () => {
			await openStore(store).retireZone(zone);
			write(isJson, {retired: zone}, [`${zone} no longer has to acknowledge changes`]);
			return ExitCode.Ok;
		}),
});

async function requestNode(
	node: string,
	method: 'GET' | 'POST' | 'DELETE',
	path: string,
	body?: string,
): Promise<string> {
	if (!parseEndpoint(node)) {
		throw new UsageError(`"${node}" is not IP:port`);
	}

	const res = await request(`http://${node}${path}`, {method, body});
	return res.body.text();
}

const drain = command({
	name: 'drain',
	description: 'Drains the backend server of a node: it finishes its calls and gets no new ones.',
	args: {node: nodeArgument, json},
	handler: async ({node, json: isJson}) =>
		runAndReport(isJson, async () => {
			await requestNode(node, 'POST', '/v1/drain');
			write(isJson, {draining: node}, [`${node} is draining and takes no new calls`]);
			return ExitCode.Ok;
		}),
});

const holds = command({
	name: 'holds',
	description:
		'Lists requests that are held back because they crash backend servers, or lifts a hold.',
	args: {
		node: nodeArgument,
		lift: option({
			type: optional(string),
			long: 'lift',
			description: 'fingerprint of the hold to lift',
		}),
		json,
	},
	handler: async ({node, lift, json: isJson}) =>
		runAndReport(isJson, async () => {
			const text =
				lift === undefined
					? await requestNode(node, 'GET', '/v1/holds')
					: await requestNode(node, 'DELETE', `/v1/holds/${encodeURIComponent(lift)}`);
			process.stdout.write(text);
			return ExitCode.Ok;
		}),
});

const zones = command({
	name: 'zones',
	description:
		'Lists the availability zones that a node knows, which are evacuated, for how long, and how the node learned of it.',
	args: {node: nodeArgument, json},
	handler: async ({node, json: isJson}) =>
		runAndReport(isJson, async () => {
			const text = await requestNode(node, 'GET', '/v1/zones');
			// Written by a node of the same version.
			const list = JSON.parse(text) as ZoneList; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
			write(isJson, list, formatZones(list));
			return ExitCode.Ok;
		}),
});

const customers = command({
	name: 'customers',
	description:
		'Shows what each customer uses at a node: limit, use, share, age, refusals by reason.',
	args: {node: nodeArgument, json},
	handler: async ({node, json: isJson}) =>
		runAndReport(isJson, async () => {
			const text = await requestNode(node, 'GET', '/v1/customers');
			const reply = JSON.parse(text) as CustomersReply; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
			write(isJson, reply, formatCustomers(reply));
			return ExitCode.Ok;
		}),
});

const explain = command({
	name: 'explain',
	description: 'Shows where a node would send a request now and why, without sending it.',
	args: {
		node: nodeArgument,
		url: positional({type: string, displayName: 'HOST/PATH', description: 'as in a.example/x/1'}),
		key: option({type: optional(string), long: 'key', description: 'key of a customer'}),
		bytes: option({
			type: number,
			long: 'bytes',
			defaultValue: () => 0,
			description: 'size of the body',
		}),
		timeLeft: option({
			type: optional(number),
			long: 'time-left',
			description: 'how long the caller waits, in ms',
		}),
		json,
	},
	handler: async ({node, url, key, bytes, timeLeft, json: isJson}) =>
		runAndReport(isJson, async () => {
			const slash = url.indexOf('/');
			if (slash < 1) {
				throw new UsageError(`"${url}" is not HOST/PATH`);
			}

			// Only the digest of the key leaves this process.
			const keyDigest = key === undefined ? undefined : digestKey(key);
			const [host, path] = [url.slice(0, slash), url.slice(slash)];
			const question = JSON.stringify({host, path, keyDigest, bodyBytes: bytes, timeLeft});
			const reply = await requestNode(node, 'POST', '/v1/explain', question);
			const explanation: unknown = JSON.parse(reply);
			if (!isExplanation(explanation)) {
				throw new Error(reply);
			}

			write(isJson, explanation, formatExplanation(explanation));
			return ExitCode.Ok;
		}),
});

const program = subcommands({
	name: 'turmericctl',
	description:
		'Manages a deployment: applies declaration files, shows revisions and controls nodes.',
	version: packageVersion(),
	cmds: {
		check,
		plan,
		apply,
		status,
		history,
		diff,
		drain,
		explain,
		holds,
		zones,
		customers,
		'retire-zone': retireZone,
	},
});

await run(program, process.argv.slice(2));
