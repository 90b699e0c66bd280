import type {Milliseconds} from '@parsleyvale/shared';
import {computeHash} from '../hash.js';
import type {ScoredCandidate} from './server-scorer.js';

/** Cost above the lowest, as a fraction of it, up to which a server is near-best. */
const nearBestFraction = 0.1;
/** Least weight of a server in a weighted choice, in free slots. */
const minimumWeight = 0.1;

/**
 * Chooses among the servers that can take a request. As many hosts choose at the
 * same moment by the same old counts, the cheapest server is overrun if all of
 * them take it.
 */
export abstract class ServerChoice {
	/** Chooses one of the candidates, of which there is at least one. */
	abstract choose(
		candidates: readonly ScoredCandidate[],
		now: Milliseconds,
	): ScoredCandidate;
}

/** The server with the lowest cost; of equal ones, the first. */
export class LeastCostChoice extends ServerChoice {
	choose(candidates: readonly ScoredCandidate[]): ScoredCandidate {
		let best = candidates[0]!;
		for (const candidate of candidates) {
			if (candidate.cost < best.cost) {
				best = candidate;
			}
		}

		return best;
	}
}

/** Of two random near-best servers, the one with the lower load per slot. */
export class TwoRandomChoice extends ServerChoice {
	readonly #random: () => number;
	readonly #leastCost = new LeastCostChoice();

	constructor(random: () => number) {
		super();
		this.#random = random;
	}

	choose(candidates: readonly ScoredCandidate[]): ScoredCandidate {
		const best = this.#leastCost.choose(candidates);
		const nearBest = listNearBest(candidates, best, 0);
		if (nearBest.length < 2) {
			return best;
		}

		const first = Math.floor(this.#random() * nearBest.length);
		const offset = 1 + Math.floor(this.#random() * (nearBest.length - 1));
		const one = nearBest[first]!;
		const other = nearBest[(first + offset) % nearBest.length]!;
		return computeLoadPerSlot(other) < computeLoadPerSlot(one) ? other : one;
	}
}

/**
 * A random near-best server, weighted by its free slots. The older the counts are,
 * the more servers are near-best: those whose cost may differ by error alone.
 */
export class WeightedRandomChoice extends ServerChoice {
	readonly #random: () => number;
	readonly #leastCost = new LeastCostChoice();

	constructor(random: () => number) {
		super();
		this.#random = random;
	}

	choose(
		candidates: readonly ScoredCandidate[],
		now: Milliseconds,
	): ScoredCandidate {
		const best = this.#leastCost.choose(candidates);
		const {state, processingTime} = best;
		const errorCost =
			(state.computeLoadDeviation(now) * processingTime) / state.server.slots;
		const nearBest = listNearBest(candidates, best, errorCost);
		if (nearBest.length < 2) {
			return best;
		}

		const weights = nearBest.map(({state, load}) =>
			Math.max(minimumWeight, state.server.slots - load),
		);
		let rest = this.#random() * sum(weights);
		for (const [index, weight] of weights.entries()) {
			rest -= weight;
			if (rest < 0) {
				return nearBest[index]!;
			}
		}

		return best;
	}
}

/** The near-best server that ranks highest for this host, so that hosts prefer different ones. */
export class AssignedServerChoice extends ServerChoice {
	readonly #hostHash: number;
	readonly #leastCost = new LeastCostChoice();

	constructor(hostName: string) {
		super();
		this.#hostHash = computeHash(hostName);
	}

	choose(candidates: readonly ScoredCandidate[]): ScoredCandidate {
		let best = this.#leastCost.choose(candidates);
		let highestScore = -1;
		for (const candidate of listNearBest(candidates, best, 0)) {
			const score = computeHash(candidate.state.server.id, this.#hostHash);
			if (score > highestScore) {
				best = candidate;
				highestScore = score;
			}
		}

		return best;
	}
}

/**
 * Lists the servers about as cheap as the best one: those that have the object
 * cached like it, as others would have to cache it, too, and are in its region, as
 * traffic between regions is not to move back and forth. A request for which no
 * server has the object cached, or which waits for that, goes to the best.
 */
function listNearBest(
	candidates: readonly ScoredCandidate[],
	best: ScoredCandidate,
	errorCost: Milliseconds,
): readonly ScoredCandidate[] {
	if (!best.isCached) {
		return [best];
	}

	const maximumCost = best.cost * (1 + nearBestFraction) + errorCost;
	return candidates.filter(
		({isCached, cost, state}) =>
			isCached &&
			cost <= maximumCost &&
			state.server.region === best.state.server.region,
	);
}

function computeLoadPerSlot({state, load}: ScoredCandidate): number {
	return load / state.server.slots;
}

function sum(values: readonly number[]): number {
	let total = 0;
	for (const value of values) {
		total += value;
	}

	return total;
}
