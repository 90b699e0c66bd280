import type {Clock, Milliseconds} from '@parsleyvale/shared';

/** Exceeds what gradual corrections of the wall clock can cause. */
const minimumGap: Milliseconds = 300;

/**
 * Detects that the process was suspended: the wall clock advanced while the
 * monotonic clock did not. A step of the wall clock is indistinguishable from
 * this and costs one extra read of the store.
 */
export class SuspensionDetector {
	readonly #clock: Clock;
	readonly #getWallTime: () => Milliseconds;
	#offset: Milliseconds;

	constructor(clock: Clock, getWallTime: () => Milliseconds = Date.now) {
		this.#clock = clock;
		this.#getWallTime = getWallTime;
		this.#offset = this.#measureOffset();
	}

	/** Whether the clocks have diverged since the last call. */
	wasSuspended(): boolean {
		const offset = this.#measureOffset();
		const gap = Math.abs(offset - this.#offset);
		this.#offset = offset;
		return gap > minimumGap;
	}

	#measureOffset(): Milliseconds {
		return this.#getWallTime() - this.#clock.now();
	}
}
