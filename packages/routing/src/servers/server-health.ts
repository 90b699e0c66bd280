import {minute, second, type Milliseconds} from '@parsleyvale/shared';

/** Consecutive failures after which a server receives one request at a time. */
const failuresToHalfOpen = 1;
/** Consecutive failures after which a server is ejected. */
const failuresToEject = 3;
/** Consecutive successes after which an ejected server has recovered. */
const successesToRecover = 2;
/** Consecutive successes to reset the ejection backoff. Unused: it is never reset. */
const successesToResetBackoff = 100;
const minimumEjectionTime: Milliseconds = second;
const maximumEjectionTime: Milliseconds = minute;

/** Whether a server receives all requests, one at a time, or none. */
export type HealthMode = 'healthy' | 'half-open' | 'ejected';

/** Circuit breaker for a backend server, driven by attempt outcomes. */
export class ServerHealth {
	#failures = 0;
	#successes = 0;
	#ejectionCount = 0;
	#ejectedUntil: Milliseconds | undefined;

	/** Whether consecutive failures reach the ejection threshold. */
	get isFailing(): boolean {
		return this.#failures >= failuresToEject;
	}

	getMode(now: Milliseconds): HealthMode {
		if (this.#ejectedUntil !== undefined) {
			return now < this.#ejectedUntil ? 'ejected' : 'half-open';
		}

		return this.#failures >= failuresToHalfOpen ? 'half-open' : 'healthy';
	}

	/** Returns whether the server has just recovered from an ejection. */
	onSuccess(): boolean {
		this.#failures = 0;
		this.#successes++;
		if (
			this.#ejectedUntil === undefined ||
			this.#successes < successesToRecover
		) {
			return false;
		}

		this.#ejectedUntil = undefined;
		return true;
	}

	onFailure(now: Milliseconds): void {
		this.#successes = 0;
		this.#failures++;
		if (this.#ejectedUntil !== undefined && now >= this.#ejectedUntil) {
			// The probe request after an ejection failed: eject again.
			this.#failures = Math.max(this.#failures, failuresToEject);
		}
	}

	startEjection(now: Milliseconds): void {
		const duration = Math.min(
			maximumEjectionTime,
			minimumEjectionTime * 2 ** this.#ejectionCount,
		);
		this.#ejectionCount++;
		this.#successes = 0;
		this.#ejectedUntil = now + duration;
	}

	/**
	 * Ends the ejection early, as the cause is probably not the server. It receives
	 * one request at a time.
	 */
	cancelEjection(now: Milliseconds): void {
		if (this.#ejectedUntil !== undefined) {
			this.#ejectedUntil = Math.min(this.#ejectedUntil, now);
		}
	}
}
