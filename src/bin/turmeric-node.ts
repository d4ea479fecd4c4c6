#!/usr/bin/env node
/** The node that stands beside a backend server. */
import {readFileSync} from 'node:fs';
import process from 'node:process';
import {command, flag, option, run, string} from 'cmd-ts';
import {FindingsError} from '../ini/index.js';
import {parseNodeSettings, type NodeSettings} from '../settings/index.js';
import {createLogger, logEvents} from '../telemetry/index.js';
import {SystemClock, TurmericNode} from '../wiring/index.js';
import {ExitCode} from './exit-code.js';
import {packageVersion} from './package-version.js';

function readSettings(file: string): NodeSettings | undefined {
	try {
		return parseNodeSettings(file, readFileSync(file, 'utf8'));
	} catch (err) {
		const text = err instanceof FindingsError ? err.message : `${file}: ${String(err)}`;
		process.stderr.write(`${text}\n`);
		return undefined;
	}
}

async function runNode(settings: NodeSettings): Promise<void> {
	const logger = createLogger(settings.logForm, settings.logLevel);
	const node = new TurmericNode(settings, new SystemClock(), logger);
	process.on('unhandledRejection', (err) => {
		logger.log(logEvents.unexpectedError, {error: String(err)});
	});
	const stop = async () => {
		const isClean = await node.stop();
		process.exit(isClean ? ExitCode.Ok : ExitCode.Forced);
	};

	for (const signal of ['SIGTERM', 'SIGINT'] as const) {
		process.on(signal, () => {
			void stop();
		});
	}

	await node.start();
}

const program = command({
	name: 'turmeric-node',
	description: 'Balances calls from and to the backend server beside it.',
	version: packageVersion(),
	args: {
		settings: option({type: string, long: 'settings', short: 's', description: 'INI file'}),
		check: flag({long: 'check', description: 'check the settings and exit'}),
	},
	async handler({settings: file, check}) {
		const settings = readSettings(file);
		if (!settings) {
			process.exitCode = ExitCode.Invalid;
		} else if (check) {
			process.stdout.write(`${file}: the settings are valid\n`);
		} else {
			await runNode(settings);
		}
	},
});

await run(program, process.argv.slice(2));
