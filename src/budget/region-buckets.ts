import type {Clock} from '../clock/index.js';
import {TokenBucket} from './token-bucket.js';

/** Burst capacity of a bucket, in seconds of its rate. */
const burstSeconds = 2;

/** Token buckets of a node for the links to other regions; the nodes of a region share each budget equally. */
export class RegionBuckets {
	private readonly buckets = new Map<string, TokenBucket>();

	constructor(private readonly clock: Pick<Clock, 'now'>) {}

	/**
	 * @param region - destination region of the link.
	 * @param bytesPerSecond - budget of the link.
	 * @param nodes - number of nodes in the local region, which share the budget.
	 * @returns the bucket of this node, set to the current rate.
	 */
	bucket(region: string, bytesPerSecond: number, nodes: number): TokenBucket {
		const share = bytesPerSecond / Math.max(1, nodes);
		const bucket = this.buckets.get(region) ?? new TokenBucket(this.clock, share, burstSeconds);
		bucket.setRate(share);
		this.buckets.set(region, bucket);
		return bucket;
	}
}
