import type {Milliseconds} from '@parsleyvale/shared';

const initialDelay: Milliseconds = 50;
const maximumDelay: Milliseconds = 2000;

/** Exponential backoff with jitter: each delay is between half and all of its upper bound. */
export class Backoff {
	readonly #random: () => number;
	#failureCount = 0;

	constructor(random: () => number) {
		this.#random = random;
	}

	/** Counts a failure and returns the delay before the next attempt. */
	computeNextDelay(): Milliseconds {
		const delay = Math.min(
			maximumDelay,
			initialDelay * 2 ** this.#failureCount,
		);
		this.#failureCount += 1;
		return (delay / 2) * (1 + this.#random());
	}

	/** Returns to the initial delay after a success. */
	reset(): void {
		this.#failureCount = 0;
	}
}
