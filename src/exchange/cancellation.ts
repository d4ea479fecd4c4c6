import type {Undo} from '../clock/index.js';

/** Cancels the work for a call or an attempt whose result is no longer needed. */
export class Cancellation {
	private readonly listeners = new Set<() => void>();
	private isDone = false;

	get isCanceled(): boolean {
		return this.isDone;
	}

	/** Notifies the listeners; has no effect when canceled already. */
	cancel(): void {
		if (this.isDone) {
			return;
		}

		this.isDone = true;
		for (const listener of this.listeners) {
			listener();
		}

		this.listeners.clear();
	}

	/**
	 * @param listener - called once, on cancellation, or immediately if canceled already.
	 * @returns a function that removes the listener.
	 */
	registerListener(listener: () => void): Undo {
		if (this.isDone) {
			listener();
			return () => undefined;
		}

		this.listeners.add(listener);
		return () => {
			this.listeners.delete(listener);
		};
	}
}
