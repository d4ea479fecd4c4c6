import type {Clock} from '../clock/index.js';
import {TokenBucket} from './token-bucket.js';

/** Seconds of the rate that can be saved up. */
const depth = 2;

/** A node's buckets for the links to other regions; each node of its region has an equal part. */
export class RegionBuckets {
	private readonly buckets = new Map<string, TokenBucket>();

	constructor(private readonly clock: Pick<Clock, 'now'>) {}

	/**
	 * @param region - region that the link leads to.
	 * @param bytesPerSecond - budget of the link.
	 * @param nodes - nodes of this region, which share it.
	 * @returns this node's bucket, at the rate that holds now.
	 */
	bucket(region: string, bytesPerSecond: number, nodes: number): TokenBucket {
		const share = bytesPerSecond / Math.max(1, nodes);
		const bucket = this.buckets.get(region) ?? new TokenBucket(this.clock, share, depth);
		bucket.setRate(share);
		this.buckets.set(region, bucket);
		return bucket;
	}
}
