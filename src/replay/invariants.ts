import {Outcome} from '../call/index.js';
import {second, type Millis} from '../clock/index.js';
import type {Books, CallerEntry} from './books.js';

/** Guarantees that must hold in every run, under any fault; the values are part of the report. */
export enum Invariant {
	/** No backend server ran a call whose copies all ended with the outcome `not-run`. */
	NotRunIsTrue = 'not-run is true',
	/** A request that is not idempotent runs at most once. */
	AtMostOnce = 'at most once',
	/** Every answer is complete and belongs to the caller's own request. */
	OwnWholeAnswer = 'own whole answer',
	/**
	 * Every answered call is in the records of the backend servers. If these records were incomplete, the checks
	 * that count runs would prove nothing.
	 */
	AnsweredRan = 'answered ran',
	/** Every caller gets the outcome of its call, with a reason unless the call was answered. */
	EveryCallIsTold = 'every call is told',
	/** A backend server never runs more calls at the same time than it has slots. */
	SlotsHold = 'slots hold',
	/** A backend server gets no new calls later than 3 s after its departure became known. */
	DepartureHolds = 'departure holds',
	/** A process that is asked to stop exits with code 0, which means that it cut no call in flight. */
	StopIsGraceful = 'stop is graceful',
	/** No answer carries a lower revision than an answer that ended at least 7 s before its request was sent. */
	RevisionNeverReverts = 'revision never reverts',
}

/** Result of checking one invariant. */
export interface InvariantResult {
	readonly invariant: Invariant;
	/** Number of calls, backend servers, departures or processes that were checked. */
	readonly checked: number;
	/** Description of each violation. */
	readonly broken: readonly string[];
}

/** Time that the nodes have to stop sending calls to a departed backend server. */
const departureLimit: Millis = 3 * second;

/** Time that a revision has to reach every node. */
const revisionLimit: Millis = 7 * second;

type Check = (books: Books) => InvariantResult;

function runsByCall(books: Books): Map<string, number> {
	const runs = new Map<string, number>();
	for (const entry of books.backends) {
		runs.set(entry.callId, (runs.get(entry.callId) ?? 0) + 1);
	}

	return runs;
}

function copiesByCall(books: Books): Map<string, CallerEntry[]> {
	const copies = new Map<string, CallerEntry[]>();
	for (const entry of books.callers) {
		copies.set(entry.callId, [...(copies.get(entry.callId) ?? []), entry]);
	}

	return copies;
}

// Copies without a key are separate requests under the same call id, and the records do not show which copy
// ran. Therefore only calls of which every copy was reported as not run are checked.
function checkNotRun(books: Books): InvariantResult {
	const runs = runsByCall(books);
	const broken: string[] = [];
	let checked = 0;
	for (const [callId, copies] of copiesByCall(books)) {
		const isAllNotRun = copies.every((copy) => String(copy.outcome) === String(Outcome.NotRun));
		if (isAllNotRun) {
			checked += 1;
			if ((runs.get(callId) ?? 0) > 0) {
				broken.push(`${callId} was reported as not run, but ran`);
			}
		}
	}

	return {invariant: Invariant.NotRunIsTrue, checked, broken};
}

function checkAtMostOnce(books: Books): InvariantResult {
	const runs = runsByCall(books);
	const broken: string[] = [];
	let checked = 0;
	for (const [callId, copies] of copiesByCall(books)) {
		const [first] = copies;
		if (!first || first.isIdempotent) {
			continue;
		}

		checked += 1;
		const allowed = first.hasKey ? 1 : copies.length;
		const count = runs.get(callId) ?? 0;
		if (count > allowed) {
			broken.push(`${callId} ran ${count} times, allowed ${allowed}`);
		}
	}

	return {invariant: Invariant.AtMostOnce, checked, broken};
}

function checkAnswers(books: Books): InvariantResult {
	const broken: string[] = [];
	let checked = 0;
	for (const entry of books.callers) {
		const isAnswer = entry.status === 200 && String(entry.outcome) === String(Outcome.Answered);
		if (!isAnswer) {
			continue;
		}

		checked += 1;
		if (entry.answeredCallId !== entry.callId) {
			broken.push(`${entry.callId} got the answer of ${entry.answeredCallId}`);
		} else if (!entry.isWhole) {
			broken.push(`${entry.callId} got an incomplete answer that was reported as complete`);
		}
	}

	return {invariant: Invariant.OwnWholeAnswer, checked, broken};
}

