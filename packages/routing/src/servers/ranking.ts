import type {Place} from '../topology.js';
import {sumSlots, type ServerState} from './server-state.js';
import {computeSubsetSize, rankServers} from './subset.js';

/** Which entry host asks, and among how many. */
export type Viewpoint = {
	readonly hostName: string;
	readonly place: Place;
	readonly hostCount: number;
	/** Hosts in the failure domain of this one, itself included. */
	readonly neighbourCount: number;
};

/** The usable servers of a region in the order in which one host prefers them. */
export class Ranking {
	/** All usable servers, most preferred first. */
	readonly servers: readonly ServerState[];
	/** Those that this host keeps connections to. */
	readonly subset: readonly ServerState[];
	/** Those of the subset in this host's failure domain. */
	readonly #near: readonly ServerState[];
	readonly #nearLimit: number;
	readonly #place: Place | undefined;

	/** `viewpoint`: undefined while there is no server. */
	constructor(
		usable: readonly ServerState[],
		viewpoint: Viewpoint | undefined,
	) {
		this.#place = viewpoint?.place;
		this.servers = rankServers(viewpoint?.hostName ?? '', usable);
		const subsetSize = computeSubsetSize(
			viewpoint?.hostCount ?? 1,
			usable.map((state) => state.server),
		);
		this.subset = this.servers.slice(0, subsetSize);
		this.#near = this.subset.filter((state) => this.#isNear(state));
		this.#nearLimit = Math.ceil(
			sumSlots(usable.filter((state) => this.#isNear(state))) /
				(viewpoint?.neighbourCount ?? 1),
		);
	}

	/**
	 * Those of this host's failure domain, up to its part of their slots. Own
	 * counts decide alone: a report that lags or lies must not send requests
	 * the long way, where each holds its slot for longer.
	 */
	listNearest(open: readonly ServerState[]): readonly ServerState[] {
		const near = open.filter((state) => this.#isNear(state));
		const own = this.#near.reduce((sum, state) => sum + state.inFlight, 0);
		return near.length > 0 && own < this.#nearLimit ? near : open;
	}

	#isNear(state: ServerState): boolean {
		const place = this.#place;
		return (
			state.server.region === place?.region &&
			state.server.failureDomain === place.failureDomain
		);
	}
}
