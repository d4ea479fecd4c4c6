export {DeclarationStore, HeadWrite, type HeadRow} from './declaration-store.js';
export {RevisionAgent, type RevisionAgentParts} from './revision-agent.js';
export {claimPrefix, handoverPrefix, zoneName, zonePrefix} from './store-keys.js';
