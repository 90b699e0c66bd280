/** Objects that servers are taken to keep before answers have shown it. */
const firstKept = 24;
/** The first answers move the figure by half an object each, later ones by less. */
const firstStep = 0.5;
const leastStep = 0.05;
/** Answers against the estimate after which steps are at their smallest. */
const settlingAnswers = 40;

/**
 * How many objects servers of a service keep at hand, the latest ones: learnt
 * from answers that were fast or slow against what was expected.
 */
export class ObjectMemory {
	#kept = firstKept;
	#surprises = 0;

	get kept(): number {
		return this.#kept;
	}

	/**
	 * An answer on an object after which the server had handled `position`
	 * others; `wasKnown`: it was fast.
	 */
	onAnswer(position: number, wasKnown: boolean): void {
		const wasExpected = position < this.#kept;
		if (wasExpected === wasKnown) {
			return;
		}

		const part = Math.min(1, this.#surprises / settlingAnswers);
		const step = firstStep + part * (leastStep - firstStep);
		this.#surprises += 1;
		this.#kept = Math.max(1, this.#kept + (wasKnown ? step : -step));
	}
}
