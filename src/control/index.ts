export {DeclarationStore, HeadWrite, type HeadRow} from './declaration-store.js';
export {RevisionAgent, type RevisionAgentParts} from './revision-agent.js';
export {handoverPrefix, zoneName, zonePrefix} from './store-keys.js';
