import type {Milliseconds} from '@parsleyvale/shared';
import type {Beliefs} from './beliefs.js';
import type {Limits} from './limits.js';
import type {SteeringRoute} from './model.js';
import type {ServerState} from './server-state.js';

/** Servers of each failure domain that are weighed though none of them knows the object, in the object's order. */
const weighedOfDomain = 2;
/** What a place is looked for. */
export type PlaceRequest = {
	readonly route: SteeringRoute;
	readonly service: string;
	readonly objectHash: number;
	/** Regions that may serve it; empty: all. */
	readonly homeRegions: readonly string[];
	readonly bodyBytes: number;
	/** When the answer should be there. */
	readonly objectiveAt: Milliseconds;
	/** When it must be. */
	readonly deadline: Milliseconds;
	/** Servers that it went to before. */
	readonly tried: ReadonlySet<string>;
};

/** A server that may take the request, and its place in the object's order. */
export type Candidate = {
	readonly state: ServerState;
	/** Whether it is the first of all that may be used. */
	readonly isFirst: boolean;
	/** Its rank among those of its failure domain. */
	readonly rank: number;
};

/** Finds the servers that may take a request and are worth weighing. */
export class Candidates {
	readonly #beliefs: Beliefs;
	readonly #limits: Limits;

	constructor(beliefs: Beliefs, limits: Limits) {
		this.#beliefs = beliefs;
		this.#limits = limits;
	}

	/**
	 * The first servers of each failure domain in the object's order, and those that
	 * have it at hand. All servers are looked through only where none of these
	 * may be used.
	 */
	list(request: PlaceRequest, now: Milliseconds): Candidate[] {
		const {fleet} = this.#beliefs;
		const pool = fleet.findPool(request.service);
		if (pool === undefined) {
			return [];
		}

		const candidates = this.#listFirst(
			pool.rank(request.objectHash),
			request,
			now,
		);
		const ranked = new Set(candidates.map(({state}) => state));
		for (const state of fleet.known.list(request.objectHash)) {
			const isNew =
				!ranked.has(state) &&
				state.server.service === request.service &&
				state.hasAtHand(request.objectHash);
			if (isNew && this.#isAllowed(state, request, now)) {
				candidates.push({state, rank: weighedOfDomain, isFirst: false});
			}
		}

		return candidates.length > 0
			? candidates
			: this.#listFirst(pool.servers, request, now);
	}

	/** Requests a second that the server bears while it is cold. */
	getColdRate({server}: ServerState): number {
		const service = this.#beliefs.configuration.findService(server.service);
		return service?.coldRatePerSecond ?? 1;
	}

	#listFirst(
		states: readonly ServerState[],
		request: PlaceRequest,
		now: Milliseconds,
	): Candidate[] {
		const candidates: Candidate[] = [];
		const ranks = new Map<string, number>();
		for (const state of states) {
			const {failureDomain} = state.server;
			const rank = ranks.get(failureDomain) ?? 0;
			if (rank < weighedOfDomain && this.#isAllowed(state, request, now)) {
				ranks.set(failureDomain, rank + 1);
				const isFirst = candidates.length === 0;
				candidates.push({state, rank, isFirst});
			}
		}

		return candidates;
	}

	#isAllowed(
		state: ServerState,
		{homeRegions, tried}: PlaceRequest,
		now: Milliseconds,
	): boolean {
		const {server} = state;
		return (
			state.isUsable(now) &&
			!tried.has(server.id) &&
			(homeRegions.length === 0 || homeRegions.includes(server.region)) &&
			(!state.isCold(now) ||
				this.#limits.cold.hasRoom(server, this.getColdRate(state), now))
		);
	}
}
