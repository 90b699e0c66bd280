import {second, type Milliseconds, type Shift} from '@parsleyvale/shared';

/** Minimum number of outcomes for a meaningful comparison. */
const minimumSampleCount = 20;
/** Tolerated difference between the failure rate and the baseline. */
const toleratedFailureRateIncrease = 0.05;
/** Tolerated service time: a multiple of the baseline plus a constant. */
const toleratedSlowdownFactor = 1.5;
const toleratedExtraTime: Milliseconds = 5;
/** Duration of a pause after the target region was found degraded. */
const pauseDuration: Milliseconds = 10 * second;
/** Fraction of the ramp progress that a shift resumes with after a pause. */
const progressFractionAfterPause = 0.5;

/** Service time and failure rate of a region; `undefined` if unknown. */
export type RegionStats = {
	readonly serviceTime: Milliseconds | undefined;
	readonly failureRate: number | undefined;
};

export type PaceChange = 'paused' | 'resumed';

/**
 * Controls how much traffic a shift moves: increases its share along the ramp, and
 * pauses it if the target region is degraded.
 */
export class ShiftPacer {
	readonly shift: Shift;
	/** Fraction of the ramp that is completed. */
	#rampProgress = 0;
	#advancedAt: Milliseconds;
	#pausedUntil: Milliseconds | undefined;
	#baseline: RegionStats;
	#sampleCount = 0;
	#failureCount = 0;
	#serviceTimeCount = 0;
	#serviceTimeSum = 0;

	constructor(options: {
		readonly shift: Shift;
		/** Statistics of the target region before the shift. */
		readonly baseline: RegionStats;
		/** Share that the previous version of the shift had reached. */
		readonly initialShare: number;
		readonly now: Milliseconds;
	}) {
		this.shift = options.shift;
		this.#baseline = options.baseline;
		this.#advancedAt = options.now;
		this.#rampProgress =
			this.shift.share === 0
				? 0
				: Math.min(1, options.initialShare / this.shift.share);
	}

	/** Returns the fraction of traffic that the shift currently moves. */
	getShare(now: Milliseconds): number {
		if (this.#pausedUntil !== undefined) {
			return 0;
		}

		this.#advanceRamp(now);
		return this.shift.share * this.#rampProgress;
	}

	/** Records the outcome of an attempt in the target region. */
	onOutcome(isFailure: boolean, serviceTime: Milliseconds | undefined): void {
		this.#sampleCount++;
		this.#failureCount += isFailure ? 1 : 0;
		if (serviceTime !== undefined) {
			this.#serviceTimeCount++;
			this.#serviceTimeSum += serviceTime;
		}
	}

	/**
	 * Pauses or resumes the shift based on recent outcomes; called on each tick.
	 */
	updatePace(now: Milliseconds): PaceChange | undefined {
		if (this.#pausedUntil !== undefined) {
			return this.#updatePause(this.#pausedUntil, now);
		}

		this.#advanceRamp(now);
		if (this.#sampleCount < minimumSampleCount) {
			return undefined;
		}

		const observed = this.#computeStats();
		this.#clearSamples();
		if (!this.#isDegraded(observed)) {
			this.#completeBaseline(observed);
			return undefined;
		}

		this.#rampProgress *= progressFractionAfterPause;
		this.#pausedUntil = now + pauseDuration;
		return 'paused';
	}

	#updatePause(until: Milliseconds, now: Milliseconds): PaceChange | undefined {
		if (now < until) {
			return undefined;
		}

		this.#pausedUntil = undefined;
		this.#advancedAt = now;
		this.#clearSamples();
		return 'resumed';
	}

	#advanceRamp(now: Milliseconds): void {
		const elapsed = now - this.#advancedAt;
		this.#advancedAt = now;
		this.#rampProgress =
			this.shift.rampMs === 0
				? 1
				: Math.min(1, this.#rampProgress + elapsed / this.shift.rampMs);
	}

	#isDegraded(observed: RegionStats): boolean {
		const maximumFailureRate =
			(this.#baseline.failureRate ?? 0) + toleratedFailureRateIncrease;
		if ((observed.failureRate ?? 0) > maximumFailureRate) {
			return true;
		}

		const baselineServiceTime = this.#baseline.serviceTime;
		return (
			baselineServiceTime !== undefined &&
			observed.serviceTime !== undefined &&
			observed.serviceTime >
				baselineServiceTime * toleratedSlowdownFactor + toleratedExtraTime
		);
	}

	#completeBaseline(observed: RegionStats): void {
		this.#baseline = {
			serviceTime: this.#baseline.serviceTime ?? observed.serviceTime,
			failureRate: this.#baseline.failureRate ?? observed.failureRate,
		};
	}

	#computeStats(): RegionStats {
		return {
			serviceTime:
				this.#serviceTimeCount === 0
					? undefined
					: this.#serviceTimeSum / this.#serviceTimeCount,
			failureRate: this.#failureCount / this.#sampleCount,
		};
	}

	#clearSamples(): void {
		this.#sampleCount = 0;
		this.#failureCount = 0;
		this.#serviceTimeCount = 0;
		this.#serviceTimeSum = 0;
	}
}
