export {bucketAt, bucketPrefix, bucketTime, claimKeys, claimPrefix} from './claim-keys.js';
export {ClaimSweeper, sweepPeriod} from './claim-sweeper.js';
export {ClaimWriter, type KeyHome} from './claim-writer.js';
export {createIssuedKey, parseIssuedKey} from './issued-key.js';
export {KeyHomes, type KeyHomesParts} from './key-homes.js';
export {KeyedCalls, type KeyedCallsParts} from './keyed-calls.js';
