import type {Milliseconds} from '@parsleyvale/shared';

/** Time after which the weight of a report has halved. */
const halfLife: Milliseconds = 100;

/**
 * Load of other hosts at a backend server, as reported by the server. A report
 * decays exponentially and counts for no more than the server's slots.
 */
export class ReportedLoad {
	#othersInFlight = 0;
	#reportedAt: Milliseconds = 0;

	/**
	 * `ownInFlight`: requests of this host at the server, including the one
	 * answered.
	 */
	onReport(
		reportedInFlight: number,
		ownInFlight: number,
		slots: number,
		now: Milliseconds,
	): void {
		if (!Number.isFinite(reportedInFlight)) {
			return;
		}

		this.#othersInFlight = Math.min(
			slots,
			Math.max(0, reportedInFlight - ownInFlight),
		);
		this.#reportedAt = now;
	}

	/** Returns the estimated number of requests of other hosts in flight. */
	getOthersInFlight(now: Milliseconds): number {
		return this.#othersInFlight * 0.5 ** ((now - this.#reportedAt) / halfLife);
	}
}
