import {
	second,
	type Configuration,
	type Milliseconds,
	type Pool,
	type RegionName,
	type Server,
} from '@parsleyvale/shared';
import type {Chooser} from './choosers/chooser.js';
import type {DrainedPlaces} from './drained-places.js';
import {RetryBudget} from './retry-budget.js';
import type {Safeguards} from './safeguards.js';
import type {Viewpoint} from './servers/ranking.js';
import {RegionServers} from './servers/region-servers.js';

const defaultDeadline: Milliseconds = 30 * second;

export type PoolUpdate = {
	readonly configuration: Configuration;
	readonly drained: DrainedPlaces;
	/** When servers that are new began; undefined: long ago. */
	readonly coldSince: Milliseconds | undefined;
	readonly viewpoint: Viewpoint;
};

/** What this host knows of one pool. */
export class PoolState {
	/** The longest that a request to the pool may run. */
	longestDeadline: Milliseconds = defaultDeadline;
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
		const {configuration, drained, coldSince, viewpoint} = update;
		this.#pool = pool;
		this.longestDeadline = computeLongestDeadline(configuration, pool);
		const regionNames = new Set([
			...this.regions.keys(),
			...pool.servers.map((server) => server.region),
		]);
		for (const name of regionNames) {
			const servers = pool.servers.filter((server) => server.region === name);
			const region = this.#getRegion(name);
			region.applyServers(
				servers,
				(server: Server) => drained.hasServer(server),
				coldSince,
				viewpoint,
			);
			if (servers.length === 0 && region.inFlight === 0) {
				this.regions.delete(name);
			}
		}
	}

	/** The region's own service time, or else the shortest one known. */
	getServiceTime(region: RegionServers, now: Milliseconds): Milliseconds {
		const own = region.serviceTime.get(now);
		if (own !== undefined) {
			return own;
		}

		const known = [...this.regions.values()].flatMap(
			(other) => other.serviceTime.get(now) ?? [],
		);
		return known.length === 0 ? 0 : Math.min(...known);
	}

	#getRegion(name: RegionName): RegionServers {
		const found = this.regions.get(name);
		if (found !== undefined) {
			return found;
		}

		const created = new RegionServers({
			pool: this.pool.name,
			region: name,
			chooser: this.#createChooser(),
			safeguards: this.#safeguards,
		});
		this.regions.set(name, created);
		return created;
	}
}

function computeLongestDeadline(
	configuration: Configuration,
	pool: Pool,
): Milliseconds {
	const deadlines = configuration.routes
		.filter((route) => route.pool === pool.name)
		.map((route) => route.deadlineMs);
	return deadlines.length === 0 ? defaultDeadline : Math.max(...deadlines);
}
