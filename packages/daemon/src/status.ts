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

/** What this host could take now of one budget. */
export type BudgetStatus = {readonly id: string; readonly available: number};

/** The answer of `GET /status`; `docs/ADMINISTRATION.md` describes it. */
export type HostStatus = {
	readonly self: string;
	readonly version: number;
	readonly hosts: readonly KnownHostStatus[];
	readonly shifts: readonly Shift[];
	readonly drains: readonly Drain[];
	readonly budgets: readonly BudgetStatus[];
};

export type StatusSource = {
	readonly kernel: Kernel;
	readonly current: VersionedConfiguration;
	readonly versions: readonly ObservedVersion[];
	readonly now: Milliseconds;
};

/** What this host knows of the fleet. */
export function computeStatus(source: StatusSource): HostStatus {
	const {version, configuration} = source.current;
	return {
		self: source.kernel.self.name,
		version,
		hosts: listHosts(source),
		shifts: configuration.shifts,
		drains: configuration.drains,
		budgets: listBudgets(source, configuration),
	};
}

function listHosts({kernel, versions, now}: StatusSource): KnownHostStatus[] {
	const membership = kernel.inject(membershipKey);
	const live = new Set(membership.listLive(now).map(({name}) => name));
	return membership
		.listKnown()
		.map(({name, region, failureDomain, heardAt}) => {
			const found = versions.find(({host}) => host === name);
			// A host that was never heard is given a grace, which says little.
			const isHeard = heardAt !== undefined && live.has(name);
			return {
				name,
				region,
				failureDomain,
				live: name === kernel.self.name || isHeard,
				version: found?.version ?? 0,
				ageMs: found === undefined ? undefined : Math.round(found.age),
			};
		});
}

/** Of each customer's rate and each room. */
function listBudgets(
	{kernel, now}: StatusSource,
	{customers, pools, regions}: Configuration,
): BudgetStatus[] {
	const budgets = kernel.inject(budgetsKey);
	const rates = customers.map(({name}) => toCustomerBudgetId(name));
	const rooms = pools.flatMap((pool) =>
		regions.map((region) => toRoomBudgetId(pool.name, region.name)),
	);
	return [...rates, ...rooms].map((id) => ({
		id,
		available: budgets.getAvailable(id, now),
	}));
}
