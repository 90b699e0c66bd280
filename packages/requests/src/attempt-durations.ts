import type {Milliseconds} from '@parsleyvale/shared';

/** Part of the way that the estimate goes towards a slower answer. */
const slowerStep = 1 / 64;

/**
 * How long a fast answer of each pool takes. A request that has less time left
 * is of no use to its caller, however soon its turn comes.
 */
export class AttemptDurations {
	readonly #fastest = new Map<string, Milliseconds>();

	/** Learns from an answered attempt. */
	add(pool: string, duration: Milliseconds): void {
		const fastest = this.#fastest.get(pool) ?? duration;
		const raised = fastest + (duration - fastest) * slowerStep;
		this.#fastest.set(pool, Math.min(duration, raised));
	}

	/** Whether even a fast answer would come after the deadline. */
	isTooLate(pool: string, deadline: Milliseconds, now: Milliseconds): boolean {
		return deadline - now < (this.#fastest.get(pool) ?? 0);
	}
}
