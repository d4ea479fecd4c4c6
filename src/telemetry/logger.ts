import {performance} from 'node:perf_hooks';
import process from 'node:process';
import winston from 'winston';
import {createSink, LineWriter} from './line-writer.js';
import {logEvents, type LogEvent} from './log-event.js';

/** Format of log lines. */
export enum LogFormat {
	Json = 'json',
	Human = 'human',
}

/** Details of one occurrence of an event. */
export type LogDetails = Readonly<Record<string, string | number | boolean | undefined>>;

/** Logs events of the catalog. */
export interface Logger {
	/**
	 * @param event - entry of the catalog.
	 * @param details - fields of this occurrence.
	 */
	log(event: LogEvent, details?: LogDetails): void;
}

const stdoutDescriptor = 1;
/** Interval at which the number of dropped lines is logged, in ms. */
const dropReportPeriodMs = 1000;

function timestamp(): string {
	return new Date().toISOString();
}

// A single step replaces winston's chain of formats, as a busy node writes about 40 lines per second.
function jsonLine(info: winston.Logform.TransformableInfo): string {
	return JSON.stringify({timestamp: timestamp(), ...info});
}

function humanLine(info: winston.Logform.TransformableInfo): string {
	const {level, message, number, event, ...details} = info;
	const pairs = Object.entries(details).map(([name, value]) => `${name}=${String(value)}`);
	return [timestamp(), level, `TM${String(number)}`, event, message, ...pairs].join(' ');
}

/**
 * @param form - JSON, or lines for human readers.
 * @param level - least severe level that is written.
 * @returns a non-blocking logger to standard output with limited volume.
 */
export function createLogger(form: LogFormat, level: string): Logger {
	const {printf} = winston.format;
	const line = printf(form === LogFormat.Json ? jsonLine : humanLine);
	const writer = new LineWriter(createSink(stdoutDescriptor), () => performance.now());
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
	}, dropReportPeriodMs).unref();
	return logger;
}

/** A logger that discards all events; for tests. */
export const silentLogger: Logger = {
	log() {
		// Discards the event.
	},
};
