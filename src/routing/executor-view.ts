import type {LoadReport} from '../call/index.js';
import type {Millis} from '../clock/index.js';

/** What one ingress knows of one executor. */
export interface ExecutorView {
	load: LoadReport | undefined;
	reportedAt: Millis;
	/** Attempts of this ingress that have been sent and not ended. */
	outstanding: number;
	/** Attempts of this ingress that were out when the report came. */
	outstandingAtReport: number;
	/** Sum of the times at which the outstanding attempts were sent, in ms. */
	sentAtSum: Millis;
	/** Until then the executor gets no work where another can take it. */
	avoidUntil: Millis;
}

/** @returns the view of an executor that nothing is known of. */
export function createView(): ExecutorView {
	return {
		load: undefined,
		reportedAt: 0,
		outstanding: 0,
		outstandingAtReport: 0,
		sentAtSum: 0,
		avoidUntil: 0,
	};
}
