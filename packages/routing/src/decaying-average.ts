import type {Milliseconds} from '@parsleyvale/shared';

/** Weight of a new sample relative to the current average. */
const sampleWeight = 0.1;
/** Below this sample count, the average is the arithmetic mean. */
const plainMeanSampleCount = 1 / sampleWeight;

/** Exponentially weighted moving average that expires without new samples. */
export class DecayingAverage {
	readonly #lifetime: Milliseconds;
	#mean = 0;
	#sampleCount = 0;
	#lastSampleAt: Milliseconds = 0;

	/** `lifetime`: time after the last sample at which the average expires. */
	constructor(lifetime: Milliseconds) {
		this.#lifetime = lifetime;
	}

	add(sample: number, now: Milliseconds): void {
		if (this.getSampleCount(now) === 0) {
			this.#sampleCount = 0;
		}

		this.#sampleCount++;
		const weight =
			this.#sampleCount < plainMeanSampleCount
				? 1 / this.#sampleCount
				: sampleWeight;
		this.#mean += (sample - this.#mean) * weight;
		this.#lastSampleAt = now;
	}

	/**
	 * Returns the average, or `undefined` if it has expired or has no samples.
	 */
	get(now: Milliseconds): number | undefined {
		return this.getSampleCount(now) === 0 ? undefined : this.#mean;
	}

	clear(): void {
		this.#sampleCount = 0;
	}

	/** Returns the number of samples, or 0 if the average has expired. */
	getSampleCount(now: Milliseconds): number {
		return now - this.#lastSampleAt > this.#lifetime ? 0 : this.#sampleCount;
	}
}
