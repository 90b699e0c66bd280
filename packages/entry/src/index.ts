export {toKeyHash} from './caller-request.js';
export {
	createEntryHost,
	EntryHost,
	type EntryHostOptions,
} from './entry-host.js';
export type {WireNames} from './header-names.js';
