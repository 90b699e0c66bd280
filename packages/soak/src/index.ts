export {
	createOperatorConfiguration,
	createServerEntry,
	createSettingsFile,
} from './examples.js';
export {ServerStandIn, type Execution} from './server-stand-in.js';
export {StoreStandIn, type StoreMode} from './store-stand-in.js';
