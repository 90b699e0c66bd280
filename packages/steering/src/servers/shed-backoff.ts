import type {Milliseconds} from '@parsleyvale/shared';

/** What a shed request adds to a server's cost factor. */
const shedStep = 4;
const maximumLevel = 16;
/** Time in which the level halves after one shed request: a full server frees slots within the time of one answer. */
const halfLife: Milliseconds = 400;
/** Sheds in a row up to which each lengthens the half-life, as a host may send a server less than one request per second. */
const maximumShedsInRow = 8;
/** Fraction of the level that remains after an answer. */
const answeredFraction = 0.5;

/**
 * Raises the cost of a server that shed requests of this host. The cost decays
 * continuously, as a fixed pause would make all hosts return at the same moment.
 */
export class ShedBackoff {
	#level = 0;
	#changedAt: Milliseconds = 0;
	/** Sheds since the last answer. */
	#shedsInRow = 0;

	/** Returns the factor on the server's cost; 1: it has not shed recently. */
	computeCostFactor(now: Milliseconds): number {
		return this.#level === 0 ? 1 : 1 + this.#computeLevel(now);
	}

	onShed(now: Milliseconds): void {
		this.#level = Math.min(maximumLevel, this.#computeLevel(now) + shedStep);
		this.#changedAt = now;
		this.#shedsInRow = Math.min(maximumShedsInRow, this.#shedsInRow + 1);
	}

	onAnswered(now: Milliseconds): void {
		if (this.#level > 0) {
			this.#level = this.#computeLevel(now) * answeredFraction;
			this.#changedAt = now;
			this.#shedsInRow = 1;
		}
	}

	#computeLevel(now: Milliseconds): number {
		const elapsed = Math.max(0, now - this.#changedAt);
		return this.#level * 2 ** (-elapsed / (halfLife * this.#shedsInRow));
	}
}
