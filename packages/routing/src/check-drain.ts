import type {
	Configuration,
	Drain,
	Milliseconds,
	PoolName,
	RegionName,
	Server,
} from '@parsleyvale/shared';
import {DrainedPlaces} from './drained-places.js';
import {Topology} from './topology.js';

const shortestHold: Milliseconds = 1;

/** Requests in flight of one pool in one region, over all entry hosts. */
export type RegionLoad = {
	readonly pool: PoolName;
	readonly region: RegionName;
	readonly inFlight: number;
	/** Mean time that one of them holds its slot now. */
	readonly holdTime: Milliseconds;
};

/** What a drain would push out of its place without room elsewhere. */
export type DrainShortfall = {
	readonly pool: PoolName;
	/** Slots that are missing after the drain. */
	readonly missing: number;
	/** Slots that all regions together have beyond their own load. */
	readonly roomLeft: number;
	/** No server of the pool is left at all. */
	readonly isLast: boolean;
};

export type DrainVerdict =
	| {readonly kind: 'fits'}
	/** The servers may be drained one after the other as load allows. */
	| {
			readonly kind: 'pace';
			/** Servers that can be drained now, in this order. */
			readonly now: readonly string[];
			readonly later: readonly string[];
			readonly shortfalls: readonly DrainShortfall[];
	  }
	| {
			readonly kind: 'refuse';
			readonly shortfalls: readonly DrainShortfall[];
	  };

/**
 * Says before a drain starts what could not be taken elsewhere without
 * overloading it. Pure: the load is the caller's measurement.
 *
 * @example
 * const verdict = checkDrain(configuration, drain, [
 * 	{pool: 'reader-desk', region: 'tpe', inFlight: 18, holdTime: 20},
 * ]);
 * if (verdict.kind === 'refuse') {
 * 	// Tell the operator of verdict.shortfalls.
 * }
 */
export function checkDrain(
	configuration: Configuration,
	drain: Drain,
	load: readonly RegionLoad[],
): DrainVerdict {
	const shortfalls = computeShortfalls(configuration, [drain], load);
	if (shortfalls.length === 0) {
		return {kind: 'fits'};
	}

	const servers = listDrained(configuration, drain);
	const now = chooseFirst(configuration, servers, load);
	if (now.length === 0) {
		return {kind: 'refuse', shortfalls};
	}

	const later = servers
		.map((server) => server.name)
		.filter((name) => !now.includes(name));
	return {kind: 'pace', now, later, shortfalls};
}

/** As many servers, in the order of their names, as still fit. */
function chooseFirst(
	configuration: Configuration,
	servers: readonly Server[],
	load: readonly RegionLoad[],
): string[] {
	const chosen: string[] = [];
	for (const name of servers.map((server) => server.name).toSorted()) {
		const drains = [...chosen, name].map((server) => toServerDrain(server));
		if (computeShortfalls(configuration, drains, load).length === 0) {
			chosen.push(name);
		}
	}

	return chosen;
}

function computeShortfalls(
	configuration: Configuration,
	drains: readonly Drain[],
	load: readonly RegionLoad[],
): DrainShortfall[] {
	const before = new DrainedPlaces(configuration, new Set());
	const after = new DrainedPlaces(
		{...configuration, drains: [...configuration.drains, ...drains]},
		new Set(),
	);
	const topology = new Topology(configuration);
	return configuration.pools.flatMap((pool) => {
		const left = pool.servers.filter((server) => !after.hasServer(server));
		const isTouched = pool.servers.some(
			(server) => after.hasServer(server) && !before.hasServer(server),
		);
		const parts = load.filter((part) => part.pool === pool.name);
		const need = parts.reduce(
			(sum, part) => sum + computeNeed(part, left, pool.headroom, topology),
			0,
		);
		const roomLeft = computeFreeRoom(parts, left, pool.headroom);
		const missing = Math.ceil(need) - roomLeft;
		const isLast = left.length === 0;
		return isTouched && (missing > 0 || isLast)
			? [{pool: pool.name, missing: Math.max(0, missing), roomLeft, isLast}]
			: [];
	});
}

/** Slots that a region's load needs elsewhere, each held for the way as well. */
function computeNeed(
	part: RegionLoad,
	left: readonly Server[],
	headroom: number,
	topology: Topology,
): number {
	const room = computeRoom(listRegion(left, part.region), headroom);
	const ways = left
		.filter((server) => server.region !== part.region)
		.flatMap(
			(server) =>
				topology.findRegionRoundTrip(part.region, server.region) ?? [],
		);
	const way = ways.length === 0 ? 0 : Math.min(...ways);
	const excess = Math.max(0, part.inFlight - room);
	return excess * (1 + way / Math.max(shortestHold, part.holdTime));
}

/** Slots that regions have beyond their own load. */
function computeFreeRoom(
	parts: readonly RegionLoad[],
	left: readonly Server[],
	headroom: number,
): number {
	const regions = new Set(left.map((server) => server.region));
	let free = 0;
	for (const region of regions) {
		const own = parts.find((part) => part.region === region)?.inFlight ?? 0;
		const room = computeRoom(listRegion(left, region), headroom);
		free += Math.max(0, room - own);
	}

	return free;
}

function listRegion(servers: readonly Server[], region: RegionName): Server[] {
	return servers.filter((server) => server.region === region);
}

function computeRoom(servers: readonly Server[], headroom: number): number {
	const slots = servers.reduce((sum, server) => sum + server.slots, 0);
	return Math.floor(slots * (1 - headroom));
}

function listDrained(configuration: Configuration, drain: Drain): Server[] {
	const places = new DrainedPlaces(
		{...configuration, drains: [drain]},
		new Set(),
	);
	return configuration.pools
		.flatMap((pool) => pool.servers)
		.filter((server) => places.hasServer(server));
}

function toServerDrain(server: string): Drain {
	return {
		name: server,
		target: {kind: 'server', name: server},
		state: 'running',
	};
}
