import {performance} from 'node:perf_hooks';
import process from 'node:process';
import winston from 'winston';
import {createSink, LineWriter} from './line-writer.js';
import {logEvents, type LogEvent} from './log-event.js';

/** How log lines are written. */
export enum LogFormat {
	Json = 'json',
	Human = 'human',
}

/** Details of one occurrence of an event. */
export type LogDetails = Readonly<Record<string, string | number | boolean | undefined>>;

/** Writes numbered events. */
export interface Logger {
	/**
	 * @param event - an entry of the catalogue.
	 * @param details - what is particular to this occurrence.
	 */
	log(event: LogEvent, details?: LogDetails): void;
}

const standardOutput = 1;
/** How often dropped lines are told, in ms. */
const dropReportPeriod = 1000;

function timestamp(): string {
	return new Date().toISOString();
}

// One step in place of the library's chain of formats, as a busy node writes some 40 lines a second.
function jsonLine(info: winston.Logform.TransformableInfo): string {
	return JSON.stringify({timestamp: timestamp(), ...info});
}

function humanLine(info: winston.Logform.TransformableInfo): string {
	const {level, message, number, event, ...details} = info;
	const pairs = Object.entries(details).map(([name, value]) => `${name}=${String(value)}`);
	return [timestamp(), level, `TM${String(number)}`, event, message, ...pairs].join(' ');
}

/**
 * @param form - JSON for programs, one readable line for people.
 * @param level - the least serious level that is written.
 * @returns a logger that writes to standard output, bounded in volume and never blocking.
 */
export function createLogger(form: LogFormat, level: string): Logger {
	const {printf} = winston.format;
	const line = printf(form === LogFormat.Json ? jsonLine : humanLine);
	const writer = new LineWriter(createSink(standardOutput), () => performance.now());
	process.once('exit', () => {
		writer.flushSync();
	});
	const target = winston.createLogger({
		level,
		format: line,
		transports: [new winston.transports.Stream({stream: writer})],
	});
	const logger: Logger = {
		log(event, details) {
			target.log({
				level: event.level,
				message: event.text,
				number: event.number,
				event: event.name,
				...details,
			});
		},
	};
	setInterval(() => {
		const lines = writer.takeDroppedCount();
		if (lines > 0) {
			logger.log(logEvents.logLinesDropped, {lines});
		}
	}, dropReportPeriod).unref();
	return logger;
}

/** A logger that drops everything; for tests. */
export const silentLogger: Logger = {
	log() {
		// Nothing is wanted here.
	},
};
