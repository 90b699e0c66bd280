import type {Milliseconds} from '@parsleyvale/shared';
import type {HostState} from '../host-state.js';
import type {Limits} from '../limits.js';
import type {SteeringRoute} from '../model.js';
import type {ServerState} from '../servers/server-state.js';

/** Top-ranked servers of each failure domain that are scored even if they do not have the object cached. */
const candidatesPerDomain = 2;

/** The request for which a server is to be chosen. */
export type PlacementRequest = {
	readonly route: SteeringRoute;
	readonly service: string;
	/** 0 is the highest priority. */
	readonly priority: number;
	readonly objectHash: number;
	/** Regions that may serve the request; empty: all. */
	readonly homeRegions: readonly string[];
	readonly bodyBytes: number;
	/** When the latency objective is missed. */
	readonly objectiveDeadline: Milliseconds;
	/** When the request times out. */
	readonly deadline: Milliseconds;
	/** Servers that the request was already sent to. */
	readonly triedServers: ReadonlySet<string>;
};

/** A server that may take the request, and its rank for the object. */
export type Candidate = {
	readonly state: ServerState;
	/** Whether it is the highest-ranked eligible server. */
	readonly isTopRanked: boolean;
	/** Rank within its failure domain. */
	readonly rank: number;
};

export type CandidateList = {
	readonly candidates: readonly Candidate[];
	/** Whether further servers could take the request but for their rate limits. */
	readonly isRateLimited: boolean;
};

/** Selects the servers that are scored for a request. */
export class Candidates {
	readonly #hostState: HostState;
	readonly #limits: Limits;

	constructor(hostState: HostState, limits: Limits) {
		this.#hostState = hostState;
		this.#limits = limits;
	}

	/**
	 * Lists the object's top-ranked servers of each failure domain and those that
	 * have it cached. Falls back to all servers of the pool if none is eligible.
	 */
	list(request: PlacementRequest, now: Milliseconds): CandidateList {
		const {serverTable} = this.#hostState;
		const {serverRates} = this.#limits;
		const pool = serverTable.findPool(request.service);
		if (pool === undefined) {
			return {candidates: [], isRateLimited: false};
		}

		const topRanked = this.#listTopRanked(
			pool.rank(request.objectHash),
			request,
			now,
		);
		const candidates = [...topRanked.candidates];
		const listed = new Set(candidates.map(({state}) => state));
		for (const state of serverTable.cachedObjects.list(request.objectHash)) {
			const isAdditional =
				!listed.has(state) &&
				state.server.service === request.service &&
				state.hasCached(request.objectHash);
			if (
				isAdditional &&
				this.#isEligible(state, request, now) &&
				serverRates.hasCapacity(state, now)
			) {
				candidates.push({state, rank: candidatesPerDomain, isTopRanked: false});
			}
		}

		return candidates.length > 0
			? {candidates, isRateLimited: topRanked.isRateLimited}
			: this.#listTopRanked(pool.servers, request, now);
	}

	/** Returns the requests per second that the server can take while it is starting up. */
	getStartupRate({server}: ServerState): number {
		const service = this.#hostState.configuration.findService(server.service);
		return service?.coldRatePerSecond ?? 1;
	}

	#listTopRanked(
		states: readonly ServerState[],
		request: PlacementRequest,
		now: Milliseconds,
	): CandidateList {
		const {serverRates} = this.#limits;
		const candidates: Candidate[] = [];
		const ranks = new Map<string, number>();
		let isRateLimited = false;
		for (const state of states) {
			const {failureDomain} = state.server;
			const rank = ranks.get(failureDomain) ?? 0;
			if (
				rank >= candidatesPerDomain ||
				!this.#isEligible(state, request, now)
			) {
				continue;
			}

			if (serverRates.hasCapacity(state, now)) {
				ranks.set(failureDomain, rank + 1);
				const isTopRanked = candidates.length === 0;
				candidates.push({state, rank, isTopRanked});
				continue;
			}

			if (candidates.length === 0 && !isRateLimited) {
				serverRates.onHeldBack(state, now);
			}

			isRateLimited = true;
		}

		return {candidates, isRateLimited};
	}

	#isEligible(
		state: ServerState,
		{homeRegions, triedServers}: PlacementRequest,
		now: Milliseconds,
	): boolean {
		const {server} = state;
		return (
			state.isUsable(now) &&
			!triedServers.has(server.id) &&
			(homeRegions.length === 0 || homeRegions.includes(server.region)) &&
			(!state.isStarting(now) ||
				this.#limits.startupPacer.hasCapacity(
					server,
					this.getStartupRate(state),
					now,
				))
		);
	}
}
