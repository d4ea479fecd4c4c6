export {RatioBudget} from './ratio-budget.js';
export {RegionBuckets} from './region-buckets.js';
export {TokenBucket} from './token-bucket.js';
