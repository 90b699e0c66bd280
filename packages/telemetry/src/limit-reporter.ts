import type {Clock, Milliseconds} from '@parsleyvale/shared';
import type {Metrics} from './metrics.js';

/** One line per limit and period, since a crowd reaches a limit many times per second. */
const logInterval: Milliseconds = 10_000;

export type LimitReporterOptions = {
	readonly clock: Clock;
	readonly metrics: Metrics;
	readonly onLog: (
		message: string,
		fields: Readonly<Record<string, string | number>>,
	) => void;
};

type LoggedCount = {
	nextLogAt: Milliseconds;
	unreported: number;
};

/** Counts how often clients reach each limit on what they may take, and logs a bounded number of lines. */
export class LimitReporter {
	readonly #options: LimitReporterOptions;
	readonly #counts = new Map<string, LoggedCount>();

	constructor(options: LimitReporterOptions) {
		this.#options = options;
	}

	/** `limit`: one of a bounded number of names. */
	onReached(limit: string): void {
		const {clock, metrics, onLog} = this.#options;
		metrics.count({
			type: 'count',
			name: 'caller_limits_reached',
			labels: {limit},
			by: 1,
		});
		const now = clock.now();
		const count = this.#counts.get(limit) ?? {nextLogAt: now, unreported: 0};
		this.#counts.set(limit, count);
		count.unreported += 1;
		if (now >= count.nextLogAt) {
			onLog('caller limit reached', {limit, count: count.unreported});
			count.nextLogAt = now + logInterval;
			count.unreported = 0;
		}
	}
}
