import {second, type Clock, type Milliseconds} from '@parsleyvale/shared';

/** A token bucket that holds at most the tokens of one second. */
export class TokenBucket {
	readonly #clock: Clock;
	readonly #tokensPerSecond: number;
	#tokens: number;
	#updatedAt: Milliseconds;

	constructor(clock: Clock, tokensPerSecond: number) {
		this.#clock = clock;
		this.#tokensPerSecond = tokensPerSecond;
		this.#tokens = tokensPerSecond;
		this.#updatedAt = clock.now();
	}

	/** Takes one token; returns false if none is left. */
	tryTake(): boolean {
		const now = this.#clock.now();
		const refill = ((now - this.#updatedAt) / second) * this.#tokensPerSecond;
		this.#tokens = Math.min(this.#tokensPerSecond, this.#tokens + refill);
		this.#updatedAt = now;
		if (this.#tokens < 1) {
			return false;
		}

		this.#tokens -= 1;
		return true;
	}
}
