import type {ObservedVersion} from '@parsleyvale/configuration';
import {
	budgetsKey,
	membershipKey,
	toCustomerBudgetId,
	toRoomBudgetId,
	type Kernel,
} from '@parsleyvale/kernel';
import type {
	Configuration,
	Drain,
	Milliseconds,
	Shift,
	VersionedConfiguration,
} from '@parsleyvale/shared';

export type KnownHostStatus = {
	readonly name: string;
	readonly region: string;
	readonly failureDomain: string;
	readonly live: boolean;
	readonly version: number;
	readonly ageMs: Milliseconds | undefined;
};

/** Amount of a budget that this host can take now. */
export type BudgetStatus = {readonly id: string; readonly available: number};

/** JSON body of `GET /status`, described in `docs/ADMINISTRATION.md`. */
export type HostStatus = {
	readonly self: string;
	readonly version: number;
	readonly hosts: readonly KnownHostStatus[];
	readonly shifts: readonly Shift[];
	readonly drains: readonly Drain[];
	readonly budgets: readonly BudgetStatus[];
};

export type StatusInput = {
	readonly kernel: Kernel;
	readonly current: VersionedConfiguration;
	readonly versions: readonly ObservedVersion[];
	readonly now: Milliseconds;
};

/** Computes the status of this host and its view of the fleet. */
export function computeStatus(input: StatusInput): HostStatus {
	const {version, configuration} = input.current;
	return {
		self: input.kernel.self.name,
		version,
		hosts: listHosts(input),
		shifts: configuration.shifts,
		drains: configuration.drains,
		budgets: listBudgets(input, configuration),
	};
}

function listHosts({kernel, versions, now}: StatusInput): KnownHostStatus[] {
	const membership = kernel.inject(membershipKey);
	const live = new Set(membership.listLive(now).map(({name}) => name));
	return membership
		.listKnown()
		.map(({name, region, failureDomain, lastHeardAt}) => {
			const observed = versions.find(({host}) => host === name);
			// Hosts never heard from are listed as live for a grace period, without
			// evidence that they are.
			const isHeardLive = lastHeardAt !== undefined && live.has(name);
			return {
				name,
				region,
				failureDomain,
				live: name === kernel.self.name || isHeardLive,
				version: observed?.version ?? 0,
				ageMs: observed === undefined ? undefined : Math.round(observed.age),
			};
		});
}

/** Lists the rate budget of each customer and the capacity budgets of pools. */
function listBudgets(
	{kernel, now}: StatusInput,
	{customers, pools, regions}: Configuration,
): BudgetStatus[] {
	const budgets = kernel.inject(budgetsKey);
	const rateBudgetIds = customers.map(({name}) => toCustomerBudgetId(name));
	const capacityBudgetIds = pools.flatMap((pool) =>
		regions.map((region) => toRoomBudgetId(pool.name, region.name)),
	);
	return [...rateBudgetIds, ...capacityBudgetIds].map((id) => ({
		id,
		available: budgets.getAvailable(id, now),
	}));
}
