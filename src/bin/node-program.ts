import {readFileSync, watchFile} from 'node:fs';
import process from 'node:process';
import {command, flag, option, run, string} from 'cmd-ts';
import {second} from '../clock/index.js';
import {FindingsError} from '../ini/index.js';
import {parseNodeSettings, type NodeSettings} from '../settings/index.js';
import {createLogger, logEvents, type Logger} from '../telemetry/index.js';
import {ExitCode} from './exit-code.js';
import {packageVersion} from './package-version.js';

/** The part of a node that {@link runNodeProgram} controls. */
export interface RunnableNode {
	/** Opens the ports and joins the mesh. */
	start(): Promise<void>;
	/**
	 * Stops the node gracefully.
	 * @returns whether all calls in flight ended within the stop timeout.
	 */
	stop(): Promise<boolean>;
}

/** Creates a node from its settings. */
export type NodeFactory = (settings: NodeSettings, logger: Logger) => RunnableNode;

/** Interval at which the settings file is checked for changes, as it may change without a SIGHUP. */
const settingsPollPeriod = 5 * second;

function describeError(file: string, err: unknown): string {
	return err instanceof FindingsError ? err.message : `${file}: ${String(err)}`;
}

function readSettings(file: string): NodeSettings {
	return parseNodeSettings(file, readFileSync(file, 'utf8'));
}

// Only validates the file and reports changes, which take effect at the next start: addresses cannot change while
// connections are open.
function reload(file: string, current: NodeSettings, logger: Logger): void {
	try {
		const isChanged = JSON.stringify(readSettings(file)) !== JSON.stringify(current);
		logger.log(logEvents.settingsReloaded, {file, isChanged, needsRestart: isChanged});
	} catch (err) {
		logger.log(logEvents.settingsRejected, {file, error: describeError(file, err)});
	}
}

function watchSettings(file: string, settings: NodeSettings, logger: Logger): void {
	process.on('SIGHUP', () => {
		reload(file, settings, logger);
	});
	watchFile(file, {interval: settingsPollPeriod, persistent: false}, () => {
		reload(file, settings, logger);
	});
}

async function runNode(file: string, settings: NodeSettings, create: NodeFactory): Promise<void> {
	const logger = createLogger(settings.logForm, settings.logLevel);
	const node = create(settings, logger);
	process.on('unhandledRejection', (err) => {
		logger.log(logEvents.unexpectedError, {error: String(err)});
	});
	// The state in memory may be inconsistent, so the process exits and has to be started again.
	process.on('uncaughtException', (err) => {
		process.stderr.write(`${err.stack ?? String(err)}\n`);
		logger.log(logEvents.unexpectedError, {error: err.stack ?? String(err)});
		process.exit(ExitCode.Failed);
	});
	const stop = async () => {
		const isClean = await node.stop();
		// This function runs only in command-line programs, which may exit the process.
		// eslint-disable-next-line unicorn/no-process-exit
		process.exit(isClean ? ExitCode.Ok : ExitCode.Forced);
	};

	for (const signal of ['SIGTERM', 'SIGINT'] as const) {
		process.on(signal, () => {
			void stop();
		});
	}

	watchSettings(file, settings, logger);
	await node.start();
}

/**
 * Runs the command line of a node.
 * @param name - name of the program.
 * @param create - creates the node.
 */
export async function runNodeProgram(name: string, create: NodeFactory): Promise<void> {
	const program = command({
		name,
		description: 'Balances calls from and to the backend server on the same VM.',
		version: packageVersion(),
		args: {
			settings: option({type: string, long: 'settings', short: 's', description: 'INI file'}),
			check: flag({long: 'check', description: 'check the settings and exit'}),
		},
		async handler({settings: file, check}) {
			let settings: NodeSettings;
			try {
				settings = readSettings(file);
			} catch (err) {
				process.stderr.write(`${describeError(file, err)}\n`);
				process.exitCode = ExitCode.Invalid;
				return;
			}

			if (check) {
				process.stdout.write(`${file}: the settings are valid\n`);
			} else {
				await runNode(file, settings, create);
			}
		},
	});
	await run(program, process.argv.slice(2));
}
