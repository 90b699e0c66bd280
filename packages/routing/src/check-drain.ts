import type {
	Configuration,
	Drain,
	Milliseconds,
	PoolName,
	RegionName,
	Server,
} from '@parsleyvale/shared';
import {DrainedServers} from './drained-servers.js';
import {Topology} from './topology.js';

const minimumSlotHoldDuration: Milliseconds = 1;

/** Requests in flight for a pool in a region, summed over all entry hosts. */
export type RegionLoad = {
	readonly pool: PoolName;
	readonly region: RegionName;
	readonly inFlight: number;
	/** Current mean time for which a request occupies its slot. */
	readonly slotHoldDuration: Milliseconds;
};

/** Capacity that a pool would lack after a drain. */
export type DrainShortfall = {
	readonly pool: PoolName;
	/** Slots that the excess load of the regions needs beyond the free ones. */
	readonly missingSlots: number;
	/** Free slots in all regions, after the load of each region itself. */
	readonly freeSlots: number;
	/** Whether the drain would leave the pool without any server. */
	readonly isLastServer: boolean;
};

export type DrainCheckResult =
	| {readonly kind: 'fits'}
	/** Only some of the servers can be drained at the current load. */
	| {
			readonly kind: 'pace';
			/** Servers that can be drained at the current load, in order. */
			readonly drainable: readonly string[];
			/** Servers that cannot be drained yet. */
			readonly deferred: readonly string[];
			readonly shortfalls: readonly DrainShortfall[];
	  }
	| {
			readonly kind: 'refuse';
			readonly shortfalls: readonly DrainShortfall[];
	  };

/**
 * Checks whether the remaining servers can take the load of a planned drain
 * without being overloaded. A pure function: the caller supplies the measured
 * load.
 *
 * @example
 * const result = checkDrain(configuration, drain, [
 * 	{pool: 'reader-desk', region: 'tpe', inFlight: 18, slotHoldDuration: 20},
 * ]);
 * if (result.kind === 'refuse') {
 * 	// Report result.shortfalls to the operator.
 * }
 */
export function checkDrain(
	configuration: Configuration,
	drain: Drain,
	load: readonly RegionLoad[],
): DrainCheckResult {
	const shortfalls = computeShortfalls(configuration, [drain], load);
	if (shortfalls.length === 0) {
		return {kind: 'fits'};
	}

	const servers = listDrainedServers(configuration, drain);
	const drainable = listDrainableServers(configuration, servers, load);
	if (drainable.length === 0) {
		return {kind: 'refuse', shortfalls};
	}

	const deferred = servers
		.map((server) => server.name)
		.filter((name) => !drainable.includes(name));
	return {kind: 'pace', drainable, deferred, shortfalls};
}

/** Lists the servers, in order of name, that can be drained together at the current load. */
function listDrainableServers(
	configuration: Configuration,
	servers: readonly Server[],
	load: readonly RegionLoad[],
): string[] {
	const drainable: string[] = [];
	for (const name of servers.map((server) => server.name).toSorted()) {
		const drains = [...drainable, name].map((server) => toServerDrain(server));
		if (computeShortfalls(configuration, drains, load).length === 0) {
			drainable.push(name);
		}
	}

	return drainable;
}

function computeShortfalls(
	configuration: Configuration,
	drains: readonly Drain[],
	load: readonly RegionLoad[],
): DrainShortfall[] {
	const before = new DrainedServers(configuration, new Set());
	const after = new DrainedServers(
		{...configuration, drains: [...configuration.drains, ...drains]},
		new Set(),
	);
	const topology = new Topology(configuration);
	return configuration.pools.flatMap((pool) => {
		const remaining = pool.servers.filter((server) => !after.hasServer(server));
		const isAffected = pool.servers.some(
			(server) => after.hasServer(server) && !before.hasServer(server),
		);
		const poolLoad = load.filter((regionLoad) => regionLoad.pool === pool.name);
		const requiredSlots = poolLoad.reduce(
			(sum, regionLoad) =>
				sum +
				computeRequiredSlots(regionLoad, remaining, pool.headroom, topology),
			0,
		);
		const freeSlots = computeFreeSlots(poolLoad, remaining, pool.headroom);
		const missingSlots = Math.ceil(requiredSlots) - freeSlots;
		const isLastServer = remaining.length === 0;
		return isAffected && (missingSlots > 0 || isLastServer)
			? [
					{
						pool: pool.name,
						missingSlots: Math.max(0, missingSlots),
						freeSlots,
						isLastServer,
					},
				]
			: [];
	});
}

/**
 * Computes the slots that a region's excess load needs in other regions. A
 * request occupies its slot there for the round trip as well.
 */
function computeRequiredSlots(
	regionLoad: RegionLoad,
	remaining: readonly Server[],
	headroom: number,
	topology: Topology,
): number {
	const capacity = computeCapacity(
		listServersInRegion(remaining, regionLoad.region),
		headroom,
	);
	const roundTrips = remaining
		.filter((server) => server.region !== regionLoad.region)
		.flatMap(
			(server) =>
				topology.findRegionRoundTrip(regionLoad.region, server.region) ?? [],
		);
	const roundTrip = roundTrips.length === 0 ? 0 : Math.min(...roundTrips);
	const excess = Math.max(0, regionLoad.inFlight - capacity);
	return (
		excess *
		(1 +
			roundTrip /
				Math.max(minimumSlotHoldDuration, regionLoad.slotHoldDuration))
	);
}

/** Sums the free slots of all regions, after the load of each region itself. */
function computeFreeSlots(
	poolLoad: readonly RegionLoad[],
	remaining: readonly Server[],
	headroom: number,
): number {
	const regions = new Set(remaining.map((server) => server.region));
	let freeSlots = 0;
	for (const region of regions) {
		const inFlight =
			poolLoad.find((regionLoad) => regionLoad.region === region)?.inFlight ??
			0;
		const capacity = computeCapacity(
			listServersInRegion(remaining, region),
			headroom,
		);
		freeSlots += Math.max(0, capacity - inFlight);
	}

	return freeSlots;
}

function listServersInRegion(
	servers: readonly Server[],
	region: RegionName,
): Server[] {
	return servers.filter((server) => server.region === region);
}

function computeCapacity(servers: readonly Server[], headroom: number): number {
	const slots = servers.reduce((sum, server) => sum + server.slots, 0);
	return Math.floor(slots * (1 - headroom));
}

function listDrainedServers(
	configuration: Configuration,
	drain: Drain,
): Server[] {
	const drainedServers = new DrainedServers(
		{...configuration, drains: [drain]},
		new Set(),
	);
	return configuration.pools
		.flatMap((pool) => pool.servers)
		.filter((server) => drainedServers.hasServer(server));
}

function toServerDrain(server: string): Drain {
	return {
		name: server,
		target: {kind: 'server', name: server},
		state: 'running',
	};
}
