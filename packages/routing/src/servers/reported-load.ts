import type {Milliseconds} from '@parsleyvale/shared';

/** A report loses half of its weight in this time. */
const halfLife: Milliseconds = 100;

/**
 * What a backend server says of its load, as far as it is believed: it adds to
 * what this host knows, fades, and never counts for more than the slots.
 */
export class ReportedLoad {
	#others = 0;
	#at: Milliseconds = 0;

	/** `own`: what this host itself had in flight there, the answer included. */
	onReport(
		reported: number,
		own: number,
		slots: number,
		now: Milliseconds,
	): void {
		if (!Number.isFinite(reported)) {
			return;
		}

		this.#others = Math.min(slots, Math.max(0, reported - own));
		this.#at = now;
	}

	/** Requests of other hosts believed to be in flight there. */
	getOthers(now: Milliseconds): number {
		return this.#others * 0.5 ** ((now - this.#at) / halfLife);
	}
}
