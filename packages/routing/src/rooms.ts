import {toRoomBudgetId, type Budgets, type Context} from '@parsleyvale/kernel';
import type {Milliseconds} from '@parsleyvale/shared';
import type {PoolState} from './pool-state.js';
import type {RegionServers} from './servers/region-servers.js';

/** Part of a share that only requests of the region itself may fill. */
const reservedPart = 0.2;

/**
 * Whose shares the room of a region is: those of all entry hosts, so that the
 * region stays of use when its own entry hosts fail, or those of its own, so
 * that shares are larger and others borrow.
 */
export type RoomHolders = 'fleet' | 'region';

/** This host among the live ones, in the order of their names. */
export type HostRank = {readonly index: number; readonly count: number};

/**
 * The room budgets. Their totals follow from the configuration and the ramps
 * alone, so that hosts agree on them; what one host thinks of a server's
 * health binds only its own share.
 */
export class Rooms {
	readonly #budgets: Budgets;
	readonly #holders: RoomHolders;
	readonly #defined = new Map<string, number>();

	constructor(budgets: Budgets, holders: RoomHolders) {
		this.#budgets = budgets;
		this.#holders = holders;
	}

	/** Defines the budgets whose totals have changed. */
	updateTotals(pools: Iterable<PoolState>, context: Context): void {
		for (const pool of pools) {
			for (const region of pool.regions.values()) {
				this.#updateTotal(pool, region, context);
			}
		}
	}

	/** Removes the budgets of pools and regions that are gone. */
	removeOthers(pools: Iterable<PoolState>, context: Context): void {
		const ids = new Set(
			[...pools].flatMap((pool) =>
				[...pool.regions.values()].map((region) => toRoomId(region)),
			),
		);
		for (const id of this.#defined.keys()) {
			if (!ids.has(id)) {
				this.#defined.delete(id);
				this.#budgets.remove(id, context);
			}
		}
	}

	/**
	 * Whether this host may use more of its share, given how many slots are on
	 * servers that it has ejected. Rounding differs by the host's rank, so that
	 * the hosts together come to the trusted part.
	 */
	hasTrustedRoom(
		region: RegionServers,
		rank: HostRank,
		now: Milliseconds,
	): boolean {
		const trusted = region.computeTrustedPart(now);
		if (trusted === 1) {
			return true;
		}

		const available = this.#budgets.getAvailable(toRoomId(region), now);
		const rounding = (rank.index + 0.5) / rank.count;
		const limit = Math.floor(
			(available + region.inFlight) * trusted + rounding,
		);
		return region.inFlight < limit;
	}

	/**
	 * Whether the region could take a request from elsewhere and still have
	 * room for its own: such a request holds a slot for the way as well, so
	 * that regions which fill each other to the brim slow each other down.
	 */
	hasRoomForOthers(region: RegionServers, now: Milliseconds): boolean {
		const available = this.#budgets.getAvailable(toRoomId(region), now);
		const share = available + region.inFlight;
		return available - 1 >= share * reservedPart;
	}

	#updateTotal(pool: PoolState, region: RegionServers, context: Context): void {
		const id = toRoomId(region);
		const total = region.computeRoom(pool.pool.headroom, context.now);
		if (this.#defined.get(id) === total) {
			return;
		}

		this.#defined.set(id, total);
		this.#budgets.define(
			{
				kind: 'count',
				id,
				total,
				maxHoldDuration: pool.longestDeadline,
				region: this.#holders === 'region' ? region.region : undefined,
			},
			context,
		);
	}
}

export function toRoomId(region: RegionServers): string {
	return toRoomBudgetId(region.pool, region.region);
}
