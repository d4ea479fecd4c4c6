import type {HeaderList} from '../call/index.js';
import type {Millis} from '../clock/index.js';
import type {Attempt} from '../exchange/index.js';
import {hasHeader} from './headers.js';

/** What the head of a backend server's answer says about the request. */
export enum AnswerKind {
	/** The answer to the request. */
	Answer = 'answer',
	/** The backend server refused the request before any work. */
	NotRun = 'not-run',
	/** Another backend server listens at the address; it did not run the request. */
	OtherInstance = 'other-instance',
	/** Not the answer to this request, or not what the backend server wrote. */
	Foreign = 'foreign',
}

/** Head of an answer. */
export interface AnswerHead {
	readonly status: number;
	readonly headers: HeaderList;
}

/** What a backend server says of its own load. */
export interface BackendLoad {
	readonly running: number;
	readonly waiting: number;
	readonly slots: number;
	/** How many times longer than usual work takes at this moment; 1 is usual. */
	readonly slowdown: number;
}

/** What the node and its backend server tell each other in headers. */
export interface BackendProtocol {
	/**
	 * @param attempt - what is sent.
	 * @param timeLeft - how long the backend server may work on it, in ms.
	 * @param instance - the backend server that is meant.
	 * @returns headers of the request.
	 */
	requestHeaders(attempt: Attempt, timeLeft: Millis, instance: string): HeaderList;
	/**
	 * @param head - head of an answer.
	 * @param requestId - id of the request that was sent.
	 * @returns what the answer is.
	 */
	classify(head: AnswerHead, requestId: string): AnswerKind;
	/**
	 * @param headers - headers of an answer.
	 * @returns which start of the backend server answered; undefined where it does not tell.
	 */
	readInstance(headers: HeaderList): string | undefined;
	/**
	 * @param headers - headers of an answer.
	 * @returns the load that they tell; undefined where they tell none.
	 */
	readLoad(headers: HeaderList): BackendLoad | undefined;
}

const refusedStatus = 503;

/** With status 503, says that the backend server refused the request before any work. */
export const refusedBeforeWorkHeader = 'turmeric-refused';

/** The product's own protocol towards backend servers. */
export class TurmericBackendProtocol implements BackendProtocol {
	requestHeaders(attempt: Attempt): HeaderList {
		return attempt.head.headers;
	}

	classify({status, headers}: AnswerHead): AnswerKind {
		const isRefused = status === refusedStatus && hasHeader(headers, refusedBeforeWorkHeader);
		return isRefused ? AnswerKind.NotRun : AnswerKind.Answer;
	}

	readInstance(): string | undefined {
		return undefined;
	}

	readLoad(): BackendLoad | undefined {
		return undefined;
	}
}
