import type {Location} from '../topology.js';
import {sumSlots, type ServerState} from './server-state.js';
import {computeSubsetSize, rankServers} from './subset.js';

/** Identity and location of this entry host, and the number of live hosts. */
export type LocalHost = {
	readonly hostName: string;
	readonly location: Location;
	readonly hostCount: number;
	/** Live hosts in the failure domain of this host, including itself. */
	readonly domainHostCount: number;
};

/** Servers in service of a region, in the order of preference of one host. */
export class Ranking {
	/** All servers in service, most preferred first. */
	readonly servers: readonly ServerState[];
	/** Servers that this host keeps connections to. */
	readonly subset: readonly ServerState[];
	/** Servers of the subset in this host's failure domain. */
	readonly #sameDomain: readonly ServerState[];
	readonly #sameDomainLimit: number;
	readonly #location: Location | undefined;

	/** `localHost`: `undefined` if there are no servers. */
	constructor(
		inService: readonly ServerState[],
		localHost: LocalHost | undefined,
	) {
		this.#location = localHost?.location;
		this.servers = rankServers(localHost?.hostName ?? '', inService);
		const subsetSize = computeSubsetSize(
			localHost?.hostCount ?? 1,
			inService.map((state) => state.server),
		);
		this.subset = this.servers.slice(0, subsetSize);
		this.#sameDomain = this.subset.filter((state) =>
			this.#isInSameDomain(state),
		);
		this.#sameDomainLimit = Math.ceil(
			sumSlots(inService.filter((state) => this.#isInSameDomain(state))) /
				(localHost?.domainHostCount ?? 1),
		);
	}

	/**
	 * Restricts the servers to those in this host's failure domain until this
	 * host has used its part of their slots. Counts only this host's requests, as
	 * load reports may be late or wrong, and a request in a remote failure domain
	 * holds its slot for longer.
	 */
	preferSameDomain(available: readonly ServerState[]): readonly ServerState[] {
		const sameDomain = available.filter((state) => this.#isInSameDomain(state));
		const inFlight = this.#sameDomain.reduce(
			(sum, state) => sum + state.inFlight,
			0,
		);
		return sameDomain.length > 0 && inFlight < this.#sameDomainLimit
			? sameDomain
			: available;
	}

	#isInSameDomain(state: ServerState): boolean {
		const location = this.#location;
		return (
			state.server.region === location?.region &&
			state.server.failureDomain === location.failureDomain
		);
	}
}
