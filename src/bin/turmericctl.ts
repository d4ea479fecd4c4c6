#!/usr/bin/env node
/** The operators' program. */
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
import {PlatformStore} from '../../platform/index.js';
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
	readDeclarationFolder,
	type ApplyResult,
} from '../operator/index.js';
import {createRandom} from '../random/index.js';
import {parseEndpoint} from '../settings/index.js';
import {GuardedStore} from '../store/index.js';
import {Metrics, silentLogger} from '../telemetry/index.js';
import {SystemClock} from '../wiring/index.js';
import {ExitCode} from './exit-code.js';
import {packageVersion} from './package-version.js';

/** Arguments that cannot be used. */
class UsageError extends Error {
	override name = 'UsageError';
}

const clock = new SystemClock();
const seedBound = 2 ** 31;
const folder = positional({type: string, displayName: 'FOLDER', description: 'declaration files'});
const storeOption = option({type: string, long: 'store', description: 'IP:port of the store'});
const nodeArgument = positional({
	type: string,
	displayName: 'NODE',
	description: 'IP:port for operators',
});
const json = flag({long: 'json', description: 'write JSON for programs'});

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

function render(path: string): Declaration {
	return renderDeclaration(readDeclarationFolder(path));
}

async function contentOf(
	store: DeclarationStore,
	hash: string | undefined,
): Promise<Declaration | undefined> {
	const content = hash === undefined ? undefined : await store.getContent(hash);
	return content === undefined ? undefined : parseContent(content);
}

function changeLines(changes: readonly PlannedChange[]): string[] {
	return changes.length === 0 ? ['no changes'] : changes.map((change) => formatChange(change));
}

async function guard(isJson: boolean, work: () => Promise<ExitCode>): Promise<void> {
	try {
		process.exitCode = await work();
	} catch (err) {
		process.exitCode = report(isJson, err);
	}
}

function report(isJson: boolean, err: unknown): ExitCode {
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
	description: 'Checks declaration files as a whole.',
	args: {folder, json},
	handler: async ({folder: path, json: isJson}) =>
		guard(isJson, async () => {
			const declaration = render(path);
			const {services, calls} = declaration;
			const summary = {services: services.length, policies: calls.length};
			write(isJson, summary, [
				`${path}: valid; ${summary.services} services, ${summary.policies} policies of customers`,
			]);
			return ExitCode.Ok;
		}),
});

const plan = command({
	name: 'plan',
	description: 'Shows what applying the files would change.',
	args: {folder, store: storeOption, json},
	handler: async ({folder: path, store: address, json: isJson}) =>
		guard(isJson, async () => {
			const declaration = render(path);
			const store = openStore(address);
			const {head} = await store.readHead();
			const changes = planChanges(await contentOf(store, head.accepted?.hash), declaration);
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
			return [`revision ${revision} says the same already`];
		}

		case ApplyOutcome.Conflict: {
			const title = `conflict: revision ${revision} was made by somebody else; wanted against it:`;
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
	description: 'Brings the files into force everywhere.',
	args: {
		folder,
		store: storeOption,
		on: option({type: optional(number), long: 'on', description: 'revision of the plan'}),
		message: option({type: string, long: 'message', short: 'm', defaultValue: () => ''}),
		wait: option({type: number, long: 'wait', defaultValue: () => 20, description: 'seconds'}),
		withdraw: flag({long: 'withdraw', description: 'take the change back if it is not accepted'}),
		json,
	},
	handler: async ({folder: path, store, on, message, wait, withdraw, json: isJson}) =>
		guard(isJson, async () => {
			const declaration = render(path);
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
		'Shows which revision is accepted, which is staged, and who has not acknowledged it.',
	args: {store: storeOption, json},
	handler: async ({store: address, json: isJson}) =>
		guard(isJson, async () => {
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
		guard(isJson, async () => {
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
	description: 'Shows what changed from one accepted revision to another.',
	args: {
		from: positional({type: number, displayName: 'FROM'}),
		to: positional({type: number, displayName: 'TO'}),
		store: storeOption,
		json,
	},
	handler: async ({from, to, store: address, json: isJson}) =>
		guard(isJson, async () => {
			const store = openStore(address);
			const records = await store.history();
			const find = async (revision: number) => {
				const record = records.find((item) => item.revision === revision);
				const declaration = await contentOf(store, record?.hash);
				if (!declaration) {
					throw new UsageError(`revision ${revision} was never accepted`);
				}

				return declaration;
			};

			const changes = planChanges(await find(from), await find(to));
			write(isJson, changes, changeLines(changes));
			return ExitCode.Ok;
		}),
});

const retireZone = command({
	name: 'retire-zone',
	description: 'Takes a zone that is no longer in use out of those that must acknowledge changes.',
	args: {
		zone: positional({type: string, displayName: 'REGION/ZONE'}),
		store: storeOption,
		json,
	},
	handler: async ({zone, store, json: isJson}) =>
		guard(isJson, async () => {
			await openStore(store).retireZone(zone);
			write(isJson, {retired: zone}, [`${zone} no longer has to acknowledge changes`]);
			return ExitCode.Ok;
		}),
});

async function askNode(
	node: string,
	method: 'GET' | 'POST' | 'DELETE',
	path: string,
): Promise<string> {
	if (!parseEndpoint(node)) {
		throw new UsageError(`"${node}" is not IP:port`);
	}

	const res = await request(`http://${node}${path}`, {method});
	return res.body.text();
}

const drain = command({
	name: 'drain',
	description: 'Lets the backend server of a node finish its work and take no more.',
	args: {node: nodeArgument, json},
	handler: async ({node, json: isJson}) =>
		guard(isJson, async () => {
			await askNode(node, 'POST', '/v1/drain');
			write(isJson, {draining: node}, [`${node} takes no new work`]);
			return ExitCode.Ok;
		}),
});

const holds = command({
	name: 'holds',
	description: 'Lists requests that are held back as they crash backend servers, or lifts a hold.',
	args: {
		node: nodeArgument,
		lift: option({type: optional(string), long: 'lift', description: 'fingerprint'}),
		json,
	},
	handler: async ({node, lift, json: isJson}) =>
		guard(isJson, async () => {
			const text =
				lift === undefined
					? await askNode(node, 'GET', '/v1/holds')
					: await askNode(node, 'DELETE', `/v1/holds/${encodeURIComponent(lift)}`);
			process.stdout.write(text);
			return ExitCode.Ok;
		}),
});

const program = subcommands({
	name: 'turmericctl',
	description: 'Drives a deployment by changing templates and parameters.',
	version: packageVersion(),
	cmds: {check, plan, apply, status, history, diff, drain, holds, 'retire-zone': retireZone},
});

await run(program, process.argv.slice(2));
