import {second, type Milliseconds} from '@parsleyvale/shared';

/** Duration of the load ramp of a new or recovered backend server. */
export const rampDuration: Milliseconds = 30 * second;
/** Number of steps in the ramp; few steps keep budget changes rare. */
const rampSteps = 10;

/** Slow start: increases the load of a new or recovered backend server in steps. */
export class SlowStart {
	#rampStartedAt: Milliseconds | undefined;

	/** `rampStartedAt`: `undefined` for a server that takes the full load at once. */
	constructor(rampStartedAt: Milliseconds | undefined) {
		this.#rampStartedAt = rampStartedAt;
	}

	start(now: Milliseconds): void {
		this.#rampStartedAt = now;
	}

	/** Returns the fraction of slots that may be used, up to 1. */
	getRampFraction(now: Milliseconds): number {
		if (this.#rampStartedAt === undefined) {
			return 1;
		}

		const elapsedFraction =
			Math.max(0, now - this.#rampStartedAt) / rampDuration;
		const step = Math.floor(elapsedFraction * rampSteps) + 1;
		return Math.min(1, step / rampSteps);
	}
}
