export {
	compareConfigurations,
	formatDifference,
	type ConfigurationDifference,
} from './compare-configurations.js';
export {checkReferences} from './check-references.js';
export {
	ConfigurationPlugin,
	createConfiguration,
} from './configuration-plugin.js';
export type {ObservedVersion} from './host-versions.js';
export type {WithdrawalProgress} from './key-withdrawals.js';
export {mergeFiles, type ConfigurationFile} from './merge-files.js';
export type {ConfigurationOptions} from './options.js';
export {computeDelta, mergeDelta} from './configuration-delta.js';
export type {SectionName} from './sections.js';
