export {HttpStore, StoreOperation, type HttpStoreParts} from './http-store.js';
export {
	Expect,
	StoreUnavailableError,
	type ObjectStore,
	type Row,
	type TableService,
	type WriteOperation,
	type WriteResult,
} from './platform-store.js';
