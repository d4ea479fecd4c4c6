import {isIP} from 'node:net';
import type {Millis} from '../clock/index.js';
import {FindingsError, type Finding} from '../ini/index.js';

/** State that a backend server reports in its announcement. */
export enum AnnouncedState {
	Serving = 'serving',
	Draining = 'draining',
}

/** Announcement that a backend server sends to the node on its VM. */
export interface Announcement {
	readonly service: string;
	/** IP address on which it accepts requests. */
	readonly address: string;
	readonly port: number;
	/** Number of calls that it can run concurrently. */
	readonly slots: number;
	/** Maximum number of connections that it accepts; undefined if only the declaration sets it. */
	readonly connections: number | undefined;
	/** Unique for each start of the backend server. */
	readonly instance: string;
	readonly state: AnnouncedState;
	/** Path of its health endpoint; empty for none. */
	readonly healthPath: string;
	/** Orders the starts at one address; undefined if the backend server does not report it. */
	readonly startedAt: number | undefined;
	/** Orders the announcements of one start; undefined if they are not numbered. */
	readonly sequence: number | undefined;
	/**
	 * Remaining warm-up time, in ms, during which the backend server is cold and slower than usual; undefined
	 * if it is not known.
	 */
	readonly warmUpLeft: Millis | undefined;
}

/** Notice of a backend server that it accepts no more work and sends no further announcements. */
export interface Departure {
	readonly instance: string;
	/** Orders the starts at one address; undefined if the backend server does not report it. */
	readonly startedAt: number | undefined;
}

const maxPort = 65_535;
const maxSlots = 10_000;
const source = 'announcement';
const states = Object.values(AnnouncedState);

/** Reads the fields of an announcement and collects the findings. */
class FieldReader {
	readonly findings: Finding[] = [];

	constructor(private readonly fields: Readonly<Record<string, unknown>>) {}

	text(key: string, fallback?: string): string {
		const value = this.fields[key] ?? fallback;
		if (typeof value === 'string') {
			return value;
		}

		this.report(key, 'is not a string');
		return '';
	}

	count(key: string, max: number): number {
		const value = this.fields[key];
		const isCount = typeof value === 'number' && Number.isInteger(value);
		if (isCount && value >= 1 && value <= max) {
			return value;
		}

		this.report(key, `is not a whole number from 1 to ${max}`);
		return 1;
	}

	report(key: string, problem: string): void {
		this.findings.push({file: source, section: '', key, line: 0, problem, hint: ''});
	}
}

function isRecord(value: unknown): value is Readonly<Record<string, unknown>> {
	return typeof value === 'object' && value !== null && !Array.isArray(value);
}

function parseJson(text: string): unknown {
	try {
		return JSON.parse(text);
	} catch {
		return undefined;
	}
}

/**
 * @param text - body of the announcement, in JSON.
 * @returns the announcement.
 * @throws {@link FindingsError} with every finding.
 */
export function parseAnnouncement(text: string): Announcement {
	const parsed = parseJson(text);
	const reader = new FieldReader(isRecord(parsed) ? parsed : {});
	if (!isRecord(parsed)) {
		reader.report('', 'is not a JSON object');
	}

	const address = reader.text('address');
	if (isIP(address) === 0) {
		reader.report('address', 'is not an IP address');
	}

	const service = reader.text('service');
	if (service === '') {
		reader.report('service', 'is empty');
	}

	const stateText = reader.text('state', AnnouncedState.Serving);
	const state = states.find((known) => String(known) === stateText);
	if (!state) {
		reader.report('state', 'is neither "serving" nor "draining"');
	}

	const announcement: Announcement = {
		service,
		address,
		port: reader.count('port', maxPort),
		slots: reader.count('slots', maxSlots),
		connections: reader.count('connections', maxSlots * 10),
		instance: reader.text('instance'),
		state: state ?? AnnouncedState.Serving,
		healthPath: reader.text('healthPath', ''),
		startedAt: undefined,
		sequence: undefined,
		warmUpLeft: 0,
	};
	if (reader.findings.length > 0) {
		throw new FindingsError(reader.findings);
	}

	return announcement;
}
