import type {LoadReport} from '../call/index.js';
import type {Millis} from '../clock/index.js';

/** State of one executor as known to one ingress. */
export interface ExecutorView {
	load: LoadReport | undefined;
	reportedAt: Millis;
	/** Number of attempts of this ingress that are in flight. */
	outstanding: number;
	/** Number of attempts of this ingress that were in flight when the load report arrived. */
	outstandingAtReport: number;
	/** Sum of the send times of the outstanding attempts, in ms. */
	sentAtSum: Millis;
	/** Time until which the executor is chosen only if no other is available. */
	avoidUntil: Millis;
	/**
	 * Mean time by which attempts there took longer than their work and the usual network time, in ms: a slow node or
	 * a longer way, not a slow backend server.
	 */
	extraTime: Millis;
}

function createView(): ExecutorView {
	return {
		load: undefined,
		reportedAt: 0,
		outstanding: 0,
		outstandingAtReport: 0,
		sentAtSum: 0,
		avoidUntil: 0,
		extraTime: 0,
	};
}

/** State of all executors as known to one ingress. */
export class ExecutorViews {
	private readonly views = new Map<string, ExecutorView>();

	/**
	 * @param id - an executor.
	 * @returns its state; created empty if it is unknown.
	 */
	of(id: string): ExecutorView {
		let view = this.views.get(id);
		if (!view) {
			view = createView();
			this.views.set(id, view);
		}

		return view;
	}

	/** Records that an attempt is sent to an executor. */
	recordSent(id: string, now: Millis): void {
		const view = this.of(id);
		view.outstanding += 1;
		view.sentAtSum += now;
	}

	/** Records the end of an attempt that was sent. */
	recordEnded(id: string, sentAt: Millis): void {
		const view = this.of(id);
		if (view.outstanding > 0) {
			view.outstanding -= 1;
			view.sentAtSum -= sentAt;
		}
	}

	/** Records a load report. Ignores a report without slots, as that executor has no backend server. */
	recordLoad(id: string, load: LoadReport, now: Millis): void {
		if (load.slots > 0) {
			const view = this.of(id);
			view.load = load;
			view.reportedAt = now;
			view.outstandingAtReport = view.outstanding;
		}
	}

	/** Removes an executor that is gone. */
	forget(id: string): void {
		this.views.delete(id);
	}
}
