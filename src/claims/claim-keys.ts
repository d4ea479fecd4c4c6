import {minute, type Millis} from '../clock/index.js';

/** Length of the time buckets in which rows of claims lie. */
export const bucketDuration: Millis = 10 * minute;

/** Start of the rows of idempotency keys. */
export const claimPrefix = 'claims/';

const bucketDigits = 10;

/** Where the claim of a key is written, and where an earlier one may lie. */
export interface ClaimKeys {
	readonly current: string;
	readonly others: readonly string[];
}

/**
 * @param bucket - number of a time bucket.
 * @returns start of the rows in the bucket.
 */
export function bucketPrefix(bucket: number): string {
	return `${claimPrefix}${String(bucket).padStart(bucketDigits, '0')}/`;
}

/**
 * @param wallTime - time of day in ms since the Unix epoch.
 * @returns the bucket into which claims are written then.
 */
export function bucketAt(wallTime: Millis): number {
	return Math.floor(wallTime / bucketDuration);
}

/**
 * @param key - service, customer and idempotency key.
 * @param wallTime - time of day in ms since the Unix epoch.
 * @param retention - how long the key is remembered, in ms.
 * @returns the keys of the rows; the next bucket is among the others, as clocks differ.
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
