/** A span of time or a reading of a clock, in milliseconds. */
export type Milliseconds = number;

export const second: Milliseconds = 1000;
export const minute: Milliseconds = 60 * second;

/**
 * A clock that never goes backwards. Its zero is arbitrary, so that readings
 * of two processes cannot be compared.
 */
export abstract class Clock {
	/** Milliseconds since the clock's arbitrary zero. */
	abstract now(): Milliseconds;
}

class SystemClock extends Clock {
	now(): Milliseconds {
		return performance.now();
	}
}

/** A clock that moves only when told to, for tests and benches. */
export class ManualClock extends Clock {
	#now: Milliseconds;

	constructor(start: Milliseconds) {
		super();
		this.#now = start;
	}

	now(): Milliseconds {
		return this.#now;
	}

	/** Moves the clock on by `span` milliseconds. */
	advance(span: Milliseconds): void {
		this.#now += span;
	}
}

/**
 * The monotonic clock of this process.
 *
 * @example
 * const clock = createSystemClock();
 * const started = clock.now();
 */
export function createSystemClock(): Clock {
	return new SystemClock();
}

/**
 * A clock under the caller's hand.
 *
 * @example
 * const clock = createManualClock(0);
 * clock.advance(5 * second);
 */
export function createManualClock(start: Milliseconds = 0): ManualClock {
	return new ManualClock(start);
}
