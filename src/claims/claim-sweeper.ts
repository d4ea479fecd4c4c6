import type {Clock} from '../clock/index.js';
import {StoreUnavailableError, type TableService} from '../store/index.js';
import {bucketAt, bucketPrefix, bucketDuration} from './claim-keys.js';

/** Buckets that the longest retention covers, plus one on each side as the clocks of nodes differ. */
const retainedBuckets = 9;
/** Several buckets are deleted per sweep, as earlier sweeps may have failed during a store outage. */
const bucketsPerSweep = 3;

/** Deletes the rows of claims whose retention has passed. */
export class ClaimSweeper {
	constructor(
		private readonly clock: Clock,
		private readonly store: TableService,
	) {}

	/** Deletes expired rows; rows that cannot be deleted during an outage are left to later sweeps. */
	async sweep(): Promise<void> {
		const newestExpired = bucketAt(this.clock.wallNow()) - retainedBuckets;
		for (let age = 0; age < bucketsPerSweep; age++) {
			try {
				await this.store.deleteAll(bucketPrefix(newestExpired - age)); // eslint-disable-line no-await-in-loop
			} catch (err) {
				if (!(err instanceof StoreUnavailableError)) {
					throw err;
				}
			}
		}
	}
}

/** Interval between two sweeps. */
export const sweepPeriod = bucketDuration / 2;
