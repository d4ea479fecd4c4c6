import type {Millis} from '../clock/index.js';
import type {Finding} from '../ini/index.js';

/** Kinds of event in a trace; the values are part of the file format. */
export enum TraceEventKind {
	Call = 'call',
	Fault = 'fault',
}

/** Kinds of fault in a trace; the values are part of the file format. */
export enum FaultKind {
	/** Kills a process. */
	Kill = 'kill',
	/** Starts a killed process again. */
	Restart = 'restart',
	/** Stops a process from being scheduled. */
	Freeze = 'freeze',
	/** Lets a frozen process go on. */
	Thaw = 'thaw',
	/** Asks a process to stop gracefully. */
	Stop = 'stop',
	/** A backend server announces that it leaves. */
	Drain = 'drain',
	/** A backend server becomes so many times slower. */
	Slow = 'slow',
	/** A backend server fails at once, or no longer does. */
	FailFast = 'fail-fast',
	/** The platform's store goes down. */
	StoreDown = 'store-down',
	/** The platform's store comes back. */
	StoreUp = 'store-up',
	/** The next writes of the store take effect and their answers are lost. */
	LoseAnswers = 'lose-answers',
	/** A region loses the others. */
	CutRegion = 'cut-region',
	/** All regions reach each other again. */
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
	/** Whether the request may run more than once. */
	readonly isIdempotent: boolean;
	readonly key?: string;
	/** How long the caller waits, in ms. */
	readonly timeout: Millis;
	/** How often the caller sends again after an answer that is not its answer. */
	readonly resends: number;
}

/** Something that fails, or an operator's step. */
export interface FaultEvent {
	readonly kind: TraceEventKind.Fault;
	/** Time since the start of the trace, in ms. */
	readonly at: Millis;
	readonly fault: FaultKind;
	/** Name of a process, region or folder; empty where there is only one. */
	readonly target: string;
	/** Size of the fault, where it has one. */
	readonly amount?: number;
}

export type TraceEvent = CallEvent | FaultEvent;

const faultKinds = new Set<string>(Object.values(FaultKind));

function isRecord(value: unknown): value is Readonly<Record<string, unknown>> {
	return typeof value === 'object' && value !== null && !Array.isArray(value);
}

/** Checks the fields of one line. */
class LineReader {
	readonly problems: Array<{key: string; problem: string}> = [];

	constructor(private readonly fields: Readonly<Record<string, unknown>>) {}

	text(key: string, fallback?: string): string {
		const value = this.fields[key] ?? fallback;
		if (typeof value === 'string') {
			return value;
		}

		this.problems.push({key, problem: 'is not a text'});
		return '';
	}

	number(key: string, fallback?: number): number {
		const value = this.fields[key] ?? fallback;
		if (typeof value === 'number' && Number.isFinite(value) && value >= 0) {
			return value;
		}

		this.problems.push({key, problem: 'is not a number from 0'});
		return 0;
	}

	flag(key: string): boolean {
		const value = this.fields[key];
		if (typeof value === 'boolean') {
			return value;
		}

		this.problems.push({key, problem: 'is not true or false'});
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
			this.problems.push({key: 'fault', problem: `is none of ${[...faultKinds].join(', ')}`});
			return undefined;
		}

		const at = this.number('at');
		const target = this.text('target', '');
		return {kind: TraceEventKind.Fault, at, fault, target, amount: this.number('amount', 0)};
	}
}

function parseLine(text: string): LineReader {
	let parsed: unknown;
	try {
		parsed = JSON.parse(text);
	} catch {
		parsed = undefined;
	}

	const reader = new LineReader(isRecord(parsed) ? parsed : {});
	if (!isRecord(parsed)) {
		reader.problems.push({key: '', problem: 'is not a JSON object'});
	}

	return reader;
}

/**
 * @param file - name for messages.
 * @param text - one JSON object a line.
 * @param findings - receives what is wrong.
 * @returns the events in order of time.
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
 * @param events - events of a trace.
 * @returns one JSON object a line.
 */
export function formatTrace(events: readonly TraceEvent[]): string {
	return events.map((event) => `${JSON.stringify(event)}\n`).join('');
}
