import {minute, type Millis} from '../clock/index.js';

/** Duration of the time buckets that group the rows of claims. */
export const bucketDuration: Millis = 10 * minute;

/** Prefix of the rows of claims. */
export const claimPrefix = 'claims/';

const bucketDigits = 10;

/** Keys of the rows that can hold the claim of an idempotency key. */
export interface ClaimKeys {
	/** Row in which a new claim is written. */
	readonly current: string;
	/** Rows in which an earlier claim may exist. */
	readonly others: readonly string[];
}

/**
 * @param bucket - number of a time bucket.
 * @returns prefix of the rows in the bucket.
 */
export function bucketPrefix(bucket: number): string {
	return `${claimPrefix}${String(bucket).padStart(bucketDigits, '0')}/`;
}

/**
 * @param wallTime - time of day in ms since the Unix epoch.
 * @returns number of the bucket in which claims are written at that time.
 */
export function bucketAt(wallTime: Millis): number {
	return Math.floor(wallTime / bucketDuration);
}

/**
 * @param key - service, customer and idempotency key.
 * @param wallTime - time of day in ms since the Unix epoch.
 * @param retention - how long the key is remembered, in ms.
 * @returns the keys of the rows, including one in the next bucket, as the clocks of nodes differ.
 */
export function claimKeys(key: string, wallTime: Millis, retention: Millis): ClaimKeys {
	const bucket = bucketAt(wallTime);
	const depth = Math.ceil(retention / bucketDuration) + 1;
	const others = [`${bucketPrefix(bucket + 1)}${key}`];
	for (let age = 1; age <= depth; age++) {
		others.push(`${bucketPrefix(bucket - age)}${key}`);
	}

	return {current: `${bucketPrefix(bucket)}${key}`, others};
}
