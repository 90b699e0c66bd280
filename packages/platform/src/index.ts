export {
	createPlatformClient,
	PlatformClient,
	type Closeable,
	type PlatformClientOptions,
} from './client.js';
export type {ReadResult, StoredObject, WriteResult} from './results.js';
