export {
	bucketAt,
	bucketPrefix,
	bucketDuration as bucketDuration,
	claimKeys,
	claimPrefix,
} from './claim-keys.js';
export {ClaimSweeper, sweepPeriod} from './claim-sweeper.js';
export {ClaimWriter, type KeyOwner as KeyOwner} from './claim-writer.js';
export {createIssuedKey, parseIssuedKey} from './issued-key.js';
export {
	KeyOwners as KeyOwners,
	type KeyOwnersDependencies as KeyOwnersDependencies,
} from './key-homes.js';
export {KeyedCalls, type KeyedCallsDependencies as KeyedCallsDependencies} from './keyed-calls.js';
