/** Retries allowed per first attempt. */
export const retryRatio = 0.2;
/** Retry tokens of a new pool, so that retries work before there is traffic. */
export const initialRetryTokens = 2;
/** Maximum number of accumulated retry tokens. */
const maximumRetryTokens = 20;

/**
 * Token bucket that limits the retries of a pool to a fraction of first
 * attempts.
 */
export class RetryBudget {
	#tokens = initialRetryTokens;

	/** Adds retry tokens for a placed first attempt. */
	onFirstAttempt(): void {
		this.#tokens = Math.min(maximumRetryTokens, this.#tokens + retryRatio);
	}

	/** Takes a retry token. Returns whether the retry is allowed. */
	take(): boolean {
		if (this.#tokens < 1) {
			return false;
		}

		this.#tokens--;
		return true;
	}
}
