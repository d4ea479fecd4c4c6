export {bucketAt, bucketPrefix, bucketDuration, claimKeys, claimPrefix} from './claim-keys.js';
export {ClaimSweeper, sweepPeriod} from './claim-sweeper.js';
export {ClaimWriter, type KeyOwner} from './claim-writer.js';
export {createIssuedKey, parseIssuedKey} from './issued-key.js';
export {KeyOwners, type KeyOwnersDependencies} from './key-owners.js';
export {KeyedCalls, type KeyedCallsDependencies} from './keyed-calls.js';
