export {ByteBlocks} from './byte-blocks.js';
export {concatBytes} from './bytes.js';
export {hash32, hash48, hashBytes, rendezvous} from './hash.js';
export {InvariantError, invariant} from './invariant.js';
export {pause} from './pause.js';
export {withResolvers, type Deferred} from './with-resolvers.js';
