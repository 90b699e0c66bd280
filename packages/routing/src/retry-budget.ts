/** Retries allowed for each first attempt. */
export const retryFraction = 0.2;
/** Retries that a pool without recent traffic may still spend. */
export const retryReserve = 2;
/** The most retries that are saved up. */
const maximumSaved = 20;

/** Keeps retries to a fraction of first attempts; one for each pool. */
export class RetryBudget {
	#tokens = retryReserve;

	/** A first attempt was placed. */
	onFirstAttempt(): void {
		this.#tokens = Math.min(maximumSaved, this.#tokens + retryFraction);
	}

	/** Whether one more attempt is allowed; spends it if so. */
	take(): boolean {
		if (this.#tokens < 1) {
			return false;
		}

		this.#tokens--;
		return true;
	}
}
