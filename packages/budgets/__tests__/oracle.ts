import type {Milliseconds} from '@parsleyvale/shared';

/** A single global token bucket, counted exactly in millitokens. */
export class RateOracle {
	/** Negative after an overrun. */
	remainingMillitokens: number;
	readonly #perSecond: number;
	readonly #burst: number;
	#at: Milliseconds = 0;

	constructor(perSecond: number, burst: number) {
		this.#perSecond = perSecond;
		this.#burst = burst;
		this.remainingMillitokens = burst * 1000;
	}

	/** Takes tokens; returns false on an overrun. */
	take(amount: number, now: Milliseconds): boolean {
		const refilled =
			this.remainingMillitokens + this.#perSecond * (now - this.#at);
		this.remainingMillitokens =
			Math.min(this.#burst * 1000, refilled) - amount * 1000;
		this.#at = now;
		return this.remainingMillitokens >= 0;
	}
}

/** A single global count. */
export class CountOracle {
	#inUse = 0;
	readonly #total: number;

	constructor(total: number) {
		this.#total = total;
	}

	take(amount: number): boolean {
		this.#inUse += amount;
		return this.#inUse <= this.#total;
	}

	release(amount: number): void {
		this.#inUse -= amount;
	}
}
