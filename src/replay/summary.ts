import {build} from 'hdr-histogram-js';
import {Outcome} from '../call/index.js';
import type {CallerEntry} from './books.js';

/** Percentiles of a set of durations, in ms. */
export interface Percentiles {
	readonly count: number;
	readonly p50: number;
	readonly p99: number;
	readonly p999: number;
	readonly max: number;
}

/** Number of calls to a service that ended with the same outcome and reason. */
export interface OutcomeCount {
	readonly service: string;
	readonly outcome: string;
	readonly reason: string;
	readonly count: number;
}

const microsecondsPerMs = 1000;

/** Longer durations are counted as this one. */
const maxDurationMicroseconds = 120_000_000;

/**
 * Computes percentiles with an HDR histogram, to 3 significant digits.
 * @param durations - durations in ms.
 * @returns their percentiles, in ms.
 */
export function percentilesOf(durations: readonly number[]): Percentiles {
	const histogram = build({
		lowestDiscernibleValue: 1,
		highestTrackableValue: maxDurationMicroseconds,
		numberOfSignificantValueDigits: 3,
	});
	for (const duration of durations) {
		const value = Math.max(1, Math.round(duration * microsecondsPerMs));
		histogram.recordValue(Math.min(maxDurationMicroseconds, value));
	}

	const at = (percentile: number) => histogram.getValueAtPercentile(percentile) / microsecondsPerMs;
	return {
		count: durations.length,
		p50: at(50),
		p99: at(99),
		p999: at(99.9),
		max: durations.length > 0 ? at(100) : 0,
	};
}

/**
 * Counts calls by service, outcome and reason.
 * @param entries - the callers' records.
 * @returns the counts, sorted by service, outcome and reason.
 */
export function countOutcomes(entries: readonly CallerEntry[]): OutcomeCount[] {
	const counts = new Map<string, OutcomeCount>();
	for (const {service, outcome, reason} of entries) {
		const id = `${service} ${outcome} ${reason}`;
		const count = (counts.get(id)?.count ?? 0) + 1;
		counts.set(id, {service, outcome, reason, count});
	}

	return [...counts.entries()].toSorted(([a], [b]) => (a < b ? -1 : 1)).map(([, count]) => count);
}

/**
 * Computes the goodput of a run.
 * @param entries - the callers' records.
 * @returns the share of calls that were answered within the caller's timeout, from 0 to 1; 1 if there were
 * no calls.
 */
export function goodput(entries: readonly CallerEntry[]): number {
	const answeredInTime = entries.filter(
		(entry) =>
			String(entry.outcome) === String(Outcome.Answered) && entry.duration <= entry.timeout,
	);
	return entries.length === 0 ? 1 : answeredInTime.length / entries.length;
}
