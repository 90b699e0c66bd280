import {computeHash} from './hash.js';
import type {ServerState} from './server-state.js';

/** Servers of each failure domain that are kept of an object's order: more than are weighed, since some may be cold or ejected. */
const keptOfDomain = 4;
/** Objects whose orders are kept for each service: those of a few seconds. */
const rememberedOrders = 1024;

type Weighted = {readonly state: ServerState; readonly weight: number};

/** The servers of one service, and the order in which objects prefer them. */
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
			const ofDomain = this.#byDomain.get(failureDomain) ?? [];
			ofDomain.push(state);
			this.#byDomain.set(failureDomain, ofDomain);
		}
	}

	/**
	 * The first servers of each failure domain in the order of their highest random
	 * weight for the object: the same on all hosts, and little changed when
	 * servers come and go.
	 */
	rank(objectHash: number): readonly ServerState[] {
		const known = this.#orders.get(objectHash);
		if (known !== undefined) {
			return known;
		}

		const order = [...this.#byDomain.values()]
			.flatMap((states) => findHeaviest(states, objectHash))
			.sort((a, b) => b.weight - a.weight)
			.map(({state}) => state);
		if (this.#orders.size >= rememberedOrders) {
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
		if (heaviest.length === keptOfDomain && weight <= last!.weight) {
			continue;
		}

		const index = heaviest.findIndex((other) => other.weight < weight);
		heaviest.splice(index === -1 ? heaviest.length : index, 0, {state, weight});
		heaviest.length = Math.min(heaviest.length, keptOfDomain);
	}

	return heaviest;
}
