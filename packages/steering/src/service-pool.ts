import {computeHash} from './hash.js';
import type {ServerState} from './server-state.js';

/** Servers of each failure domain in an object's ranking: more than are scored, since some may be cold or ejected. */
const rankedPerDomain = 4;
/** Maximum rankings cached for each service: the objects of a few seconds. */
const maximumCachedOrders = 1024;

type Weighted = {readonly state: ServerState; readonly weight: number};

/** The servers of one service, and their ranking for each object. */
export class ServicePool {
	#servers: readonly ServerState[] = [];
	readonly #byDomain = new Map<string, ServerState[]>();
	readonly #orders = new Map<number, readonly ServerState[]>();

	get servers(): readonly ServerState[] {
		return this.#servers;
	}

	set(servers: readonly ServerState[]): void {
		this.#servers = servers;
		this.#orders.clear();
		this.#byDomain.clear();
		for (const state of servers) {
			const {failureDomain} = state.server;
			const domainServers = this.#byDomain.get(failureDomain) ?? [];
			domainServers.push(state);
			this.#byDomain.set(failureDomain, domainServers);
		}
	}

	/**
	 * Ranks servers of each failure domain for the object by rendezvous (highest
	 * random weight) hashing: all hosts get the same ranking, and it changes little
	 * when servers join or leave.
	 */
	rank(objectHash: number): readonly ServerState[] {
		const cachedOrder = this.#orders.get(objectHash);
		if (cachedOrder !== undefined) {
			return cachedOrder;
		}

		const order = [...this.#byDomain.values()]
			.flatMap((states) => findHeaviest(states, objectHash))
			.sort((a, b) => b.weight - a.weight)
			.map(({state}) => state);
		if (this.#orders.size >= maximumCachedOrders) {
			this.#orders.clear();
		}

		this.#orders.set(objectHash, order);
		return order;
	}
}

function findHeaviest(
	states: readonly ServerState[],
	objectHash: number,
): Weighted[] {
	const heaviest: Weighted[] = [];
	for (const state of states) {
		const weight = computeHash(state.server.id, objectHash);
		const last = heaviest.at(-1);
		if (heaviest.length === rankedPerDomain && weight <= last!.weight) {
			continue;
		}

		const index = heaviest.findIndex((other) => other.weight < weight);
		heaviest.splice(index === -1 ? heaviest.length : index, 0, {state, weight});
		heaviest.length = Math.min(heaviest.length, rankedPerDomain);
	}

	return heaviest;
}
