import {spawn, type ChildProcess} from 'node:child_process';
import {createWriteStream, mkdirSync} from 'node:fs';
import {join} from 'node:path';
import process from 'node:process';
import {createInterface} from 'node:readline';

/** A process of the deployment. */
export interface Member {
	readonly name: string;
	readonly child: ChildProcess;
	/** Resolves with the exit code when the process has ended. */
	readonly ended: Promise<number | undefined>;
}

/** What is to be started. */
export interface StartOptions {
	readonly name: string;
	/** Program and arguments for this Node.js. */
	readonly args: readonly string[];
	/** Text of the line that tells that the process is ready; undefined to go on at once. */
	readonly readyText: string | undefined;
}

/** Starts processes, keeps their output in files, and ends them all. */
export class ProcessGroup {
	private readonly members = new Map<string, Member>();

	constructor(private readonly logFolder: string) {
		mkdirSync(logFolder, {recursive: true});
	}

	/**
	 * @param options - what to start.
	 * @returns the process, once it is ready.
	 */
	async start(options: StartOptions): Promise<Member> {
		const {name, args, readyText} = options;
		const child = spawn(process.execPath, [...args], {stdio: ['ignore', 'pipe', 'pipe']});
		const log = createWriteStream(join(this.logFolder, `${name}.log`), {flags: 'a'});
		child.stdout.pipe(log, {end: false});
		child.stderr.pipe(log, {end: false});
		const ended = new Promise<number | undefined>((resolve) => {
			child.once('exit', (code) => {
				log.end();
				resolve(code ?? undefined);
			});
		});
		const ready = new Promise<void>((resolve, reject) => {
			const onLine = (line: string) => {
				if (readyText !== undefined && line.includes(readyText)) {
					resolve();
				}
			};

			createInterface({input: child.stdout}).on('line', onLine);
			createInterface({input: child.stderr}).on('line', onLine);
			child.once('exit', (code) => {
				reject(new Error(`${name} ended with ${code} before it was ready`));
			});
			if (readyText === undefined) {
				resolve();
			}
		});
		const member = {name, child, ended};
		this.members.set(name, member);
		await ready;
		return member;
	}

	/**
	 * @param name - name of a process.
	 * @returns the process.
	 */
	get(name: string): Member {
		const member = this.members.get(name);
		if (!member) {
			throw new Error(`no process ${name}`);
		}

		return member;
	}

	/**
	 * @param name - name of a process.
	 * @param signal - what to send.
	 */
	signal(name: string, signal: NodeJS.Signals): void {
		this.get(name).child.kill(signal);
	}

	/** Ends all processes. */
	async stop(): Promise<void> {
		for (const {child} of this.members.values()) {
			child.kill('SIGKILL');
		}

		await Promise.all([...this.members.values()].map(async ({ended}) => ended));
	}
}
