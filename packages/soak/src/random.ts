import {unsafeUniformIntDistribution, xoroshiro128plus} from 'pure-rand';

const range = 2 ** 30;

/** Creates a deterministic generator of numbers in [0, 1) for a seed. */
export function createRandom(seed: number): () => number {
	const generator = xoroshiro128plus(seed);
	return () => unsafeUniformIntDistribution(0, range - 1, generator) / range;
}
