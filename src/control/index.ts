export {
	ConfigurationFeed,
	type ConfigurationFeedDependencies as ConfigurationFeedDependencies,
	type ConfigurationSource,
	type WrittenConfiguration,
} from './configuration-feed.js';
export {ContentFetcher} from './content-fetcher.js';
export {mustReadStore as mustReadStore, selectReaders as selectReaders} from './readers.js';
export {Roster, type RosterDependencies as RosterDependencies} from './roster.js';
export {
	DeclarationStore,
	HeadWriteResult as HeadWriteResult,
	type HeadRow,
} from './declaration-store.js';
export {
	RevisionAgent,
	type RevisionAgentDependencies as RevisionAgentDependencies,
} from './revision-agent.js';
export {handoverPrefix, zoneName, zonePrefix} from './store-keys.js';
