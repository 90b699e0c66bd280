export {Backoff} from './backoff.js';
export {
	createPlatformClient,
	PlatformClient,
	type Closeable,
	type PlatformClientOptions,
} from './client.js';
export type {ReadResult, StoredObject, WriteResult} from './results.js';
export {
	StoreHttpClient,
	type StoreResponse,
	type StoreRequest,
	type StoreHttpClientOptions,
} from './store-http-client.js';
export {StoreError} from './store-error.js';
