import {readFileSync} from 'node:fs';

/** What a process has used since its start. */
export interface ProcessUsage {
	/** Processor time of its own code and of the kernel for it, in ms. */
	readonly processor: number;
	/** How often its main thread was woken up. */
	readonly wakeUps: number;
	/** Resident memory now, in MB. */
	readonly residentMb: number;
}

const millisPerTick = 10;
const kilobytesPerMegabyte = 1024;

/**
 * @param pid - id of a running process.
 * @returns what the kernel accounts to it.
 */
export function readUsage(pid: number): ProcessUsage {
	const fields = readFileSync(`/proc/${pid}/stat`, 'utf8').split(') ')[1]!.split(' ');
	const status = readFileSync(`/proc/${pid}/status`, 'utf8');
	const figure = (name: string) =>
		Number(new RegExp(String.raw`${name}:\s+(\d+)`, 'v').exec(status)?.[1]);
	return {
		processor: (Number(fields[11]) + Number(fields[12])) * millisPerTick,
		wakeUps: figure(String.raw`\nvoluntary_ctxt_switches`),
		residentMb: figure('VmRSS') / kilobytesPerMegabyte,
	};
}
