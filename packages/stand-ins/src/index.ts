export {
	createObjectStore,
	ObjectStore,
	type ObjectStoreOptions,
} from './object-store.js';
export {
	objectStoreFaultsSchema,
	type ObjectStoreFaults,
} from './object-store-faults.js';
export {BackendServer, createBackendServer} from './backend-server.js';
export {backendFaultsSchema, type BackendFaults} from './backend-faults.js';
export type {BackendCounts} from './backend-counts.js';
export type {Execution, ExecutionOutcome} from './execution-log.js';
export type {BackendServerOptions} from './backend-server-options.js';
