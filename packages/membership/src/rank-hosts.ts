import {createHash} from 'node:crypto';

/** @internal */
export type Candidate = {readonly name: string; readonly weight: number};

/** The first 6 bytes of a digest are read as a number below this. */
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
 * Sorts candidates by weighted rendezvous hashing. Each candidate ranks first
 * for a fraction of the keys proportional to its weight, and changing one weight
 * moves keys only from or to that candidate.
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
