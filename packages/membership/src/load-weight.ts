import {second, type Milliseconds} from '@parsleyvale/shared';

const minimumWeight = 1 / 8;
const maximumWeight = 4;

/** Interval at which the weight is adjusted. */
const adjustmentInterval: Milliseconds = second;

/**
 * Exponent of the ratio of request rates: the fraction of the distance to the
 * mean that one adjustment corrects.
 */
const gain = 0.2;

/**
 * Added to both request rates, in requests per second: differences below this
 * are noise.
 */
const requestRateOffset = 5;

/** Steps per unit of weight; rounding keeps look-up answers stable. */
const weightSteps = 8;

/**
 * The weight of this host in look-up answers. It falls while the host gets more
 * requests than the mean of its region. It is sent to all hosts, so that all give
 * the same answers.
 *
 * @internal
 */
export class LoadWeight {
	#requestCount = 0;
	#requestRate = 0;
	#weight = 1;
	#adjustedAt: Milliseconds | undefined;

	/** Requests per second. */
	get requestRate(): number {
		return this.#requestRate;
	}

	get weight(): number {
		return Math.max(
			minimumWeight,
			Math.round(this.#weight * weightSteps) / weightSteps,
		);
	}

	onRequest(): void {
		this.#requestCount++;
	}

	onTick(
		getMeanRequestRateOfOthers: () => number | undefined,
		now: Milliseconds,
	): void {
		this.#adjustedAt ??= now;
		const span = now - this.#adjustedAt;
		if (span < adjustmentInterval) {
			return;
		}

		this.#requestRate =
			(this.#requestRate + (this.#requestCount * second) / span) / 2;
		this.#requestCount = 0;
		this.#adjustedAt = now;
		const meanOfOthers = getMeanRequestRateOfOthers();
		if (meanOfOthers !== undefined) {
			this.#updateWeight(meanOfOthers);
		}
	}

	#updateWeight(meanRequestRateOfOthers: number): void {
		const ratio =
			(meanRequestRateOfOthers + requestRateOffset) /
			(this.#requestRate + requestRateOffset);
		const weight = this.#weight * ratio ** gain;
		this.#weight = Math.min(maximumWeight, Math.max(minimumWeight, weight));
	}
}
