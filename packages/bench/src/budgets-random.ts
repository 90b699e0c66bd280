import {xoroshiro128plus, unsafeUniformIntDistribution} from 'pure-rand';

const range = 2 ** 30;

/** Numbers that depend on a seed alone. */
export class RandomSource {
	readonly #generator: ReturnType<typeof xoroshiro128plus>;

	constructor(seed: number) {
		this.#generator = xoroshiro128plus(seed);
	}

	/** From 0 to below 1. */
	next(): number {
		return unsafeUniformIntDistribution(0, range - 1, this.#generator) / range;
	}

	/** A whole number from 0 to below the limit. */
	choose(limit: number): number {
		return Math.floor(this.next() * limit);
	}

	/** Time to the next of independent arrivals, in the unit of the mean. */
	nextGap(mean: number): number {
		return -Math.log(1 - this.next()) * mean;
	}
}
