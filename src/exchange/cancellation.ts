import type {Undo} from '../clock/index.js';

/** Tells the parts of a call that nobody waits for it any more. */
export class Cancellation {
	private readonly listeners = new Set<() => void>();
	private isDone = false;

	get isCanceled(): boolean {
		return this.isDone;
	}

	/** Cancels; a second time has no effect. */
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
	 * @param listener - called once, at once if canceled already.
	 * @returns a function that ends the registration.
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
