export {GuardedStore, type GuardedStoreDependencies} from './guarded-store.js';
export {
	Precondition,
	HistoryLostError,
	StoreSilentError,
	StoreUnavailableError,
	type ChangePage,
	type FeedPosition,
	type FeedTimes,
	type ObjectStore,
	type Row,
	type RowChange,
	type RowFeed,
	type TableService,
	type WriteOperation,
	type WriteResult,
} from './platform-store.js';
export {StoreEra, type RestoreListener} from './store-era.js';
export {StoreOperation} from './store-operation.js';
