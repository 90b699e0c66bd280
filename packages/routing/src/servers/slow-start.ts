import {second, type Milliseconds} from '@parsleyvale/shared';

/** Duration of the load ramp of a new or recovered backend server. */
export const rampDuration: Milliseconds = 30 * second;
/** Number of steps in the ramp; few steps keep budget changes rare. */
const rampSteps = 10;

/** Slow start: increases the load of a cold backend server in steps. */
export class SlowStart {
	#coldSince: Milliseconds | undefined;

	/** `coldSince`: `undefined` for a server that is already warm. */
	constructor(coldSince: Milliseconds | undefined) {
		this.#coldSince = coldSince;
	}

	start(now: Milliseconds): void {
		this.#coldSince = now;
	}

	/** Returns the fraction of slots that may be used, up to 1. */
	getWarmFraction(now: Milliseconds): number {
		if (this.#coldSince === undefined) {
			return 1;
		}

		const elapsedFraction = Math.max(0, now - this.#coldSince) / rampDuration;
		const step = Math.floor(elapsedFraction * rampSteps) + 1;
		return Math.min(1, step / rampSteps);
	}
}
