import {toRoomBudgetId, type Budgets, type Context} from '@parsleyvale/kernel';
import type {Milliseconds} from '@parsleyvale/shared';
import type {PoolState} from './pool-state.js';
import type {RegionServers} from './servers/region-servers.js';

/** Fraction of a share reserved for requests from the region itself. */
const reservedFraction = 0.2;

/**
 * Hosts that hold the shares of a region's capacity budget. With `fleet`, all
 * entry hosts hold shares, so that the region remains usable when its own
 * entry hosts fail. With `region`, only the entry hosts of the region do:
 * shares are larger, and other hosts have to borrow.
 */
export type CapacityShareScope = 'fleet' | 'region';

/** Rank of this host among the live hosts, ordered by name. */
export type HostRank = {readonly index: number; readonly count: number};

/**
 * Capacity budgets (`room/...`), one for each pool and region. Their totals
 * depend only on the configuration and on slow start, so that hosts agree on
 * them. Server health as seen by one host limits only that host's share.
 */
export class CapacityBudgets {
	readonly #budgets: Budgets;
	readonly #shareScope: CapacityShareScope;
	readonly #totals = new Map<string, number>();

	constructor(budgets: Budgets, shareScope: CapacityShareScope) {
		this.#budgets = budgets;
		this.#shareScope = shareScope;
	}

	/** Redefines the budgets whose totals have changed. */
	updateTotals(pools: Iterable<PoolState>, context: Context): void {
		for (const pool of pools) {
			for (const region of pool.regions.values()) {
				this.#updateTotal(pool, region, context);
			}
		}
	}

	/** Removes the budgets of pools and regions that no longer exist. */
	removeObsolete(pools: Iterable<PoolState>, context: Context): void {
		const ids = new Set(
			[...pools].flatMap((pool) =>
				[...pool.regions.values()].map((region) => toCapacityBudgetId(region)),
			),
		);
		for (const id of this.#totals.keys()) {
			if (!ids.has(id)) {
				this.#totals.delete(id);
				this.#budgets.remove(id, context);
			}
		}
	}

	/**
	 * Whether this host may use more of its share, excluding the fraction on
	 * servers that it has ejected. Rounding depends on the host's rank, so that
	 * the limits of all hosts add up to the remaining fraction.
	 */
	hasNonEjectedCapacity(
		region: RegionServers,
		rank: HostRank,
		now: Milliseconds,
	): boolean {
		const nonEjectedFraction = region.computeNonEjectedFraction(now);
		if (nonEjectedFraction === 1) {
			return true;
		}

		const available = this.#budgets.getAvailable(
			toCapacityBudgetId(region),
			now,
		);
		const rounding = (rank.index + 0.5) / rank.count;
		const limit = Math.floor(
			(available + region.inFlight) * nonEjectedFraction + rounding,
		);
		return region.inFlight < limit;
	}

	/**
	 * Whether the region can take a request from another region and keep its
	 * reserved capacity. Remote requests hold their slots for the round trip as
	 * well, so that regions that fill each other completely would lose throughput.
	 */
	hasCapacityForRemote(region: RegionServers, now: Milliseconds): boolean {
		const available = this.#budgets.getAvailable(
			toCapacityBudgetId(region),
			now,
		);
		const share = available + region.inFlight;
		return available - 1 >= share * reservedFraction;
	}

	#updateTotal(pool: PoolState, region: RegionServers, context: Context): void {
		const id = toCapacityBudgetId(region);
		const total = region.computeCapacity(pool.pool.headroom, context.now);
		if (this.#totals.get(id) === total) {
			return;
		}

		this.#totals.set(id, total);
		this.#budgets.define(
			{
				kind: 'count',
				id,
				total,
				maxHoldDuration: pool.maximumDeadline,
				region: this.#shareScope === 'region' ? region.region : undefined,
			},
			context,
		);
	}
}

export function toCapacityBudgetId(region: RegionServers): string {
	return toRoomBudgetId(region.pool, region.region);
}
