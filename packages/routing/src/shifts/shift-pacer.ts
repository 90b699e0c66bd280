import {second, type Milliseconds, type Shift} from '@parsleyvale/shared';

/** Fewer outcomes than this say nothing. */
const samplesToJudge = 20;
/** Part of the requests that may fail beyond the baseline. */
const toleratedFailures = 0.05;
const toleratedSlowdown = 1.5;
const toleratedDelay: Milliseconds = 5;
const pauseTime: Milliseconds = 10 * second;
/** Progress of the ramp that is kept after a pause. */
const keptProgress = 0.5;

/** Service time and failures of a region, as far as they are known. */
export type Condition = {
	readonly serviceTime: Milliseconds | undefined;
	readonly failureRate: number | undefined;
};

export type PaceChange = 'paused' | 'resumed';

/** Paces one shift: along its ramp, and not at all while the target suffers. */
export class ShiftPacer {
	readonly shift: Shift;
	#progress = 0;
	#advancedAt: Milliseconds;
	#pausedUntil: Milliseconds | undefined;
	#baseline: Condition;
	#samples = 0;
	#failures = 0;
	#answers = 0;
	#serviceTimes = 0;

	constructor(options: {
		readonly shift: Shift;
		/** The condition of the target before the shift. */
		readonly baseline: Condition;
		/** Share that an earlier form of the shift had reached. */
		readonly startShare: number;
		readonly now: Milliseconds;
	}) {
		this.shift = options.shift;
		this.#baseline = options.baseline;
		this.#advancedAt = options.now;
		this.#progress =
			this.shift.share === 0
				? 0
				: Math.min(1, options.startShare / this.shift.share);
	}

	/** Part of the traffic that the shift moves now. */
	getShare(now: Milliseconds): number {
		if (this.#pausedUntil !== undefined) {
			return 0;
		}

		this.#advanceRamp(now);
		return this.shift.share * this.#progress;
	}

	/** An attempt at the target ended. */
	onOutcome(isFailure: boolean, serviceTime: Milliseconds | undefined): void {
		this.#samples++;
		this.#failures += isFailure ? 1 : 0;
		if (serviceTime !== undefined) {
			this.#answers++;
			this.#serviceTimes += serviceTime;
		}
	}

	/** Pauses or resumes by what the target has shown; asked on ticks. */
	updatePace(now: Milliseconds): PaceChange | undefined {
		if (this.#pausedUntil !== undefined) {
			return this.#updatePause(this.#pausedUntil, now);
		}

		this.#advanceRamp(now);
		if (this.#samples < samplesToJudge) {
			return undefined;
		}

		const seen = this.#toCondition();
		this.#clearSamples();
		if (!this.#isSuffering(seen)) {
			this.#completeBaseline(seen);
			return undefined;
		}

		this.#progress *= keptProgress;
		this.#pausedUntil = now + pauseTime;
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
		const passed = now - this.#advancedAt;
		this.#advancedAt = now;
		this.#progress =
			this.shift.rampMs === 0
				? 1
				: Math.min(1, this.#progress + passed / this.shift.rampMs);
	}

	#isSuffering(seen: Condition): boolean {
		const tolerated = (this.#baseline.failureRate ?? 0) + toleratedFailures;
		if ((seen.failureRate ?? 0) > tolerated) {
			return true;
		}

		const usual = this.#baseline.serviceTime;
		return (
			usual !== undefined &&
			seen.serviceTime !== undefined &&
			seen.serviceTime > usual * toleratedSlowdown + toleratedDelay
		);
	}

	#completeBaseline(seen: Condition): void {
		this.#baseline = {
			serviceTime: this.#baseline.serviceTime ?? seen.serviceTime,
			failureRate: this.#baseline.failureRate ?? seen.failureRate,
		};
	}

	#toCondition(): Condition {
		return {
			serviceTime:
				this.#answers === 0 ? undefined : this.#serviceTimes / this.#answers,
			failureRate: this.#failures / this.#samples,
		};
	}

	#clearSamples(): void {
		this.#samples = 0;
		this.#failures = 0;
		this.#answers = 0;
		this.#serviceTimes = 0;
	}
}
