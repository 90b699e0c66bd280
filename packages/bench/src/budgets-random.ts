import {xoroshiro128plus, unsafeUniformIntDistribution} from 'pure-rand';

const range = 2 ** 30;

/** A deterministic random number generator for a seed. */
export class RandomSource {
	readonly #generator: ReturnType<typeof xoroshiro128plus>;

	constructor(seed: number) {
		this.#generator = xoroshiro128plus(seed);
	}

	/** Returns a number in [0, 1). */
	next(): number {
		return unsafeUniformIntDistribution(0, range - 1, this.#generator) / range;
	}

	/** Returns an integer from 0 to below the upper bound. */
	nextInteger(upperBound: number): number {
		return Math.floor(this.next() * upperBound);
	}

	/** Returns an exponentially distributed time until the next arrival, in the unit of the mean. */
	nextInterval(mean: number): number {
		return -Math.log(1 - this.next()) * mean;
	}
}
