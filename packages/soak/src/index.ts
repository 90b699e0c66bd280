export {
	createOperatorConfiguration,
	createServerEntry,
	createSettingsFile,
} from './examples.js';
export {StoreStandIn, type StoreMode} from './store-stand-in.js';
