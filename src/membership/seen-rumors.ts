import {LRUCache} from 'lru-cache';

const maxRumors = 10_000;

/** Ids of the most recently received rumors, so that each rumor is forwarded only once. */
export class SeenRumors {
	private readonly ids = new LRUCache<string, true>({max: maxRumors});

	/**
	 * @param id - id of a rumor.
	 * @returns whether the id was new; it is remembered from now on.
	 */
	addIfNew(id: string): boolean {
		if (this.ids.has(id)) {
			return false;
		}

		this.ids.set(id, true);
		return true;
	}
}
