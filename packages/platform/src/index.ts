export {Backoff} from './backoff.js';
export {
	createPlatformClient,
	PlatformClient,
	type Closeable,
	type PlatformClientOptions,
} from './client.js';
export type {ReadResult, StoredObject, WriteResult} from './results.js';
export {
	StoreConnection,
	type StoreAnswer,
	type StoreCall,
	type StoreConnectionOptions,
} from './store-connection.js';
export {StoreError} from './store-error.js';
