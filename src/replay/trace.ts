import type {Millis} from '../clock/index.js';
import type {Finding} from '../ini/index.js';

/** Kinds of event in a trace; the values are part of the file format. */
export enum TraceEventKind {
	Call = 'call',
	Fault = 'fault',
}

/** Kinds of fault in a trace; the values are part of the file format. */
export enum FaultKind {
	/** A process is killed without warning. */
	Kill = 'kill',
	/** A killed process is started again. */
	Restart = 'restart',
	/** A process is paused (SIGSTOP). */
	Freeze = 'freeze',
	/** A frozen process is resumed (SIGCONT). */
	Thaw = 'thaw',
	/** A process is asked to stop gracefully. */
	Stop = 'stop',
	/** A backend server announces that it leaves. */
	Drain = 'drain',
	/** A backend server becomes slower by the factor `amount`. */
	Slow = 'slow',
	/** A backend server fails every call at once if `amount` is above 0, and stops doing so at 0. */
	FailFast = 'fail-fast',
	/** The platform's store becomes unavailable. */
	StoreDown = 'store-down',
	/** The platform's store becomes available again. */
	StoreUp = 'store-up',
	/** The next `amount` writes to the store take effect, but their answers are lost. */
	LoseAnswers = 'lose-answers',
	/** A region is cut off from all others. */
	CutRegion = 'cut-region',
	/** All regions can reach each other again. */
	Heal = 'heal',
	/** An operator applies a declaration folder. */
	Apply = 'apply',
}

/** A caller's request. */
export interface CallEvent {
	readonly kind: TraceEventKind.Call;
	/** Time since the start of the trace, in ms. */
	readonly at: Millis;
	readonly id: string;
	/** Availability zone of the caller. */
	readonly zone: string;
	readonly service: string;
	readonly customer: string;
	readonly method: string;
	readonly path: string;
	/** Whether running the request more than once is harmless. */
	readonly isIdempotent: boolean;
	/** Idempotency key. */
	readonly key?: string;
	/** Time that the caller waits for the answer, in ms. */
	readonly timeout: Millis;
	/** Maximum number of times that the caller sends the request again while the outcome is not `answered`. */
	readonly resends: number;
}

/** An injected fault, or an operator's action. */
export interface FaultEvent {
	readonly kind: TraceEventKind.Fault;
	/** Time since the start of the trace, in ms. */
	readonly at: Millis;
	readonly fault: FaultKind;
	/** Name of a process, region or folder; empty for kinds of fault that have no target. */
	readonly target: string;
	/** Size of the fault, for kinds of fault that have one; see {@link FaultKind}. */
	readonly amount?: number;
}

export type TraceEvent = CallEvent | FaultEvent;

const faultKinds = new Set<string>(Object.values(FaultKind));

function isRecord(value: unknown): value is Readonly<Record<string, unknown>> {
	return typeof value === 'object' && value !== null && !Array.isArray(value);
}

/** Reads the fields of one line of a trace and collects what is wrong with them. */
class TraceLineReader {
	readonly problems: Array<{key: string; problem: string}> = [];

	constructor(private readonly fields: Readonly<Record<string, unknown>>) {}

	text(key: string, fallback?: string): string {
		const value = this.fields[key] ?? fallback;
		if (typeof value === 'string') {
			return value;
		}

		this.problems.push({key, problem: 'is not a string'});
		return '';
	}

	number(key: string, fallback?: number): number {
		const value = this.fields[key] ?? fallback;
		if (typeof value === 'number' && Number.isFinite(value) && value >= 0) {
			return value;
		}

		this.problems.push({key, problem: 'is not a non-negative number'});
		return 0;
	}

	flag(key: string): boolean {
		const value = this.fields[key];
		if (typeof value === 'boolean') {
			return value;
		}

		this.problems.push({key, problem: 'is not a boolean'});
		return false;
	}

	event(): TraceEvent | undefined {
		switch (this.fields.kind) {
			case TraceEventKind.Call: {
				return this.call();
			}

			case TraceEventKind.Fault: {
				return this.fault();
			}

			default: {
				this.problems.push({key: 'kind', problem: 'is neither "call" nor "fault"'});
				return undefined;
			}
		}
	}

	private call(): CallEvent {
		const key = this.fields.key === undefined ? undefined : this.text('key');
		return {
			kind: TraceEventKind.Call,
			at: this.number('at'),
			id: this.text('id'),
			zone: this.text('zone'),
			service: this.text('service'),
			customer: this.text('customer'),
			method: this.text('method'),
			path: this.text('path'),
			isIdempotent: this.flag('isIdempotent'),
			timeout: this.number('timeout'),
			resends: this.number('resends', 0),
			...(key !== undefined && {key}),
		};
	}

	private fault(): FaultEvent | undefined {
		const text = this.text('fault');
		const fault = Object.values(FaultKind).find((kind) => String(kind) === text);
		if (!fault) {
			this.problems.push({key: 'fault', problem: `is not one of ${[...faultKinds].join(', ')}`});
			return undefined;
		}

		const at = this.number('at');
		const target = this.text('target', '');
		return {kind: TraceEventKind.Fault, at, fault, target, amount: this.number('amount', 0)};
	}
}

function parseLine(text: string): TraceLineReader {
	let parsed: unknown;
	try {
		parsed = JSON.parse(text);
	} catch {
		parsed = undefined;
	}

	const reader = new TraceLineReader(isRecord(parsed) ? parsed : {});
	if (!isRecord(parsed)) {
		reader.problems.push({key: '', problem: 'is not a JSON object'});
	}

	return reader;
}

/**
 * Parses a trace. Blank lines are ignored, and lines with findings are left out of the result.
 * @param file - file name for findings.
 * @param text - contents of the file, one JSON object per line.
 * @param findings - receives a finding for each field or line that is invalid.
 * @returns the events, sorted by time.
 */
export function parseTrace(file: string, text: string, findings: Finding[]): TraceEvent[] {
	const events: TraceEvent[] = [];
	for (const [index, line] of text.split('\n').entries()) {
		if (line.trim() === '') {
			continue;
		}

		const reader = parseLine(line);
		const event = reader.problems.length === 0 ? reader.event() : undefined;
		for (const {key, problem} of reader.problems) {
			findings.push({file, section: '', key, line: index + 1, problem, hint: ''});
		}

		if (event && reader.problems.length === 0) {
			events.push(event);
		}
	}

	return events.toSorted((a, b) => a.at - b.at);
}

/**
 * Formats a trace.
 * @param events - events of the trace.
 * @returns contents of a trace file, one JSON object per line.
 */
export function formatTrace(events: readonly TraceEvent[]): string {
	return events.map((event) => `${JSON.stringify(event)}\n`).join('');
}
