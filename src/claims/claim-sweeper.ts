import type {Clock} from '../clock/index.js';
import {StoreUnavailableError, type TableService} from '../store/index.js';
import {bucketAt, bucketPrefix, bucketDuration} from './claim-keys.js';

/** Buckets that are older than the longest retention, one more for each side as clocks differ. */
const keptBuckets = 9;
/** Buckets that are deleted again in each round, as an outage may have kept them. */
const deletedBuckets = 3;

/** Deletes the rows of claims that nobody can ask for any more. */
export class ClaimSweeper {
	constructor(
		private readonly clock: Clock,
		private readonly store: TableService,
	) {}

	/** Deletes what is too old; what an outage keeps is deleted by a later round. */
	async sweep(): Promise<void> {
		const newest = bucketAt(this.clock.wallNow()) - keptBuckets;
		for (let age = 0; age < deletedBuckets; age++) {
			try {
				await this.store.deleteAll(bucketPrefix(newest - age)); // eslint-disable-line no-await-in-loop
			} catch (err) {
				if (!(err instanceof StoreUnavailableError)) {
					throw err;
				}
			}
		}
	}
}

/** Time between two rounds, in ms. */
export const sweepPeriod = bucketDuration / 2;
