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

function createView(): ExecutorView {
	return {
		load: undefined,
		reportedAt: 0,
		outstanding: 0,
		outstandingAtReport: 0,
		sentAtSum: 0,
		avoidUntil: 0,
	};
}

/** What one ingress knows of all executors. */
export class ExecutorViews {
	private readonly views = new Map<string, ExecutorView>();

	/**
	 * @param id - an executor.
	 * @returns what is known of it; an empty view when nothing is.
	 */
	of(id: string): ExecutorView {
		let view = this.views.get(id);
		if (!view) {
			view = createView();
			this.views.set(id, view);
		}

		return view;
	}

	/** An attempt goes to an executor. */
	recordSent(id: string, now: Millis): void {
		const view = this.of(id);
		view.outstanding += 1;
		view.sentAtSum += now;
	}

	/** An attempt that was sent has ended. */
	recordEnded(id: string, sentAt: Millis): void {
		const view = this.of(id);
		if (view.outstanding > 0) {
			view.outstanding -= 1;
			view.sentAtSum -= sentAt;
		}
	}

	/** An executor has told its load; one without slots has no backend server and tells nothing. */
	recordLoad(id: string, load: LoadReport, now: Millis): void {
		if (load.slots > 0) {
			const view = this.of(id);
			view.load = load;
			view.reportedAt = now;
			view.outstandingAtReport = view.outstanding;
		}
	}

	/** An executor is gone. */
	forget(id: string): void {
		this.views.delete(id);
	}
}
