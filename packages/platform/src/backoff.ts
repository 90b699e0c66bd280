import type {Milliseconds} from '@parsleyvale/shared';

const shortest: Milliseconds = 50;
const longest: Milliseconds = 2000;

/** Rising pauses between tries, spread at random between half and whole. */
export class Backoff {
	readonly #random: () => number;
	#failures = 0;

	constructor(random: () => number) {
		this.#random = random;
	}

	/** The pause after one more failure. */
	onFailure(): Milliseconds {
		const bound = Math.min(longest, shortest * 2 ** this.#failures);
		this.#failures += 1;
		return (bound / 2) * (1 + this.#random());
	}

	/** Starts again with the shortest pause. */
	onSuccess(): void {
		this.#failures = 0;
	}
}
