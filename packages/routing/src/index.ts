export type {ChooserName} from './choosers/chooser.js';
export {
	RoutingPlugin,
	createRouting,
	type RoutingOptions,
} from './routing-plugin.js';
export {
	checkDrain,
	type DrainShortfall,
	type DrainCheckResult,
	type RegionLoad,
} from './check-drain.js';
export type {CapacityShareScope} from './capacity-budgets.js';
