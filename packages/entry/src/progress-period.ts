import type {Milliseconds} from '@parsleyvale/shared';

/**
 * Checks that a counter advances by a minimum in each period. Only the time counts
 * during which progress is expected.
 */
export class ProgressPeriod {
	readonly #duration: Milliseconds;
	readonly #minimumAdvance: number;
	#elapsed: Milliseconds = 0;
	#checkedAt: Milliseconds | undefined;
	#startCount = 0;

	constructor(duration: Milliseconds, minimumAdvance: number) {
		this.#duration = duration;
		this.#minimumAdvance = minimumAdvance;
	}

	/** Whether a whole period has passed with too little progress. */
	hasFailed(isExpected: boolean, count: number, now: Milliseconds): boolean {
		if (isExpected && this.#checkedAt !== undefined) {
			this.#elapsed += now - this.#checkedAt;
		}

		this.#checkedAt = isExpected ? now : undefined;
		const advance = count - this.#startCount;
		if (advance >= this.#minimumAdvance) {
			this.reset(count);
		}

		return this.#elapsed >= this.#duration;
	}

	/** Starts a new period. */
	reset(count: number): void {
		this.#elapsed = 0;
		this.#startCount = count;
	}
}
