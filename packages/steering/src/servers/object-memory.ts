/** Estimated cache size, in objects, before any answers. */
const initialSize = 24;
/** Change of the estimate, in objects, by the first misprediction; later ones change it less. */
const initialStep = 0.5;
const minimumStep = 0.05;
/** Mispredictions after which the step is at its minimum. */
const settlingMispredictions = 40;

/**
 * Estimates how many of the most recent objects servers of a service cache, from
 * answers that were fast or slow contrary to the prediction.
 */
export class CacheSizeEstimator {
	#size = initialSize;
	#mispredictions = 0;

	get size(): number {
		return this.#size;
	}

	/**
	 * Applies an answer for an object after which the server had handled
	 * `reuseDistance` others; `wasCached` tells whether the answer was fast.
	 */
	onAnswer(reuseDistance: number, wasCached: boolean): void {
		const wasExpectedCached = reuseDistance < this.#size;
		if (wasExpectedCached === wasCached) {
			return;
		}

		const progress = Math.min(1, this.#mispredictions / settlingMispredictions);
		const step = initialStep + progress * (minimumStep - initialStep);
		this.#mispredictions += 1;
		this.#size = Math.max(1, this.#size + (wasCached ? step : -step));
	}
}
