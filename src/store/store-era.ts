import type {Undo} from '../clock/index.js';

/** Called when the store has been restored from an earlier state; `previous` is its last known era. */
export type RestoreListener = (era: number, previous: number) => void;

/**
 * Tracks the era of a store, which rises each time that the store is restored from an earlier state. A
 * restored store has lost its latest writes and gives their versions out again, so that versions of
 * different eras cannot be compared.
 */
export class StoreEra {
	private newest: number | undefined;
	private readonly listeners = new Set<RestoreListener>();

	/** The newest known era; undefined before the first answer that names one. */
	get current(): number | undefined {
		return this.newest;
	}

	/**
	 * Records the era of an answer.
	 * @param era - the era that the answer names.
	 * @returns whether the answer is of the newest known era; an earlier one describes a state that is gone.
	 */
	record(era: number): boolean {
		const previous = this.newest;
		if (previous !== undefined && era <= previous) {
			return era === previous;
		}

		this.newest = era;
		if (previous !== undefined) {
			for (const listener of this.listeners) {
				listener(era, previous);
			}
		}

		return true;
	}

	/**
	 * @param listener - called when the era rises above a known one.
	 * @returns a function that ends the registration.
	 */
	registerListener(listener: RestoreListener): Undo {
		this.listeners.add(listener);
		return () => {
			this.listeners.delete(listener);
		};
	}
}
