import {createHash} from 'node:crypto';

/** @internal */
export type Candidate = {readonly name: string; readonly weight: number};

const hashRange = 2 ** 48;
const hashBytes = 6;

function computeScore(key: string, candidate: Candidate): number {
	const digest = createHash('sha256')
		.update(`${key}/${candidate.name}`)
		.digest();
	const uniform = (digest.readUIntBE(0, hashBytes) + 1) / (hashRange + 1);
	return candidate.weight / -Math.log(uniform);
}

/**
 * Candidates in the order of weighted rendezvous hashing: each is first for a
 * part of the keys that is proportional to its weight, and a change of one
 * weight moves only keys from or to that candidate.
 *
 * @internal
 */
export function rankHosts<Host extends Candidate>(
	key: string,
	candidates: readonly Host[],
): Host[] {
	return candidates
		.map((candidate) => ({candidate, score: computeScore(key, candidate)}))
		.sort((a, b) => b.score - a.score)
		.map(({candidate}) => candidate);
}
