import type {Milliseconds} from '@parsleyvale/shared';

/** How much a new sample weighs against the average so far. */
const sampleWeight = 0.1;
/** Below this number of samples the average is the plain mean. */
const samplesOfPlainMean = 1 / sampleWeight;

/** An exponentially weighted mean that is forgotten when no sample comes. */
export class DecayingAverage {
	readonly #lifetime: Milliseconds;
	#mean = 0;
	#samples = 0;
	#lastAt: Milliseconds = 0;

	/** `lifetime`: without a sample for so long, nothing is known any more. */
	constructor(lifetime: Milliseconds) {
		this.#lifetime = lifetime;
	}

	add(sample: number, now: Milliseconds): void {
		if (this.getSamples(now) === 0) {
			this.#samples = 0;
		}

		this.#samples++;
		const weight =
			this.#samples < samplesOfPlainMean ? 1 / this.#samples : sampleWeight;
		this.#mean += (sample - this.#mean) * weight;
		this.#lastAt = now;
	}

	/** The mean, or undefined when nothing recent is known. */
	get(now: Milliseconds): number | undefined {
		return this.getSamples(now) === 0 ? undefined : this.#mean;
	}

	clear(): void {
		this.#samples = 0;
	}

	/** How many samples the mean stands on. */
	getSamples(now: Milliseconds): number {
		return now - this.#lastAt > this.#lifetime ? 0 : this.#samples;
	}
}
