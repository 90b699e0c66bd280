import type {Milliseconds} from '@parsleyvale/shared';

/** Factor on the limit when a request is shed. */
const decreaseFactor = 0.8;
/** Minimum time between two decreases: requests shed together count once. */
const decreaseInterval: Milliseconds = 200;
/** Time without a shed request after which the limit ends if it does not bind. */
const calmDuration: Milliseconds = 1000;
/** Time without a shed request after which the limit ends in any case. */
const maximumCalmDuration: Milliseconds = 5000;

/**
 * Limits this host's requests in flight to a pool that sheds: multiplicative
 * decrease when requests are shed, additive increase by one for as many answers as
 * the limit has. It never falls below the given floor, this host's part of the
 * slots, as a pool may also shed for other reasons than load.
 */
export class ConcurrencyLimit {
	#limit: number | undefined;
	#decreasedAt: Milliseconds = Number.NEGATIVE_INFINITY;
	#shedAt: Milliseconds = Number.NEGATIVE_INFINITY;

	/** Undefined: nothing is shed, and the number is not limited. */
	get current(): number | undefined {
		return this.#limit;
	}

	onShed(inFlight: number, floor: number, now: Milliseconds): void {
		this.#shedAt = now;
		if (now - this.#decreasedAt < decreaseInterval) {
			return;
		}

		this.#decreasedAt = now;
		const used = Math.min(this.#limit ?? inFlight, inFlight);
		this.#limit = Math.max(1, floor, used * decreaseFactor);
	}

	onAnswered(inFlight: number, now: Milliseconds): void {
		if (this.#limit === undefined) {
			return;
		}

		this.#limit += 1 / this.#limit;
		const calm = now - this.#shedAt;
		const isBinding = inFlight >= this.#limit - 1;
		if (calm > maximumCalmDuration || (calm > calmDuration && !isBinding)) {
			this.#limit = undefined;
		}
	}
}
