import type {Milliseconds} from '@parsleyvale/shared';

/** How long a stopping host accepts requests, until look-up answers that name it have expired. */
const maximumAcceptPeriod: Milliseconds = 2500;
/** Fraction of the stop timeout that remains for the requests accepted last. */
const minimumFractionToFinish = 0.5;
/** Open requests end this long before the stop timeout, so that their responses can be sent. */
const responseMargin: Milliseconds = 400;

/**
 * What a stopping host still does, and until when: it accepts requests for a short
 * time, finishes them, and ends all others before the stop timeout.
 */
export class StopSchedule {
	readonly #stopTimeout: Milliseconds;
	#startedAt: Milliseconds | undefined;

	constructor(stopTimeout: Milliseconds) {
		this.#stopTimeout = stopTimeout;
	}

	get isStopping(): boolean {
		return this.#startedAt !== undefined;
	}

	/** When open requests end at the latest; infinite while the host is not stopping. */
	get deadline(): Milliseconds {
		return this.#startedAt === undefined
			? Number.POSITIVE_INFINITY
			: this.#startedAt + this.#stopTimeout - responseMargin;
	}

	/** Starts the stop; a repeated call does not extend it. */
	start(now: Milliseconds): void {
		this.#startedAt ??= now;
	}

	/** Whether a request that has been read completely is accepted now. */
	isAccepting(now: Milliseconds): boolean {
		return (
			this.#startedAt === undefined ||
			now - this.#startedAt <= computeAcceptPeriod(this.#stopTimeout)
		);
	}
}

/**
 * Computes how long a stopping host accepts connections and requests, in milliseconds.
 *
 * @example
 * computeAcceptPeriod(6000); // 2500
 */
export function computeAcceptPeriod(stopTimeout: Milliseconds): Milliseconds {
	return Math.min(maximumAcceptPeriod, stopTimeout * minimumFractionToFinish);
}
