export {toKeyHash} from './caller-request.js';
export {
	defaultConnectionLimits,
	type ConnectionLimits,
} from './connection-limits.js';
export {
	createEntryHost,
	EntryHost,
	type EntryHostOptions,
} from './entry-host.js';
export type {HeaderNames} from './header-names.js';
export {storeDeltaSchema} from './store-view.js';
