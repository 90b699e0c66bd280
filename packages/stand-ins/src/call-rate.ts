import {second, type Clock, type Milliseconds} from '@parsleyvale/shared';

/** A token bucket whose burst is the calls of one second. */
export class CallRate {
	readonly #clock: Clock;
	readonly #callsPerSecond: number;
	#tokens: number;
	#updatedAt: Milliseconds;

	constructor(clock: Clock, callsPerSecond: number) {
		this.#clock = clock;
		this.#callsPerSecond = callsPerSecond;
		this.#tokens = callsPerSecond;
		this.#updatedAt = clock.now();
	}

	/** Takes one call; false when the rate is used up. */
	take(): boolean {
		const now = this.#clock.now();
		const earned = ((now - this.#updatedAt) / second) * this.#callsPerSecond;
		this.#tokens = Math.min(this.#callsPerSecond, this.#tokens + earned);
		this.#updatedAt = now;
		if (this.#tokens < 1) {
			return false;
		}

		this.#tokens -= 1;
		return true;
	}
}
