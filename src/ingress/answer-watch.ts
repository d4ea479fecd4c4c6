import type {ServerResponse} from 'node:http';
import type {RequestOrigin} from '../call/index.js';
import type {Clock, Millis} from '../clock/index.js';
import {AnswerCut, logEvents, type Logger, type Metrics} from '../telemetry/index.js';

/** What is known of a request that has not been answered completely. */
type OpenAnswer = {
	readonly path: string | undefined;
	origin: RequestOrigin | undefined;
	/** Bytes of the body that were written to the connection. */
	bytes: number;
	/** When the last of them was written, or the request was read. */
	progressAt: Millis;
	/** Whether its end was reported already. */
	isReported: boolean;
};

/** How far an answer has come on its connection. */
export interface AnswerDelivery {
	/** Whether the connection has taken all of it. */
	readonly isTaken: boolean;
}

/** Collaborators of {@link AnswerWatch}. */
export interface AnswerWatchDependencies {
	readonly clock: Clock;
	readonly logger: Logger;
	readonly metrics: Metrics;
}

/** Follows the requests of an ingress until their connections have taken the answers, and reports answers that end early. */
export class AnswerWatch {
	private readonly calls = new Map<ServerResponse, OpenAnswer>();
	/** Complete answers that their connections have not taken completely. */
	private readonly unsent = new Map<ServerResponse, OpenAnswer>();

	constructor(private readonly deps: AnswerWatchDependencies) {}

	/** Number of requests whose answers are not complete. */
	get callCount(): number {
		return this.calls.size;
	}

	/** Number of requests whose answers have not been taken completely by their connections. */
	get inFlight(): number {
		return this.calls.size + this.unsent.size;
	}

	/**
	 * @param res - response to a request that was read.
	 * @param path - path of the request.
	 */
	enter(res: ServerResponse, path: string | undefined): void {
		const progressAt = this.deps.clock.now();
		this.calls.set(res, {path, origin: undefined, bytes: 0, progressAt, isReported: false});
	}

	/**
	 * @param res - response to a request that becomes a call.
	 * @param origin - id and route of the request, for the log.
	 */
	identify(res: ServerResponse, origin: RequestOrigin): void {
		const answer = this.calls.get(res);
		if (answer) {
			answer.origin = origin;
		}
	}

	/**
	 * @param res - response of which a part was written.
	 * @param bytes - length of the part, in bytes.
	 */
	recordProgress(res: ServerResponse, bytes: number): void {
		const answer = this.calls.get(res);
		if (answer) {
			answer.bytes += bytes;
			answer.progressAt = this.deps.clock.now();
		}
	}

	/**
	 * Called when the answer was handed to its connection. A caller may take it slowly; a node that stops must not
	 * leave before.
	 * @param res - the response.
	 * @param delivery - tells whether the connection has taken the answer completely.
	 */
	leave(res: ServerResponse, delivery: AnswerDelivery): void {
		const answer = this.calls.get(res);
		this.calls.delete(res);
		if (answer && res.writableEnded && !delivery.isTaken && !res.destroyed) {
			this.unsent.set(res, answer);
			res.once('close', () => {
				this.unsent.delete(res);
				if (!delivery.isTaken) {
					this.report(res, answer, AnswerCut.Caller);
				}
			});
		}
	}

	/**
	 * Reports an answer that ends before it is complete.
	 * @param res - the response.
	 * @param cut - what ended it.
	 */
	reportCut(res: ServerResponse, cut: AnswerCut): void {
		const answer = this.calls.get(res);
		if (answer) {
			this.report(res, answer, cut);
		}
	}

	/**
	 * Reports all requests that are still open as cut by the stop of the node.
	 * @returns their number.
	 */
	reportRemaining(): number {
		const remaining = [...this.calls, ...this.unsent];
		for (const [res, answer] of remaining) {
			this.report(res, answer, AnswerCut.Stop);
		}

		return remaining.length;
	}

	private report(res: ServerResponse, answer: OpenAnswer, cut: AnswerCut): void {
		if (answer.isReported) {
			return;
		}

		answer.isReported = true;
		const {metrics, logger, clock} = this.deps;
		metrics.answersCut.inc({cut});
		// Callers that leave are no fault of the node.
		if (cut !== AnswerCut.Caller) {
			logger.log(logEvents.answerCut, {
				request: answer.origin?.requestId,
				route: answer.origin?.route,
				path: answer.path,
				cut,
				status: res.headersSent ? res.statusCode : undefined,
				bytes: answer.bytes,
				quiet: Math.round(clock.now() - answer.progressAt),
			});
		}
	}
}
