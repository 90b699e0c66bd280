import {
	Plugin,
	budgetsKey,
	routerKey,
	type BudgetChanged,
	type ConfigurationChanged,
	type Context,
	type Kernel,
	type MembersChanged,
} from '@parsleyvale/kernel';
import type {EntryHostName, ServerName} from '@parsleyvale/shared';
import type {ChooserName} from './choosers/chooser.js';
import {createChooser} from './choosers/create-chooser.js';
import {LinkBytes} from './link-bytes.js';
import {Placer} from './placer.js';
import {RequestRouter} from './request-router.js';
import {CapacityBudgets, type CapacityShareScope} from './capacity-budgets.js';
import {RoutingTable} from './routing-table.js';
import {allSafeguards, type Safeguards} from './safeguards.js';
import {Shifts} from './shifts/shifts.js';
import {WaitingRequests} from './waiting-requests.js';

export type RoutingOptions = {
	/** Load-balancing policy within a region. */
	readonly chooser?: ChooserName;
	/**
	 * Hosts that share the capacity budget of a region. All hosts must be
	 * configured with the same value.
	 */
	readonly capacityShareScope?: CapacityShareScope;
	/** @internal */
	readonly safeguards?: Partial<Safeguards>;
};

const defaultChooser: ChooserName = 'latency-and-in-flight';

type RoutingComponents = {
	readonly hostName: EntryHostName;
	readonly table: RoutingTable;
	readonly capacityBudgets: CapacityBudgets;
	readonly shifts: Shifts;
	readonly waitingRequests: WaitingRequests;
	readonly placer: Placer;
	readonly router: RequestRouter;
};

/** Selects the region, failure domain and backend server of each attempt. */
export class RoutingPlugin extends Plugin {
	readonly #options: RoutingOptions;
	#components: RoutingComponents | undefined;

	constructor(options: RoutingOptions) {
		super();
		this.#options = options;
	}

	get name(): string {
		return 'routing';
	}

	install(kernel: Kernel): void {
		const components = createComponents(kernel, this.#options);
		this.#components = components;
		kernel.provide(routerKey, components.router);
		kernel.on('configuration-changed', (event, context) => {
			onConfigurationChanged(components, event, context);
		});
		kernel.on('members-changed', (event, context) => {
			onMembersChanged(components, event, context);
		});
		kernel.on('budget-changed', (event, context) => {
			onBudgetChanged(components, event, context);
		});
		kernel.on('request-ended', (event) => {
			components.waitingRequests.remove(event.requestId);
		});
		kernel.on('tick', (_event, context) => {
			onTick(components, context);
		});
	}

	override isBusy(): boolean {
		return (this.#components?.router.inFlight ?? 0) > 0;
	}

	/**
	 * Sets the backend servers that the platform lists as leaving. They receive
	 * no new requests, regardless of the drains in the configuration. Each call
	 * replaces the previous list.
	 */
	onServersLeaving(names: readonly ServerName[], context: Context): void {
		const components = this.#components;
		if (components === undefined) {
			throw new Error('The routing plug-in is not installed.');
		}

		components.table.setLeaving(names, context.now);
		components.capacityBudgets.updateTotals(
			components.table.pools.values(),
			context,
		);
		raiseCapacityChanged(components, context);
	}
}

/**
 * Creates the plug-in that places requests. Requires a plug-in that provides
 * budgets.
 *
 * @example
 * createKernel(options).use(createBudgets()).use(createRouting());
 */
export function createRouting(options: RoutingOptions = {}): RoutingPlugin {
	return new RoutingPlugin(options);
}

function createComponents(
	kernel: Kernel,
	options: RoutingOptions,
): RoutingComponents {
	const budgets = kernel.inject(budgetsKey);
	const safeguards = {...allSafeguards, ...options.safeguards};
	const {self, random} = kernel;
	const table = new RoutingTable({
		createChooser: () =>
			createChooser(options.chooser ?? defaultChooser, random),
		safeguards,
		localHost: {
			hostName: self.name,
			location: self,
			hostCount: 1,
			domainHostCount: 1,
		},
	});
	const capacityBudgets = new CapacityBudgets(
		budgets,
		options.capacityShareScope ?? 'fleet',
	);
	const shifts = new Shifts();
	const waitingRequests = new WaitingRequests();
	const sharedOptions = {
		budgets,
		table,
		shifts,
		waitingRequests,
		links: new LinkBytes(),
		safeguards,
		ownRegion: self.region,
	};
	const placer = new Placer({...sharedOptions, capacityBudgets, random});
	const router = new RequestRouter({...sharedOptions, placer});
	return {
		hostName: self.name,
		table,
		capacityBudgets,
		shifts,
		waitingRequests,
		placer,
		router,
	};
}

function onConfigurationChanged(
	components: RoutingComponents,
	event: ConfigurationChanged,
	context: Context,
): void {
	const {table, capacityBudgets, shifts} = components;
	table.applyConfiguration(event.current, context.now);
	capacityBudgets.updateTotals(table.pools.values(), context);
	capacityBudgets.removeObsolete(table.pools.values(), context);
	shifts.applyConfiguration(
		event.current.configuration,
		(pool, region) => {
			const servers = table.pools.get(pool)?.regions.get(region);
			return {
				serviceTime: servers?.serviceTime.get(context.now),
				failureRate: servers?.failureRate.get(context.now),
			};
		},
		context,
	);
	raiseCapacityChanged(components, context);
}

function onMembersChanged(
	components: RoutingComponents,
	event: MembersChanged,
	context: Context,
): void {
	const names = event.members.map((member) => member.name).toSorted();
	const count = Math.max(1, names.length);
	const index = Math.max(0, names.indexOf(components.hostName));
	components.placer.hostRank = {index, count};
	const {location} = components.table;
	const domainHosts = event.members.filter(
		(member) =>
			member.region === location.region &&
			member.failureDomain === location.failureDomain,
	);
	components.table.setHostCounts(
		count,
		Math.max(1, domainHosts.length),
		context.now,
	);
}

function onBudgetChanged(
	components: RoutingComponents,
	event: BudgetChanged,
	context: Context,
): void {
	const isRoutingBudget = ['room/', 'link/', 'shift/'].some((prefix) =>
		event.budgetId.startsWith(prefix),
	);
	if (isRoutingBudget) {
		raiseCapacityChanged(components, context);
	}
}

function onTick(components: RoutingComponents, context: Context): void {
	components.capacityBudgets.updateTotals(
		components.table.pools.values(),
		context,
	);
	components.shifts.onTick(context);
	components.waitingRequests.removeExpired(context.now);
	// Ejections expire, and remote regions become preferable, as time passes.
	raiseCapacityChanged(components, context);
}

function raiseCapacityChanged(
	components: RoutingComponents,
	context: Context,
): void {
	for (const pool of components.waitingRequests.listPools()) {
		context.raise({type: 'room-changed', pool});
	}
}
