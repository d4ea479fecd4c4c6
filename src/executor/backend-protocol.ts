import type {HeaderList} from '../call/index.js';
import type {Millis} from '../clock/index.js';
import type {Attempt} from '../exchange/index.js';
import {classifyAnswer, NamedId, type AnswerKind} from './answer-table.js';
import {isFramed} from './body-framing.js';
import {hasHeader, headerValue} from './headers.js';

/** Status and headers of a response. */
export interface AnswerHead {
	readonly status: number;
	readonly headers: HeaderList;
}

/** The request that a response should answer. */
export interface SentRequest {
	readonly requestId: string;
	/** Instance of the backend server that it was meant for. */
	readonly instance: string;
	readonly isIdempotent: boolean;
}

/** Load as reported by a backend server. */
export interface BackendLoad {
	readonly running: number;
	readonly waiting: number;
	readonly slots: number;
	/** Factor by which calls currently take longer than usual; 1 is usual. */
	readonly slowdown: number;
}

/** What a backend server says of itself in an answer, besides its load. */
export interface BackendNotice {
	/** Calls per second that it takes from all nodes together; undefined if it names no limit. */
	readonly rateLimit: number | undefined;
	/** Whether it leaves and takes no further calls. */
	readonly isLeaving: boolean;
	/** Time for which it is still cold, in ms; 0 if it is not cold, undefined if it does not say. */
	readonly coldLeft?: Millis | undefined;
}

/** Writes and reads the headers exchanged between the node and its backend server. */
export interface BackendProtocol {
	/** Statuses that tell a caller that its request was not run. */
	readonly promises: ReadonlySet<number>;
	/**
	 * @param attempt - the attempt to send.
	 * @param timeLeft - time until the deadline of the attempt, in ms.
	 * @param instance - instance of the backend server that the request is meant for.
	 * @returns the headers of the request.
	 */
	requestHeaders(attempt: Attempt, timeLeft: Millis, instance: string): HeaderList;
	/**
	 * @param head - head of a response.
	 * @param sent - the request that was sent.
	 * @returns the kind of the response.
	 */
	classify(head: AnswerHead, sent: SentRequest): AnswerKind;
	/**
	 * @param headers - headers of an answer.
	 * @returns the id of the request that it belongs to; undefined if the headers do not name it.
	 */
	readRequestId(headers: HeaderList): string | undefined;
	/**
	 * @param headers - headers of an answer.
	 * @returns the instance of the backend server that answered; undefined if the headers do not name it.
	 */
	readInstance(headers: HeaderList): string | undefined;
	/**
	 * @param headers - headers of an answer.
	 * @returns the reported load; undefined if the headers report none.
	 */
	readLoad(headers: HeaderList): BackendLoad | undefined;
	/**
	 * @param headers - headers of an answer.
	 * @returns what the backend server says of itself; a malformed value counts as missing.
	 */
	readNotice(headers: HeaderList): BackendNotice;
}

const refusedStatus = 503;
/** Lower ones are interim. */
const firstAnswerStatus = 200;

/** With status 503, marks a request that the backend server refused before doing any work. */
export const refusedBeforeWorkHeader = 'turmeric-refused';

/** Calls per second that the backend server takes from all nodes together. */
export const rateLimitHeader = 'turmeric-rate-limit';

/** Present when the backend server leaves. */
export const leavingHeader = 'turmeric-leaving';

/**
 * @param text - value of a header with a number; undefined when the header is missing.
 * @returns the number; undefined when the header is missing or not a number of at least 0.
 */
export function parseNonNegative(text: string | undefined): number | undefined {
	const value = text === undefined || text.trim() === '' ? Number.NaN : Number(text);
	return Number.isFinite(value) && value >= 0 ? value : undefined;
}

/** Turmeric's own protocol between a node and its backend server. */
export class TurmericBackendProtocol implements BackendProtocol {
	/** None: callers read a header that says whether a call ran. */
	readonly promises: ReadonlySet<number> = new Set();

	requestHeaders(attempt: Attempt): HeaderList {
		return attempt.head.headers;
	}

	// Answers name no request and carry no signature; the connection is all that says whose they are.
	classify({status, headers}: AnswerHead, {isIdempotent}: SentRequest): AnswerKind {
		const evidence = {
			status,
			request: NamedId.Expected,
			isDeclaredNotRun: status === refusedStatus && hasHeader(headers, refusedBeforeWorkHeader),
			instance: NamedId.None,
			isSigned: status >= firstAnswerStatus,
			isFramed: isFramed(headers),
			isCoded: false,
		};
		return classifyAnswer(evidence, {promises: this.promises, isIdempotent});
	}

	readRequestId(): string | undefined {
		return undefined;
	}

	readInstance(): string | undefined {
		return undefined;
	}

	readLoad(): BackendLoad | undefined {
		return undefined;
	}

	readNotice(headers: HeaderList): BackendNotice {
		return {
			rateLimit: parseNonNegative(headerValue(headers, rateLimitHeader)),
			isLeaving: hasHeader(headers, leavingHeader),
		};
	}
}
