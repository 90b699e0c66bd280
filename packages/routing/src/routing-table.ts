import type {
	Configuration,
	Milliseconds,
	PoolName,
	ServerName,
	VersionedConfiguration,
} from '@parsleyvale/shared';
import type {Chooser} from './choosers/chooser.js';
import {DrainedServers} from './drained-servers.js';
import {PoolState} from './pool-state.js';
import type {Safeguards} from './safeguards.js';
import type {LocalHost} from './servers/ranking.js';
import type {RegionServers} from './servers/region-servers.js';
import {Topology, type Location} from './topology.js';

/** A region that requests can be sent to, and the network delay to it. */
export type Destination = {
	readonly regionServers: RegionServers;
	/** Network round-trip time. */
	readonly roundTrip: Milliseconds;
};

/** Pools, servers and destinations of the active configuration. */
export class RoutingTable {
	readonly pools = new Map<PoolName, PoolState>();
	topology: Topology | undefined;
	configuration: Configuration | undefined;
	readonly #createChooser: () => Chooser;
	readonly #safeguards: Safeguards;
	readonly #leaving = new Set<ServerName>();
	readonly #destinations = new WeakMap<PoolState, Destination[]>();
	#localHost: LocalHost;

	constructor(options: {
		readonly createChooser: () => Chooser;
		readonly safeguards: Safeguards;
		readonly localHost: LocalHost;
	}) {
		this.#createChooser = options.createChooser;
		this.#safeguards = options.safeguards;
		this.#localHost = options.localHost;
	}

	/** Region and failure domain of this host. */
	get location(): Location {
		return this.#localHost.location;
	}

	applyConfiguration(current: VersionedConfiguration, now: Milliseconds): void {
		// Servers in the first configuration after a start need no slow start.
		const rampStartedAt = this.configuration === undefined ? undefined : now;
		this.configuration = current.configuration;
		this.topology = new Topology(current.configuration);
		this.#updatePools(rampStartedAt);
	}

	/**
	 * Sets the number of live hosts, overall and in the failure domain of this
	 * host.
	 */
	setHostCounts(
		hostCount: number,
		domainHostCount: number,
		now: Milliseconds,
	): void {
		this.#localHost = {...this.#localHost, hostCount, domainHostCount};
		this.#updatePools(now);
	}

	/**
	 * Sets the servers that the platform lists as leaving, regardless of drains.
	 */
	setLeaving(serverNames: readonly ServerName[], now: Milliseconds): void {
		this.#leaving.clear();
		for (const name of serverNames) {
			this.#leaving.add(name);
		}

		this.#updatePools(now);
	}

	/**
	 * Lists the reachable regions with servers of the pool in service, nearest first.
	 */
	listDestinations(pool: PoolState): readonly Destination[] {
		return this.#destinations.get(pool) ?? [];
	}

	#computeDestinations(pool: PoolState): Destination[] {
		const destinations: Destination[] = [];
		for (const region of pool.regions.values()) {
			const roundTrip = this.topology?.findRegionRoundTrip(
				this.#localHost.location.region,
				region.region,
			);
			if (roundTrip !== undefined && region.inService.length > 0) {
				destinations.push({regionServers: region, roundTrip});
			}
		}

		return destinations.toSorted(compareDestinations);
	}

	#updatePools(rampStartedAt: Milliseconds | undefined): void {
		const {configuration} = this;
		if (configuration === undefined) {
			return;
		}

		const drainedServers = new DrainedServers(configuration, this.#leaving);
		const poolNames = new Set(configuration.pools.map((pool) => pool.name));
		for (const name of this.pools.keys()) {
			if (!poolNames.has(name)) {
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
				drainedServers,
				rampStartedAt,
				localHost: this.#localHost,
			});
			this.#destinations.set(state, this.#computeDestinations(state));
		}
	}
}

function compareDestinations(one: Destination, other: Destination): number {
	return (
		one.roundTrip - other.roundTrip ||
		// Break ties by name, so that all hosts use the same order.
		(one.regionServers.region < other.regionServers.region ? -1 : 1)
	);
}
