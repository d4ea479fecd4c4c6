export {
	ConfigurationFeed,
	type ConfigurationFeedParts,
	type ConfigurationSource,
	type WrittenConfiguration,
} from './configuration-feed.js';
export {ContentFetcher} from './content-fetcher.js';
export {mustRead, readersOf} from './readers.js';
export {Roster, type RosterParts} from './roster.js';
export {DeclarationStore, HeadWrite, type HeadRow} from './declaration-store.js';
export {RevisionAgent, type RevisionAgentParts} from './revision-agent.js';
export {handoverPrefix, zoneName, zonePrefix} from './store-keys.js';
