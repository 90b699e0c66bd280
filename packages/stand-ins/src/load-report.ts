import type {Clock, Milliseconds} from '@parsleyvale/shared';
import * as z from 'zod';

/** How the reported load differs from the actual one. */
export const loadReportSettingsSchema = z.strictObject({
	/** Age of the load that is reported. */
	lagMs: z.number().min(0).default(0),
	/** A fixed value to report in place of the actual load. */
	value: z.int().min(0).optional(),
});

export type LoadReportSettings = z.infer<typeof loadReportSettingsSchema>;

type Sample = {
	readonly sampledAt: Milliseconds;
	readonly load: number;
};

/** The load that a backend server reports, which may be delayed or overridden. */
export class LoadReport {
	settings: LoadReportSettings = {lagMs: 0};

	readonly #clock: Clock;
	readonly #samples: Sample[] = [];

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	/** Records the actual load. */
	addSample(load: number): void {
		this.#samples.push({sampledAt: this.#clock.now(), load});
		this.#dropOldSamples();
	}

	/** The load to report now. */
	get load(): number {
		if (this.settings.value !== undefined) {
			return this.settings.value;
		}

		this.#dropOldSamples();
		const [oldest] = this.#samples;
		const horizon = this.#clock.now() - this.settings.lagMs;
		return oldest !== undefined && oldest.sampledAt <= horizon
			? oldest.load
			: 0;
	}

	/** Keeps the latest sample up to the horizon and all later ones. */
	#dropOldSamples(): void {
		const horizon = this.#clock.now() - this.settings.lagMs;
		const firstAfterHorizon = this.#samples.findIndex(
			({sampledAt}) => sampledAt > horizon,
		);
		const firstKept =
			firstAfterHorizon === -1
				? this.#samples.length - 1
				: firstAfterHorizon - 1;
		if (firstKept > 0) {
			this.#samples.splice(0, firstKept);
		}
	}
}
