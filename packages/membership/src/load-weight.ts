import {second, type Milliseconds} from '@parsleyvale/shared';

const smallestWeight = 1 / 8;
const largestWeight = 4;
const adjustmentInterval: Milliseconds = second;

/** Part of the distance to the mean load that one adjustment makes up. */
const gain = 0.2;

/** Below this many requests a second, differences of load are noise. */
const leastLoad = 5;

/** Steps in which a weight is told, so that answers stay the same meanwhile. */
const steps = 8;

/**
 * How large a part of the look-ups this host asks for: less when it carries
 * more than the mean of its region. The host tells it to all, so that all give
 * the same answers.
 *
 * @internal
 */
export class LoadWeight {
	#requests = 0;
	#load = 0;
	#weight = 1;
	#adjustedAt: Milliseconds | undefined;

	/** Requests a second. */
	get load(): number {
		return this.#load;
	}

	get weight(): number {
		return Math.max(smallestWeight, Math.round(this.#weight * steps) / steps);
	}

	onRequest(): void {
		this.#requests++;
	}

	onTick(getMeanOfOthers: () => number | undefined, now: Milliseconds): void {
		this.#adjustedAt ??= now;
		const span = now - this.#adjustedAt;
		if (span < adjustmentInterval) {
			return;
		}

		this.#load = (this.#load + (this.#requests * second) / span) / 2;
		this.#requests = 0;
		this.#adjustedAt = now;
		const meanOfOthers = getMeanOfOthers();
		if (meanOfOthers !== undefined) {
			this.#updateWeight(meanOfOthers);
		}
	}

	#updateWeight(meanOfOthers: number): void {
		const ratio = (meanOfOthers + leastLoad) / (this.#load + leastLoad);
		const weight = this.#weight * ratio ** gain;
		this.#weight = Math.min(largestWeight, Math.max(smallestWeight, weight));
	}
}
