/** What callers and backend servers must not see around planned stops. */
import type {MeshNode} from './mesh.js';
import {SoakEnd, type SoakRequest} from './soak-request.js';
import type {SoakRun} from './soak-servers.js';

/** A planned stop of a node. */
export interface PlannedStop {
	readonly node: MeshNode;
	/** Time of SIGTERM; times are those of `performance.now()`. */
	readonly at: number;
	exitAt: number | undefined;
	code: number | undefined;
	/** When the node logged the end of its stop; on a busy machine its process may exist for a while longer. */
	loggedAt: number | undefined;
}

/** Kinds of violations; stalls are counted apart. */
export enum StopFinding {
	/** A request that was read, or that has run, was cut around the stop of its node. */
	Lost = 'LOST',
	/** The same at a node that goes on. */
	LostElsewhere = 'LOST-ELSEWHERE',
	Twice = 'TWICE',
	Refused = 'REFUSED',
	Mixed = 'MIXED',
	Denied = 'DENIED',
	Unasked = 'UNASKED',
	/** A process that ended late, with another code than 0, or by itself. */
	Exit = 'EXIT',
	/** An answer whose rest did not come by the deadline although the backend server had written it. */
	Stalled = 'STALLED',
}

/** A violation before its log lines are added. */
export interface StopViolation {
	readonly kind: StopFinding;
	readonly node: MeshNode;
	/** Id of the request; undefined if it concerns none. */
	readonly id: string | undefined;
	readonly text: string;
	readonly from: number;
	readonly to: number;
}

/** Time limit for a planned stop, in ms. */
export const stopTimeout = 6000;
/** A run of an early request may be cut in this last part of the stop timeout, in ms. */
const lastPart = stopTimeout / 6;
/** Time after SIGTERM up to which requests count as early, in ms. */
const earlyTime = 3000;
/** Time after the stop timeout until which a stop counts, in ms. */
const aftermath = 1000;
/** Time after SIGTERM at which nodes force their stop, in ms; requests open shortly before are named. */
const forcedTime = 5300;
const lateTime = 300;
/** Time after its last byte from which on a request must not be left without an answer, in ms. */
const unreadSlack = 200;
/** What the clocks of two processes may differ in a deadline, in ms. */
const deadlineSlack = 100;
/** Time before its deadline by which the backend server has written an answer that counts as stalled, in ms. */
const stallTime = 300;
/** Answers that promise that a request has not run. */
const notRunStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);

export class StopChecks {
	private readonly found: StopViolation[] = [];
	private readonly runs = new Map<string, SoakRun[]>();

	constructor(
		runs: readonly SoakRun[],
		private readonly stops: readonly PlannedStop[],
		/** @returns since when something may have been there that was seen at a time. */
		private readonly earliest: (seenAt: number) => number,
	) {
		for (const run of runs) {
			const known = this.runs.get(run.id) ?? [];
			known.push(run);
			this.runs.set(run.id, known);
		}
	}

	/** @returns what was found about all requests and stops. */
	check(requests: readonly SoakRequest[]): StopViolation[] {
		for (const req of requests) {
			const runs = this.runs.get(req.id) ?? [];
			this.checkAnswer(req, runs);
			this.checkLost(req, runs);
		}

		for (const stop of this.stops) {
			this.checkExit(stop, requests);
		}

		return this.found;
	}

	private checkAnswer(req: SoakRequest, runs: readonly SoakRun[]): void {
		const {isSafe, status = 0, isSigned, fault, end} = req;
		if (!isSafe && runs.length > 1) {
			this.add(StopFinding.Twice, req, `ran ${runs.length} times`);
		}

		for (const run of runs) {
			if (run.fault !== undefined || run.method !== req.method) {
				this.add(StopFinding.Unasked, req, `ran with ${run.fault ?? run.method}`);
			}
		}

		if (end !== SoakEnd.Answered) {
			return;
		}

		const isRefused = notRunStatuses.has(status) && !isSigned;
		if (isRefused && !isSafe && runs.length > 0) {
			this.add(StopFinding.Refused, req, `was answered ${status} and ran`);
		}

		if (fault !== undefined) {
			this.add(StopFinding.Mixed, req, `got ${fault}`);
		}

		if (status >= 300 && status < 500 && !isRefused && !isSigned) {
			this.add(StopFinding.Denied, req, `was answered ${status}`);
		}
	}

	private checkLost(req: SoakRequest, runs: readonly SoakRun[]): void {
		const {end, endedAt, headAt, wholeAt} = req;
		const isWhole = endedAt !== undefined && wholeAt !== undefined && headAt !== undefined;
		if (!isWhole || runs.some((run) => run.isBrokenOff)) {
			return;
		}

		if (isOverdue(req)) {
			this.checkStall(req, runs);
			return;
		}

		const isRun = runs.length > 0;
		// A request that crosses an announced close, or the exit of the process, is not read, unless it runs.
		const stop = this.stopAround(req);
		const isReadable = !req.isCloseAnnounced && wholeAt < (stop?.loggedAt ?? Infinity);
		const isUnread = isReadable && this.earliest(endedAt) > wholeAt + unreadSlack;
		const isCut = end === SoakEnd.Cut && (isRun || isUnread);
		// Elsewhere, a node may answer for a backend server whose node is gone, as that promises nothing.
		if (!isCut && !(stop && isReplaced(req, runs))) {
			return;
		}

		if (isBehindOverdue(req)) {
			return;
		}

		if (!stop || !isExcused(req, runs, stop)) {
			const kind = stop ? StopFinding.Lost : StopFinding.LostElsewhere;
			const how = isCut ? 'was cut' : 'was answered by the node while it ran';
			this.add(kind, req, `${how}, with ${describeBytes(req)}`);
		}
	}

