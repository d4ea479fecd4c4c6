import {headerValue} from './headers.js';
import {AnswerScanner} from './answer-scanner.js';
import type {AnswerHead, BackendProtocol} from './backend-protocol.js';
import {BodyFraming, readFraming} from './body-framing.js';
import {ConnectionState} from './connection-ends.js';

/** Why the body of an answer is not the whole body, or not only that. */
export enum AnswerDefect {
	/** What marks its end has not come. */
	Cut = 'cut',
	/** It has a transfer coding that was not requested. */
	Coding = 'coding',
	/** It contains another answer, or belongs to another request of the connection. */
	SecondAnswer = 'second-answer',
	/** Its head is not that of an answer to the request. */
	Foreign = 'foreign',
	/** Its status says that the request was not run, and nothing proves that. */
	Unproven = 'unproven',
	/** Its status is none that an answer may have, or interim answers come without end. */
	Status = 'status',
	/** It is no HTTP. */
	Malformed = 'malformed',
}

/** How the body of an answer has ended, for the log. */
export interface AnswerReport {
	/** Undefined if no head was read. */
	readonly status: number | undefined;
	/** Undefined if no head was read. */
	readonly framing: BodyFraming | undefined;
	/** Bytes of the body that were received. */
	readonly bytes: number;
	/** State of the connection at the end of the body. */
	readonly connection: ConnectionState;
	/** Code or message of the error that ended the connection before; undefined if there was none. */
	readonly error: string | undefined;
	/** Undefined if the body is whole. */
	readonly defect: AnswerDefect | undefined;
	/** Id of the request to which another answer belongs; undefined if there is none. */
	readonly otherRequest: string | undefined;
}

export interface AnswerCheckDependencies {
	readonly protocol: Pick<BackendProtocol, 'readRequestId'>;
	readonly method: string;
	/** Ids of the requests that were sent on the connection. */
	readonly carriedIds: ReadonlySet<string>;
}

/**
 * @param error - why it was not read.
 * @returns the report of an answer whose head could not be read.
 */
export function reportMalformed(error: string | undefined): AnswerReport {
	return {
		status: undefined,
		framing: undefined,
		bytes: 0,
		connection: ConnectionState.Rejected,
		error,
		defect: AnswerDefect.Malformed,
		otherRequest: undefined,
	};
}

/** Decides whether what was received of an answer is its whole body and nothing else. */
export class AnswerCheck {
	/** What marks the end of the body. */
	readonly framing: BodyFraming;
	private readonly status: number;
	private readonly length: number;
	private readonly isKept: boolean;
	private readonly scanner: AnswerScanner;
	private bytes = 0;
	/** Defect that was found before the end of the body. */
	private found: AnswerDefect | undefined;
	private otherRequest: string | undefined;

	constructor({status, headers}: AnswerHead, deps: AnswerCheckDependencies) {
		const {protocol, method, carriedIds} = deps;
		this.status = status;
		this.framing = readFraming(method, status, headers);
		this.length = Number(headerValue(headers, 'content-length'));
		this.isKept = headerValue(headers, 'connection')?.toLowerCase() !== 'close';
		this.scanner = new AnswerScanner((list) => protocol.readRequestId(list), carriedIds);
	}

	/** Whether the body contains another answer. */
	get hasSecondAnswer(): boolean {
		return this.found === AnswerDefect.SecondAnswer;
	}

	/** Whether another answer may go on behind the length of the body. */
	get mayContinue(): boolean {
		return this.framing === BodyFraming.Length && this.isKept && this.scanner.isWithinHead;
	}

	/**
	 * @param chunk - next bytes of the body.
	 */
	add(chunk: Uint8Array): void {
		this.bytes += chunk.length;
		const id = this.scanner.scan(chunk);
		if (id !== undefined) {
			this.recordSecondAnswer(id);
		}
	}

	/**
	 * Records that the body contains another answer, or goes on as one.
	 * @param id - id of the request to which it belongs; undefined if that is not known.
	 */
	recordSecondAnswer(id?: string): void {
		this.found = AnswerDefect.SecondAnswer;
		this.otherRequest ??= id;
	}

	/**
	 * Records that this is no answer to the request.
	 * @param id - id of the request that the head names; undefined if that is no other one.
	 */
	recordForeign(id: string | undefined): void {
		this.found = id === undefined ? AnswerDefect.Foreign : AnswerDefect.SecondAnswer;
		this.otherRequest = id;
	}

	/**
	 * @param defect - a defect that the head of the answer shows.
	 */
	recordDefect(defect: AnswerDefect): void {
		this.found = defect;
	}

	/**
	 * @param connection - state of the connection.
	 * @returns why the body is not whole if it ends now; undefined if it is whole.
	 */
	defect(connection: ConnectionState): AnswerDefect | undefined {
		if (this.found !== undefined) {
			return this.found;
		}

		if (this.framing === BodyFraming.Unknown) {
			return AnswerDefect.Coding;
		}

		return this.isEndMarked(connection) ? undefined : AnswerDefect.Cut;
	}

	/**
	 * @param connection - state of the connection at the end of the body.
	 * @param error - code of the error that ended the connection; undefined if there was none.
	 * @returns how the body has ended.
	 */
	report(connection: ConnectionState, error?: string): AnswerReport {
		const {status, framing, bytes, otherRequest} = this;
		const defect = this.defect(connection);
		return {status, framing, bytes, connection, error, defect, otherRequest};
	}

	private isEndMarked(connection: ConnectionState): boolean {
		switch (this.framing) {
			case BodyFraming.None: {
				return true;
			}

			case BodyFraming.Length: {
				return this.bytes === this.length;
			}

			case BodyFraming.Chunks: {
				return connection === ConnectionState.Open;
			}

			case BodyFraming.Connection: {
				return connection === ConnectionState.Ended;
			}

			case BodyFraming.Unknown: {
				return false;
			}
		}
	}
}
