/** Time after the last disruption from which on a node has to keep its promises, in ms. */
export const contactTime = 3000;

/** Name under which a disruption of the store is recorded; it concerns all nodes. */
export const storeName = 'store';

interface Disturbance {
	running: number;
	count: number;
	lastEnd: number;
}

/** Tells which nodes are in touch: undisturbed for some time, as the store is too. */
export class ContactLog {
	private readonly disturbances = new Map<string, Disturbance>();

	/**
	 * Runs a disruption.
	 * @param names - the nodes that it concerns; the store where it concerns all.
	 * @param disrupt - the disruption; it ends when its promise resolves.
	 */
	async disturb(names: readonly string[], disrupt: () => Promise<void>): Promise<void> {
		const found = names.map((name) => this.of(name));
		for (const disturbance of found) {
			disturbance.running += 1;
			disturbance.count += 1;
		}

		try {
			await disrupt();
		} finally {
			for (const disturbance of found) {
				disturbance.running -= 1;
				disturbance.lastEnd = performance.now();
			}
		}
	}

	/** @returns whether the node and the store have been undisturbed for long enough. */
	isInTouch(name: string): boolean {
		return [name, storeName].every((item) => {
			const {running, lastEnd} = this.of(item);
			return running === 0 && performance.now() - lastEnd >= contactTime;
		});
	}

	/** @returns a number that changes whenever a disruption of the node or the store begins. */
	countOf(name: string): number {
		return this.of(name).count + this.of(storeName).count;
	}

	/** @returns whether a disruption of the node is running. */
	isDisturbed(name: string): boolean {
		return this.of(name).running > 0;
	}

	private of(name: string): Disturbance {
		const found = this.disturbances.get(name) ?? {running: 0, count: 0, lastEnd: -Infinity};
		this.disturbances.set(name, found);
		return found;
	}
}
