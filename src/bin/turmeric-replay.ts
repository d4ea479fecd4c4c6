#!/usr/bin/env node
/** Validates traces, and checks the records ("books") of a replay against the invariants. */
import {readFileSync} from 'node:fs';
import process from 'node:process';
import {command, flag, positional, run, string, subcommands} from 'cmd-ts';
import {FindingsError, type Finding} from '../ini/index.js';
import {
	checkInvariants,
	countOutcomes,
	goodput,
	parseTrace,
	percentilesOf,
	TraceEventKind,
	type Books,
} from '../replay/index.js';
import {ExitCode} from './exit-code.js';
import {packageVersion} from './package-version.js';

const file = positional({type: string, displayName: 'FILE'});
const json = flag({long: 'json', description: 'write JSON instead of text'});

function isReport(value: unknown): value is {books: Books} {
	return typeof value === 'object' && value !== null && 'books' in value;
}

function readBooks(path: string): Books {
	const parsed: unknown = JSON.parse(readFileSync(path, 'utf8'));
	if (!isReport(parsed)) {
		const problem = 'does not contain the books of a replay';
		const hint = 'create one with npm start -- --json FILE';
		throw new FindingsError([{file: path, section: '', key: 'books', line: 0, problem, hint}]);
	}

	return parsed.books;
}

function runAndReport(action: () => ExitCode): void {
	try {
		process.exitCode = action();
	} catch (err) {
		process.stderr.write(`${err instanceof Error ? err.message : String(err)}\n`);
		process.exitCode = ExitCode.Invalid;
	}
}

const check = command({
	name: 'check',
	description:
		'Checks a trace, one JSON object per line, and reports every finding with its line number.',
	args: {file},
	handler({file: path}) {
		runAndReport(() => {
			const findings: Finding[] = [];
			const events = parseTrace(path, readFileSync(path, 'utf8'), findings);
			if (findings.length > 0) {
				throw new FindingsError(findings);
			}

			const calls = events.filter((event) => event.kind === TraceEventKind.Call).length;
			process.stdout.write(`${path}: valid; ${calls} calls, ${events.length - calls} faults\n`);
			return ExitCode.Ok;
		});
	},
});

const verify = command({
	name: 'verify',
	description: 'Checks the books (records) of a replay against the invariants.',
	args: {file, json},
	handler({file: path, json: isJson}) {
		runAndReport(() => {
			const books = readBooks(path);
			const invariants = checkInvariants(books);
			const latency = percentilesOf(books.callers.map((entry) => entry.duration));
			const outcomes = countOutcomes(books.callers);
			const summary = {invariants, latency, outcomes, goodput: goodput(books.callers)};
			const lines = invariants.map(
				({invariant, checked, broken}) =>
					`${broken.length === 0 ? 'ok' : 'BROKEN'}  ${invariant}: ${checked} checked, ${broken.length} broken`,
			);
			process.stdout.write(`${isJson ? JSON.stringify(summary) : lines.join('\n')}\n`);
			return invariants.every((item) => item.broken.length === 0) ? ExitCode.Ok : ExitCode.Failed;
		});
	},
});

const program = subcommands({
	name: 'turmeric-replay',
	description: 'Checks traces and the books (records) of replays.',
	version: packageVersion(),
	cmds: {check, verify},
});

await run(program, process.argv.slice(2));
