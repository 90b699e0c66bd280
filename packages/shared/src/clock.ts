/** A duration or a clock reading in milliseconds. */
export type Milliseconds = number;

export const second: Milliseconds = 1000;
export const minute: Milliseconds = 60 * second;

/**
 * A monotonic clock. Its origin is arbitrary, so readings of different
 * processes cannot be compared.
 */
export abstract class Clock {
	/** Returns the milliseconds since the clock's origin. */
	abstract now(): Milliseconds;
}

class SystemClock extends Clock {
	now(): Milliseconds {
		return performance.now();
	}
}

/** A clock for tests and benchmarks that advances only on request. */
export class ManualClock extends Clock {
	#now: Milliseconds;

	constructor(start: Milliseconds) {
		super();
		this.#now = start;
	}

	now(): Milliseconds {
		return this.#now;
	}

	/** Advances the clock by `duration`. */
	advance(duration: Milliseconds): void {
		this.#now += duration;
	}
}

/**
 * Creates the monotonic clock of this process.
 *
 * @example
 * const clock = createSystemClock();
 * const started = clock.now();
 */
export function createSystemClock(): Clock {
	return new SystemClock();
}

/**
 * Creates a clock that the caller advances.
 *
 * @example
 * const clock = createManualClock(0);
 * clock.advance(5 * second);
 */
export function createManualClock(start: Milliseconds = 0): ManualClock {
	return new ManualClock(start);
}
