import type {Milliseconds} from '@parsleyvale/shared';

/** Weight of a slower answer in the estimate. */
const raiseFactor = 1 / 64;

/**
 * Estimates how long a fast answer takes in each pool. A request with less time
 * left cannot be answered in time, even if it is forwarded at once.
 */
export class AttemptDurations {
	readonly #fastDurations = new Map<string, Milliseconds>();

	/** Updates the estimate with the duration of an answered attempt. */
	add(pool: string, duration: Milliseconds): void {
		const fastest = this.#fastDurations.get(pool) ?? duration;
		const raised = fastest + (duration - fastest) * raiseFactor;
		this.#fastDurations.set(pool, Math.min(duration, raised));
	}

	/** Whether even a fast answer would arrive after the deadline. */
	willMissDeadline(
		pool: string,
		deadline: Milliseconds,
		now: Milliseconds,
	): boolean {
		return deadline - now < (this.#fastDurations.get(pool) ?? 0);
	}
}
