import type {Milliseconds} from '@parsleyvale/shared';
import type {ServerState} from './server-state.js';

/** Servers whose slowness differs by a smaller factor cost a request the same. */
const equalSlownessFactor = 1.25;

/** How unevenly the requests of a pool are distributed at one moment. */
export type Unevenness = {
	/** Standard deviation of the requests per slot between servers, in percent of a slot. */
	readonly spreadPercent: number;
	/** Number of servers that have a queue while one of equal cost has a free slot. */
	readonly overrunServers: number;
};

type SampledServer = {
	readonly region: string;
	readonly slowness: number;
	readonly slots: number;
	readonly load: number;
};

/**
 * Measures the unevenness of a pool by this host's estimates; undefined if the
 * pool has fewer than two usable servers or no requests.
 *
 * @example
 * const unevenness = measureUnevenness(pool.servers, clock.now());
 */
export function measureUnevenness(
	states: readonly ServerState[],
	now: Milliseconds,
): Unevenness | undefined {
	return computeUnevenness(
		states
			.filter((state) => state.isUsable(now) && !state.isStarting(now))
			.map((state) => ({
				region: state.server.region,
				slowness: state.computeSlowness(now),
				slots: state.server.slots,
				load: state.computeLoad(now),
			})),
	);
}

/**
 * Computes the unevenness of servers with the given loads. Servers cost the same
 * if they are in the same region and about as slow as each other.
 *
 * @example
 * const unevenness = computeUnevenness([
 * 	{region: 'east', slowness: 1, slots: 4, load: 5},
 * 	{region: 'east', slowness: 1, slots: 4, load: 1},
 * ]); // {spreadPercent: 50, overrunServers: 1}
 */
export function computeUnevenness(
	servers: readonly SampledServer[],
): Unevenness | undefined {
	let sum = 0;
	let sumOfSquares = 0;
	for (const {load, slots} of servers) {
		const perSlot = load / slots;
		sum += perSlot;
		sumOfSquares += perSlot * perSlot;
	}

	if (servers.length < 2 || sum === 0) {
		return undefined;
	}

	const mean = sum / servers.length;
	const variance = Math.max(0, sumOfSquares / servers.length - mean * mean);
	return {
		spreadPercent: Math.sqrt(variance) * 100,
		overrunServers: countOverrunServers(servers),
	};
}

function countOverrunServers(servers: readonly SampledServer[]): number {
	const withFreeSlot = servers.filter(({load, slots}) => load <= slots - 1);
	return servers.filter(
		(server) =>
			server.load >= server.slots + 1 &&
			withFreeSlot.some(
				(other) =>
					other.region === server.region &&
					other.slowness <= server.slowness * equalSlownessFactor &&
					server.slowness <= other.slowness * equalSlownessFactor,
			),
	).length;
}
