import type {
	Configuration,
	Milliseconds,
	PoolName,
	ServerName,
	VersionedConfiguration,
} from '@parsleyvale/shared';
import type {Chooser} from './choosers/chooser.js';
import {DrainedPlaces} from './drained-places.js';
import {PoolState} from './pool-state.js';
import type {Safeguards} from './safeguards.js';
import type {Viewpoint} from './servers/ranking.js';
import type {RegionServers} from './servers/region-servers.js';
import {Topology, type Place} from './topology.js';

/** A region that a request may go to, and what the way there costs. */
export type RegionWay = {
	readonly region: RegionServers;
	/** There and back. */
	readonly roundTrip: Milliseconds;
};

/** Pools, servers and ways of the configuration in force. */
export class RoutingTable {
	readonly pools = new Map<PoolName, PoolState>();
	topology: Topology | undefined;
	configuration: Configuration | undefined;
	readonly #createChooser: () => Chooser;
	readonly #safeguards: Safeguards;
	readonly #leaving = new Set<ServerName>();
	readonly #ways = new WeakMap<PoolState, RegionWay[]>();
	#viewpoint: Viewpoint;

	constructor(options: {
		readonly createChooser: () => Chooser;
		readonly safeguards: Safeguards;
		readonly viewpoint: Viewpoint;
	}) {
		this.#createChooser = options.createChooser;
		this.#safeguards = options.safeguards;
		this.#viewpoint = options.viewpoint;
	}

	/** Where this host stands. */
	get place(): Place {
		return this.#viewpoint.place;
	}

	applyConfiguration(current: VersionedConfiguration, now: Milliseconds): void {
		// A host that starts takes the servers it finds for warm.
		const coldSince = this.configuration === undefined ? undefined : now;
		this.configuration = current.configuration;
		this.topology = new Topology(current.configuration);
		this.#updatePools(coldSince);
	}

	/** Puts the count of live hosts and of those in this failure domain in force. */
	setHostCounts(
		hostCount: number,
		neighbourCount: number,
		now: Milliseconds,
	): void {
		this.#viewpoint = {...this.#viewpoint, hostCount, neighbourCount};
		this.#updatePools(now);
	}

	/** Servers that the platform lists as leaving, whatever the drains say. */
	setLeaving(names: readonly ServerName[], now: Milliseconds): void {
		this.#leaving.clear();
		for (const name of names) {
			this.#leaving.add(name);
		}

		this.#updatePools(now);
	}

	/** The regions with servers for the pool, nearest first. */
	listWays(pool: PoolState): readonly RegionWay[] {
		return this.#ways.get(pool) ?? [];
	}

	#computeWays(pool: PoolState): RegionWay[] {
		const ways: RegionWay[] = [];
		for (const region of pool.regions.values()) {
			const roundTrip = this.topology?.findRegionRoundTrip(
				this.#viewpoint.place.region,
				region.region,
			);
			if (roundTrip !== undefined && region.usable.length > 0) {
				ways.push({region, roundTrip});
			}
		}

		return ways.toSorted(compareWays);
	}

	#updatePools(coldSince: Milliseconds | undefined): void {
		const {configuration} = this;
		if (configuration === undefined) {
			return;
		}

		const drained = new DrainedPlaces(configuration, this.#leaving);
		const names = new Set(configuration.pools.map((pool) => pool.name));
		for (const name of this.pools.keys()) {
			if (!names.has(name)) {
				this.pools.delete(name);
			}
		}

		for (const pool of configuration.pools) {
			const state =
				this.pools.get(pool.name) ??
				new PoolState(pool, this.#createChooser, this.#safeguards);
			this.pools.set(pool.name, state);
			state.applyUpdate(pool, {
				configuration,
				drained,
				coldSince,
				viewpoint: this.#viewpoint,
			});
			this.#ways.set(state, this.#computeWays(state));
		}
	}
}

function compareWays(one: RegionWay, other: RegionWay): number {
	return (
		one.roundTrip - other.roundTrip ||
		// Equal ways: every host must come to the same order.
		(one.region.region < other.region.region ? -1 : 1)
	);
}
