import type {Clock, Milliseconds} from '@parsleyvale/shared';
import {z} from 'zod';

/** How the reported load differs from the true one. */
export const loadReportSettingsSchema = z.strictObject({
	/** How old the reported load is. */
	lagMs: z.number().min(0).default(0),
	/** Reported in place of the truth. */
	value: z.int().min(0).optional(),
});

export type LoadReportSettings = z.infer<typeof loadReportSettingsSchema>;

type Sample = {
	readonly at: Milliseconds;
	readonly load: number;
};

/** The load that a backend server tells of: on time, late or untrue. */
export class LoadReport {
	settings: LoadReportSettings = {lagMs: 0};

	readonly #clock: Clock;
	readonly #samples: Sample[] = [];

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	/** Notes the true load. */
	sample(load: number): void {
		this.#samples.push({at: this.#clock.now(), load});
		this.#clear();
	}

	/** The load to report now. */
	get load(): number {
		if (this.settings.value !== undefined) {
			return this.settings.value;
		}

		this.#clear();
		const [oldest] = this.#samples;
		const horizon = this.#clock.now() - this.settings.lagMs;
		return oldest !== undefined && oldest.at <= horizon ? oldest.load : 0;
	}

	/** Drops all samples but the newest before the horizon and those after. */
	#clear(): void {
		const horizon = this.#clock.now() - this.settings.lagMs;
		const next = this.#samples.findIndex(({at}) => at > horizon);
		const kept = next === -1 ? this.#samples.length - 1 : next - 1;
		if (kept > 0) {
			this.#samples.splice(0, kept);
		}
	}
}
