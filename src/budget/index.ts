export {RatioBudget} from './ratio-budget.js';
export {TokenBucket} from './token-bucket.js';
