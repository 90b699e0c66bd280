import {second, type Milliseconds} from '@parsleyvale/shared';

/** Time over which a host's requests are averaged: a few digests. */
const activitySpan: Milliseconds = 3 * second;

/** How many requests callers send to a host. */
export class Activity {
	#requests = 0;
	#countedAt: Milliseconds = 0;

	onRequest(now: Milliseconds): void {
		this.#requests = this.#fade(now) + 1;
		this.#countedAt = now;
	}

	computePerSecond(now: Milliseconds): number {
		return (this.#fade(now) * second) / activitySpan;
	}

	#fade(now: Milliseconds): number {
		return this.#requests * Math.exp((this.#countedAt - now) / activitySpan);
	}
}
