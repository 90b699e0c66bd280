import type {Milliseconds} from '@parsleyvale/shared';

/** One global token bucket in thousandths of a token; exact. */
export class RateOracle {
	/** Thousandths; below 0 is an overrun. */
	left: number;
	readonly #perSecond: number;
	readonly #burst: number;
	#at: Milliseconds = 0;

	constructor(perSecond: number, burst: number) {
		this.#perSecond = perSecond;
		this.#burst = burst;
		this.left = burst * 1000;
	}

	/** Whether the bound held for every window that ends now. */
	take(amount: number, now: Milliseconds): boolean {
		const refilled = this.left + this.#perSecond * (now - this.#at);
		this.left = Math.min(this.#burst * 1000, refilled) - amount * 1000;
		this.#at = now;
		return this.left >= 0;
	}
}

/** One global count. */
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

	giveBack(amount: number): void {
		this.#inUse -= amount;
	}
}
