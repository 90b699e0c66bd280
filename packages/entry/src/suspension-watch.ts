import type {Clock, Milliseconds} from '@parsleyvale/shared';

/** A difference between the clocks that no correction of the time of day explains. */
const smallestGap: Milliseconds = 300;

/**
 * Notices that the process stood still: the time of day went on while the
 * steady clock did not. A step of the time of day looks the same, and costs
 * one question to the store.
 */
export class SuspensionWatch {
	readonly #clock: Clock;
	readonly #timeOfDay: () => Milliseconds;
	#offset: Milliseconds;

	constructor(clock: Clock, timeOfDay: () => Milliseconds = Date.now) {
		this.#clock = clock;
		this.#timeOfDay = timeOfDay;
		this.#offset = this.#measure();
	}

	/** Whether the clocks have moved apart since the last question. */
	hasJumped(): boolean {
		const offset = this.#measure();
		const gap = Math.abs(offset - this.#offset);
		this.#offset = offset;
		return gap > smallestGap;
	}

	#measure(): Milliseconds {
		return this.#timeOfDay() - this.#clock.now();
	}
}
