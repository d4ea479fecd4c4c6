/** Kinds of operation on the store; the values are part of the metrics. */
export enum StoreOperation {
	Read = 'read',
	List = 'list',
	Write = 'write',
	Delete = 'delete',
	Get = 'get',
	Put = 'put',
	Feed = 'feed',
}
