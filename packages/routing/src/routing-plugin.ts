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
import {Rooms, type RoomHolders} from './rooms.js';
import {RoutingTable} from './routing-table.js';
import {allSafeguards, type Safeguards} from './safeguards.js';
import {Shifts} from './shifts/shifts.js';
import {Waiters} from './waiters.js';

export type RoutingOptions = {
	/** Way to choose a backend server within a region. */
	readonly chooser?: ChooserName;
	/** Whose shares the room of a region is; every host must have the same. */
	readonly roomHolders?: RoomHolders;
	/** @internal */
	readonly safeguards?: Partial<Safeguards>;
};

const defaultChooser: ChooserName = 'latency-and-in-flight';

type Parts = {
	readonly hostName: EntryHostName;
	readonly table: RoutingTable;
	readonly rooms: Rooms;
	readonly shifts: Shifts;
	readonly waiters: Waiters;
	readonly placer: Placer;
	readonly router: RequestRouter;
};

/** Decides region, failure domain and backend server of each attempt. */
export class RoutingPlugin extends Plugin {
	readonly #options: RoutingOptions;
	#parts: Parts | undefined;

	constructor(options: RoutingOptions) {
		super();
		this.#options = options;
	}

	get name(): string {
		return 'routing';
	}

	install(kernel: Kernel): void {
		const parts = createParts(kernel, this.#options);
		this.#parts = parts;
		kernel.provide(routerKey, parts.router);
		kernel.on('configuration-changed', (event, context) => {
			onConfigurationChanged(parts, event, context);
		});
		kernel.on('members-changed', (event, context) => {
			onMembersChanged(parts, event, context);
		});
		kernel.on('budget-changed', (event, context) => {
			onBudgetChanged(parts, event, context);
		});
		kernel.on('request-ended', (event) => {
			parts.waiters.remove(event.requestId);
		});
		kernel.on('tick', (_event, context) => {
			onTick(parts, context);
		});
	}

	override isBusy(): boolean {
		return (this.#parts?.router.running ?? 0) > 0;
	}

	/**
	 * The backend servers that the platform lists as leaving: they receive no
	 * new request, whatever the drains of the configuration say. An empty list
	 * takes an earlier one back.
	 */
	onServersLeaving(names: readonly ServerName[], context: Context): void {
		const parts = this.#parts;
		if (parts === undefined) {
			throw new Error('The routing plug-in is not installed.');
		}

		parts.table.setLeaving(names, context.now);
		parts.rooms.updateTotals(parts.table.pools.values(), context);
		raiseRoomChanged(parts, context);
	}
}

/**
 * The plug-in that places requests; needs a plug-in that provides budgets.
 *
 * @example
 * createKernel(options).use(createBudgets()).use(createRouting());
 */
export function createRouting(options: RoutingOptions = {}): RoutingPlugin {
	return new RoutingPlugin(options);
}

function createParts(kernel: Kernel, options: RoutingOptions): Parts {
	const budgets = kernel.inject(budgetsKey);
	const safeguards = {...allSafeguards, ...options.safeguards};
	const {self, random} = kernel;
	const table = new RoutingTable({
		createChooser: () =>
			createChooser(options.chooser ?? defaultChooser, random),
		safeguards,
		viewpoint: {
			hostName: self.name,
			place: self,
			hostCount: 1,
			neighbourCount: 1,
		},
	});
	const rooms = new Rooms(budgets, options.roomHolders ?? 'fleet');
	const shifts = new Shifts();
	const waiters = new Waiters();
	const shared = {
		budgets,
		table,
		shifts,
		waiters,
		links: new LinkBytes(),
		safeguards,
		ownRegion: self.region,
	};
	const placer = new Placer({...shared, rooms, random});
	const router = new RequestRouter({...shared, placer});
	return {hostName: self.name, table, rooms, shifts, waiters, placer, router};
}

function onConfigurationChanged(
	parts: Parts,
	event: ConfigurationChanged,
	context: Context,
): void {
	const {table, rooms, shifts} = parts;
	table.applyConfiguration(event.current, context.now);
	rooms.updateTotals(table.pools.values(), context);
	rooms.removeOthers(table.pools.values(), context);
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
	raiseRoomChanged(parts, context);
}

function onMembersChanged(
	parts: Parts,
	event: MembersChanged,
	context: Context,
): void {
	const names = event.members.map((member) => member.name).toSorted();
	const count = Math.max(1, names.length);
	const index = Math.max(0, names.indexOf(parts.hostName));
	parts.placer.rank = {index, count};
	const {place} = parts.table;
	const neighbours = event.members.filter(
		(member) =>
			member.region === place.region &&
			member.failureDomain === place.failureDomain,
	);
	parts.table.setHostCounts(count, Math.max(1, neighbours.length), context.now);
}

function onBudgetChanged(
	parts: Parts,
	event: BudgetChanged,
	context: Context,
): void {
	const isOurs = ['room/', 'link/', 'shift/'].some((prefix) =>
		event.budgetId.startsWith(prefix),
	);
	if (isOurs) {
		raiseRoomChanged(parts, context);
	}
}

function onTick(parts: Parts, context: Context): void {
	parts.rooms.updateTotals(parts.table.pools.values(), context);
	parts.shifts.onTick(context);
	parts.waiters.removeExpired(context.now);
	// Time alone ends ejections and makes the way to the next region worth it.
	raiseRoomChanged(parts, context);
}

function raiseRoomChanged(parts: Parts, context: Context): void {
	for (const pool of parts.waiters.listPools()) {
		context.raise({type: 'room-changed', pool});
	}
}
