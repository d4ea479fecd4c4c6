export {
	ConfigurationFeed,
	type ConfigurationFeedDependencies,
	type ConfigurationSource,
	type WrittenConfiguration,
} from './configuration-feed.js';
export {ContentFetcher} from './content-fetcher.js';
export {EvacuationReader, type EvacuationReaderDependencies} from './evacuation-reader.js';
export {planPoll, type ReaderSlot} from './poll-schedule.js';
export {findReaderSlot, mustReadStore, selectReaders} from './readers.js';
export {Roster, type RosterDependencies} from './roster.js';
export {DeclarationStore, HeadWriteResult, type HeadRow} from './declaration-store.js';
export {RevisionAgent, type RevisionAgentDependencies} from './revision-agent.js';
export {handoverPrefix, zoneName, zonePrefix} from './store-keys.js';
