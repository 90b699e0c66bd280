import {computeHash} from './hash.js';

/** Hosts that share a limit, for each token of its burst: a host can only use whole tokens. */
const holdersPerToken = 0.5;
const hashRange = 2 ** 32;

/** A host that may share a limit, and its requests per second for it. */
export type HolderCandidate = {
	readonly name: string;
	readonly demand: number;
	/** Whether it has any requests. */
	readonly isActive: boolean;
};

/**
 * Selects the few hosts that share a limit, by demand, consistently on all hosts
 * (weighted rendezvous hashing). Without any demand, all active hosts are equal.
 * If every host had a part, each would accumulate a token while idle, and all hosts
 * together could send many times the burst at the same moment.
 *
 * @example
 * selectHolders({name: 'server-1', burst: 4}, candidates); // two of the candidates
 */
export function selectHolders(
	{name, burst}: {readonly name: string; readonly burst: number},
	candidates: readonly HolderCandidate[],
): HolderCandidate[] {
	const maximumHolders = Math.max(1, Math.floor(burst * holdersPerToken));
	const demanding = candidates.filter(({demand}) => demand > 0);
	const eligible =
		demanding.length > 0
			? demanding
			: candidates.filter(({isActive}) => isActive);
	if (eligible.length <= maximumHolders) {
		return eligible;
	}

	const seed = computeHash(name);
	return eligible
		.map((candidate) => ({
			candidate,
			score: computeScore(candidate, seed),
		}))
		.sort((a, b) => b.score - a.score)
		.slice(0, maximumHolders)
		.map(({candidate}) => candidate);
}

function computeScore({name, demand}: HolderCandidate, seed: number): number {
	const weight = demand > 0 ? demand : 1;
	const uniform = (computeHash(name, seed) + 0.5) / hashRange;
	return weight / -Math.log(uniform);
}
