import {second, type Milliseconds} from '@parsleyvale/shared';

/** A new or recovered backend server takes load along a ramp of this length. */
export const rampTime: Milliseconds = 30 * second;
/** The ramp goes up in steps, so that budgets change seldom. */
const rampSteps = 10;

/** When a backend server began to take load. */
export class SlowStart {
	#coldSince: Milliseconds | undefined;

	/** `coldSince`: undefined for a server that was there all along. */
	constructor(coldSince: Milliseconds | undefined) {
		this.#coldSince = coldSince;
	}

	start(now: Milliseconds): void {
		this.#coldSince = now;
	}

	/** The part of its slots that the server is trusted with, up to 1. */
	getWarmth(now: Milliseconds): number {
		if (this.#coldSince === undefined) {
			return 1;
		}

		const passed = Math.max(0, now - this.#coldSince) / rampTime;
		const step = Math.floor(passed * rampSteps) + 1;
		return Math.min(1, step / rampSteps);
	}
}
