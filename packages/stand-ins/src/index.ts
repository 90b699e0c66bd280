export {
	createObjectStore,
	ObjectStore,
	type ObjectStoreOptions,
} from './object-store.js';
export {
	objectStoreFaultsSchema,
	type ObjectStoreFaults,
} from './object-store-faults.js';
