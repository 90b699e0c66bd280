import {
	second,
	type Configuration,
	type Milliseconds,
	type Pool,
	type RegionName,
	type Server,
} from '@parsleyvale/shared';
import type {Chooser} from './choosers/chooser.js';
import type {DrainedServers} from './drained-servers.js';
import {RetryBudget} from './retry-budget.js';
import type {Safeguards} from './safeguards.js';
import type {LocalHost} from './servers/ranking.js';
import {RegionServers} from './servers/region-servers.js';

const defaultDeadline: Milliseconds = 30 * second;

export type PoolUpdate = {
	readonly configuration: Configuration;
	readonly drainedServers: DrainedServers;
	/** Start of the slow start of new servers; `undefined` for none. */
	readonly rampStartedAt: Milliseconds | undefined;
	readonly localHost: LocalHost;
};

/** State of a pool as seen by this host. */
export class PoolState {
	/** Longest deadline of all routes to the pool. */
	maximumDeadline: Milliseconds = defaultDeadline;
	readonly retryBudget = new RetryBudget();
	readonly regions = new Map<RegionName, RegionServers>();
	#pool: Pool;
	readonly #createChooser: () => Chooser;
	readonly #safeguards: Safeguards;

	constructor(
		pool: Pool,
		createChooser: () => Chooser,
		safeguards: Safeguards,
	) {
		this.#pool = pool;
		this.#createChooser = createChooser;
		this.#safeguards = safeguards;
	}

	get pool(): Pool {
		return this.#pool;
	}

	applyUpdate(pool: Pool, update: PoolUpdate): void {
		const {configuration, drainedServers, rampStartedAt, localHost} = update;
		this.#pool = pool;
		this.maximumDeadline = computeMaximumDeadline(configuration, pool);
		const regionNames = new Set([
			...this.regions.keys(),
			...pool.servers.map((server) => server.region),
		]);
		for (const name of regionNames) {
			const servers = pool.servers.filter((server) => server.region === name);
			const region = this.#getRegion(name);
			region.applyServers(
				servers,
				(server: Server) => drainedServers.hasServer(server),
				rampStartedAt,
				localHost,
			);
			if (servers.length === 0 && region.inFlight === 0) {
				this.regions.delete(name);
			}
		}
	}

	/**
	 * Returns the service time of the region, or the shortest known one of the
	 * pool.
	 */
	getServiceTime(region: RegionServers, now: Milliseconds): Milliseconds {
		const ownTime = region.serviceTime.get(now);
		if (ownTime !== undefined) {
			return ownTime;
		}

		const knownTimes = [...this.regions.values()].flatMap(
			(other) => other.serviceTime.get(now) ?? [],
		);
		return knownTimes.length === 0 ? 0 : Math.min(...knownTimes);
	}

	#getRegion(name: RegionName): RegionServers {
		const found = this.regions.get(name);
		if (found !== undefined) {
			return found;
		}

		const newRegion = new RegionServers({
			pool: this.pool.name,
			region: name,
			chooser: this.#createChooser(),
			safeguards: this.#safeguards,
		});
		this.regions.set(name, newRegion);
		return newRegion;
	}
}

function computeMaximumDeadline(
	configuration: Configuration,
	pool: Pool,
): Milliseconds {
	const deadlines = configuration.routes
		.filter((route) => route.pool === pool.name)
		.map((route) => route.deadlineMs);
	return deadlines.length === 0 ? defaultDeadline : Math.max(...deadlines);
}
