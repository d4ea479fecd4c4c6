import {LRUCache} from 'lru-cache';

const rememberedRumors = 10_000;

/** Remembers which rumors were heard, so that each is passed on once. */
export class SeenRumors {
	private readonly heard = new LRUCache<string, true>({max: rememberedRumors});

	/**
	 * @param id - id of a rumor.
	 * @returns whether it is heard for the first time.
	 */
	addIfNew(id: string): boolean {
		if (this.heard.has(id)) {
			return false;
		}

		this.heard.set(id, true);
		return true;
	}
}
