import {second, type Milliseconds} from '@parsleyvale/shared';

/** Time constant of the moving average: several digest intervals. */
const averagingSpan: Milliseconds = 3 * second;

/** Moving average of the requests that callers send to a host. */
export class RequestRate {
	#requests = 0;
	#countedAt: Milliseconds = 0;

	onRequest(now: Milliseconds): void {
		this.#requests = this.#decay(now) + 1;
		this.#countedAt = now;
	}

	computePerSecond(now: Milliseconds): number {
		return (this.#decay(now) * second) / averagingSpan;
	}

	#decay(now: Milliseconds): number {
		return this.#requests * Math.exp((this.#countedAt - now) / averagingSpan);
	}
}
