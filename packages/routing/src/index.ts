export type {ChooserName} from './choosers/chooser.js';
export {
	RoutingPlugin,
	createRouting,
	type RoutingOptions,
} from './routing-plugin.js';