	// An answer that waits for its turn behind another one has not stalled itself.
	private checkStall(req: SoakRequest, runs: readonly SoakRun[]): void {
		const writtenBy = overAtOf(req) - stallTime;
		const isDue = req.end !== SoakEnd.Answered && req.behind === undefined;
		if (isDue && runs.some((run) => isAnsweredBy(run, writtenBy))) {
			this.add(StopFinding.Stalled, req, describeBytes(req));
		}
	}

	private checkExit({node, at, exitAt, code}: PlannedStop, requests: readonly SoakRequest[]): void {
		const duration = Math.round(this.earliest(exitAt ?? Infinity) - at);
		if (code !== 0 || duration > stopTimeout) {
			const open = requests.filter(
				(req) =>
					req.node === node &&
					(req.headAt ?? Infinity) < at + forcedTime &&
					(req.endedAt ?? 0) > at + forcedTime - lateTime,
			);
			const describe = (req: SoakRequest) =>
				`${req.id} (${req.caller}, ${Math.round((req.headAt ?? 0) - at)} to ${Math.round((req.endedAt ?? 0) - at)}, ${req.end} ${req.status})`;
			const what = open.map((req) => describe(req)).join(', ');
			const text = `ended with code ${code} ${duration} ms after SIGTERM; open before: ${what}`;
			this.found.push({
				kind: StopFinding.Exit,
				node,
				id: undefined,
				text,
				from: at,
				to: exitAt ?? at + stopTimeout,
			});
		}
	}

	/** @returns the stop of its node during which the request was open. */
	private stopAround({node, headAt = 0, endedAt = 0}: SoakRequest): PlannedStop | undefined {
		return this.stops.findLast(
			(stop) =>
				stop.node === node && stop.at <= endedAt && headAt <= stop.at + stopTimeout + aftermath,
		);
	}

	private add(kind: StopFinding, req: SoakRequest, text: string): void {
		const {id, node, headAt = 0, endedAt = headAt} = req;
		this.found.push({
			kind,
			node,
			id,
			text: `${text}; ${this.describe(req)}`,
			from: headAt,
			to: endedAt,
		});
	}

	// Times relative to the SIGTERM of the request's node, or else to its head.
	private describe(req: SoakRequest): string {
		const stop = this.stopAround(req);
		const {method, path, caller, node, headAt, wholeAt, endedAt, progressAt} = req;
		const origin = stop?.at ?? headAt ?? 0;
		const format = (time: number | undefined) =>
			time === undefined ? '-' : String(Math.round(time - origin));
		const runs = (this.runs.get(req.id) ?? []).map((run) => {
			const others = this.stops.filter(
				(item) => item.node === run.node && item.at <= run.startedAt + 3000,
			);
			const latest = others.at(-1);
			const since = latest ? Math.round(run.startedAt - latest.at) : undefined;
			const ofServer = since !== undefined && since < 8000 ? `, ${since} after its SIGTERM` : '';
			return `run at ${run.node.name} ${format(run.startedAt)}${ofServer}, answered ${format(run.answeredAt)}, abandoned ${format(run.abandonedAt)}`;
		});
		return [
			`${method} ${path} (${caller}) at ${node.name}`,
			`${stop ? 'ms after its SIGTERM' : 'ms after the head'}: head ${format(headAt)}, whole ${format(wholeAt)}, last bytes ${format(progressAt)}, end ${format(endedAt)} ${req.end}, exit ${format(stop?.exitAt)}`,
			`deadline ${req.deadline}, time-out ${req.timeout}`,
			...runs,
		].join('; ');
	}
}

/** @returns when the deadline of the request or the time-out of its route is reached. */
function overAtOf({headAt = 0, deadline, timeout}: SoakRequest): number {
	return headAt + Math.min(deadline, timeout);
}

function isOverdue(req: SoakRequest): boolean {
	return (req.endedAt ?? 0) >= overAtOf(req) - deadlineSlack;
}

/** Whether the end of an overdue answer closed the connection while the request waited behind it. */
function isBehindOverdue({behind}: SoakRequest): boolean {
	return behind !== undefined && isOverdue(behind);
}

function isAnsweredBy({answeredAt}: SoakRun, at: number): boolean {
	return answeredAt !== undefined && answeredAt <= at;
}

function describeBytes({bytes, status, isCloseAnnounced}: SoakRequest): string {
	const announced = isCloseAnnounced ? ' after an announced close' : '';
	return `${bytes} bytes of a ${status ?? 'missing'} answer${announced}`;
}

/** Whether the node answered by itself while a backend server was at work. */
function isReplaced({end, endedAt = 0, isSigned}: SoakRequest, runs: readonly SoakRun[]): boolean {
	const isAtWork = runs.some(({startedAt}) => startedAt < endedAt);
	const isDone = runs.some((run) => isAnsweredBy(run, endedAt));
	return end === SoakEnd.Answered && !isSigned && isAtWork && !isDone;
}

/** Whether a backend server was still at work on an early request in the last part of the stop timeout. */
function isExcused(
	{wholeAt = 0, endedAt = 0}: SoakRequest,
	runs: readonly SoakRun[],
	stop: PlannedStop,
): boolean {
	const lastPartAt = stop.at + stopTimeout - lastPart;
	const isEarly = wholeAt <= stop.at + earlyTime;
	return isEarly && endedAt >= lastPartAt && runs.some((run) => !isAnsweredBy(run, lastPartAt));
}
