import {AttemptEnd, type AttemptResult} from '../exchange/index.js';

/** Classification of a response by its head. */
export enum AnswerKind {
	/** The answer to the request. */
	Answer = 'answer',
	/** The backend server refused the request before doing any work. */
	NotRun = 'not-run',
	/** Another backend server listens at the address and did not run the request. */
	OtherInstance = 'other-instance',
	/** Not an answer to this request, or altered in transit. */
	Foreign = 'foreign',
	/** Its status would tell the caller that the request was not run, and nothing proves that. */
	Unproven = 'unproven',
	/** Precedes the answer. */
	Interim = 'interim',
	/** Its status is none that an answer may have. */
	Invalid = 'invalid',
}

/** Whether an id in a response is the expected one. */
export enum NamedId {
	Expected = 'expected',
	Other = 'other',
	/** The response has none. */
	None = 'none',
}

/** What a response says, whatever the protocol that it says it in. */
export interface AnswerEvidence {
	readonly status: number;
	/** Id of the request that it answers. */
	readonly request: NamedId;
	/** Whether it says that the request was not run. */
	readonly isDeclaredNotRun: boolean;
	/** Instance of the backend server that it comes from. */
	readonly instance: NamedId;
	/** Whether it carries the signature of a backend server. */
	readonly isSigned: boolean;
	/** Whether it names a length or a transfer coding. */
	readonly isFramed: boolean;
	/** Whether it has a content coding, which no caller requests. */
	readonly isCoded: boolean;
}

/** What the meaning of a response depends on besides the response. */
export interface AnswerContext {
	/** Statuses that tell the caller that the request was not run. */
	readonly promises: ReadonlySet<number>;
	readonly isIdempotent: boolean;
}

/** Statuses of answers are from here to below {@link endStatus}. */
const firstStatus = 200;
const endStatus = 600;
const firstInterimStatus = 100;
/** An upgrade is never requested. */
const switchingStatus = 101;
const misdirectedStatus = 421;
const redirectStatus = 300;
const clientErrorStatus = 400;
const serverErrorStatus = 500;

/**
 * The table of docs/design/server-statements.md.
 * @param evidence - what the response says.
 * @param context - the request and the protocol of its caller.
 * @returns the meaning of the response.
 */
export function classifyAnswer(evidence: AnswerEvidence, context: AnswerContext): AnswerKind {
	const {status, request, instance, isDeclaredNotRun} = evidence;
	if (!isAnswerStatus(status)) {
		return isInterim(evidence) ? AnswerKind.Interim : AnswerKind.Invalid;
	}

	if (request === NamedId.Other) {
		return AnswerKind.Foreign;
	}

	// Needs no id: whichever request of the connection it answers, the peer is another backend server.
	if (status === misdirectedStatus && instance === NamedId.Other) {
		return AnswerKind.OtherInstance;
	}

	if (isDeclaredNotRun) {
		return classifyRefusal(evidence);
	}

	if (context.promises.has(status)) {
		return classifyPromise(evidence, context);
	}

	return isTrustworthy(evidence) ? AnswerKind.Answer : AnswerKind.Foreign;
}

/**
 * @param result - result of an attempt, as its executor reports it.
 * @param context - the request and the protocol of its caller.
 * @returns whether it is no answer that the caller may get: its status is none of an answer, or tells the caller of a request
 * that has run that nothing ran.
 */
export function isUnsoundReport(result: AttemptResult, context: AnswerContext): boolean {
	if (result.end !== AttemptEnd.Answered) {
		return false;
	}

	const isPromise = !context.isIdempotent && context.promises.has(result.status);
	return isPromise || !isAnswerStatus(result.status);
}

/**
 * @param status - number of a status line.
 * @returns whether an answer may have it.
 */
export function isAnswerStatus(status: number): boolean {
	return Number.isInteger(status) && status >= firstStatus && status < endStatus;
}

// What only an answer has shows that nothing follows it, so that nobody waits for more.
function isInterim({status, isFramed, isSigned}: AnswerEvidence): boolean {
	const isInRange = status >= firstInterimStatus && status < firstStatus;
	return isInRange && status !== switchingStatus && !isFramed && !isSigned;
}

function classifyRefusal({status, request, instance}: AnswerEvidence): AnswerKind {
	// A success contradicts it. Without an id, it may be a copy of the refusal of an earlier request on the connection.
	if (status < clientErrorStatus || request !== NamedId.Expected) {
		return AnswerKind.Foreign;
	}

	const isMisdirected = status === misdirectedStatus && instance !== NamedId.Expected;
	return isMisdirected ? AnswerKind.OtherInstance : AnswerKind.NotRun;
}

// The caller of a request that is not idempotent sends it again after such a status. An idempotent one may run again, so
// that the answer of a backend server can be returned as it is.
function classifyPromise(evidence: AnswerEvidence, {isIdempotent}: AnswerContext): AnswerKind {
	const {status, request, isSigned, isCoded} = evidence;
	const isVerified = request === NamedId.Expected && isSigned && !isCoded;
	const isReturnable = isVerified && isIdempotent && status !== misdirectedStatus;
	return isReturnable ? AnswerKind.Answer : AnswerKind.Unproven;
}

// A success needs the signature and the id of the request, and must not be content-encoded, as no
// caller requests an encoding. A redirect or a client error needs the id: without it, the HTTP library of the
// backend server or another server at its address has answered, and a caller would take it for the refusal of a
// valid request.
function isTrustworthy({status, request, isSigned, isCoded}: AnswerEvidence): boolean {
	if (status >= serverErrorStatus) {
		return true;
	}

	return request === NamedId.Expected && (status >= redirectStatus || (isSigned && !isCoded));
}