function checkAnsweredRan(books: Books): InvariantResult {
	const runs = runsByCall(books);
	const answered = books.callers.filter(
		(entry) => entry.status === 200 && String(entry.outcome) === String(Outcome.Answered),
	);
	const broken = answered
		.filter((entry) => !runs.has(entry.callId))
		.map((entry) => `${entry.callId} was answered, but no backend server recorded it`);
	return {invariant: Invariant.AnsweredRan, checked: answered.length, broken};
}

function checkOutcomes(books: Books): InvariantResult {
	const outcomes = new Set<string>(Object.values(Outcome));
	const broken: string[] = [];
	for (const entry of books.callers) {
		const hasOutcome = outcomes.has(entry.outcome) && entry.status !== 0;
		const hasReason = String(entry.outcome) === String(Outcome.Answered) || entry.reason !== '';
		if (!hasOutcome || !hasReason) {
			broken.push(
				`${entry.callId} ended without a valid outcome or reason: ${entry.outcome} ${entry.reason}`,
			);
		}
	}

	return {invariant: Invariant.EveryCallIsTold, checked: books.callers.length, broken};
}

function checkSlots(books: Books): InvariantResult {
	const broken = books.peaks
		.filter((peak) => peak.mostRunning > peak.slots)
		.map(
			(peak) =>
				`${peak.backend} ran ${peak.mostRunning} calls at the same time with ${peak.slots} slots`,
		);
	return {invariant: Invariant.SlotsHold, checked: books.peaks.length, broken};
}

function checkDepartures(books: Books): InvariantResult {
	const broken: string[] = [];
	for (const {backend, knownAt, backAt = Number.POSITIVE_INFINITY} of books.departures) {
		for (const entry of books.backends) {
			const delay = entry.startedAt - knownAt;
			const isLate = delay > departureLimit && entry.startedAt < backAt;
			if (entry.backend === backend && isLate) {
				broken.push(
					`${backend} got ${entry.callId} ${Math.round(delay)} ms after its departure was known`,
				);
			}
		}
	}

	return {invariant: Invariant.DepartureHolds, checked: books.departures.length, broken};
}

function checkStops(books: Books): InvariantResult {
	const broken = books.stops
		.filter((stop) => stop.exitCode !== 0)
		.map((stop) => `${stop.name} exited with code ${stop.exitCode}`);
	return {invariant: Invariant.StopIsGraceful, checked: books.stops.length, broken};
}

function checkRevisions(books: Books): InvariantResult {
	const entries = books.callers
		.filter((entry) => entry.revision > 0)
		.toSorted((a, b) => a.sentAt - b.sentAt);
	const seen = entries
		.map((entry) => ({at: entry.sentAt + entry.duration, revision: entry.revision}))
		.toSorted((a, b) => a.at - b.at);
	const broken: string[] = [];
	let next = 0;
	let highest = 0;
	for (const entry of entries) {
		while (next < seen.length && seen[next]!.at + revisionLimit <= entry.sentAt) {
			highest = Math.max(highest, seen[next]!.revision);
			next += 1;
		}

		if (entry.revision < highest) {
			broken.push(
				`${entry.callId} ran under revision ${entry.revision} after revision ${highest} was in force`,
			);
		}
	}

	return {invariant: Invariant.RevisionNeverReverts, checked: entries.length, broken};
}

const checks: readonly Check[] = [
	checkNotRun,
	checkAtMostOnce,
	checkAnswers,
	checkAnsweredRan,
	checkOutcomes,
	checkSlots,
	checkDepartures,
	checkStops,
	checkRevisions,
];

/**
 * Checks all invariants by comparing the callers' records with those of the backend servers.
 * @param books - the records of a run.
 * @returns one result per invariant.
 */
export function checkInvariants(books: Books): InvariantResult[] {
	return checks.map((check) => check(books));
}
