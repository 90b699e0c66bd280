import {minute, second, type Milliseconds} from '@parsleyvale/shared';

/** Failures in a row after which a server gets one request at a time. */
const failuresToSuspect = 1;
/** Failures in a row after which a server gets no request for a while. */
const failuresToEject = 3;
/** Answers in a row after which an ejected server is trusted again. */
const answersToRecover = 2;
/** Answers in a row after which earlier ejections are forgotten. */
const answersToForget = 100;
const shortestEjection: Milliseconds = second;
const longestEjection: Milliseconds = minute;

/** How a server may be used. */
export type HealthMode = 'healthy' | 'half-open' | 'ejected';

/** What outcomes say of one backend server. */
export class ServerHealth {
	#failures = 0;
	#answers = 0;
	#ejections = 0;
	#ejectedUntil: Milliseconds | undefined;

	/** Whether failures in a row call for ejection. */
	get isFailing(): boolean {
		return this.#failures >= failuresToEject;
	}

	getMode(now: Milliseconds): HealthMode {
		if (this.#ejectedUntil !== undefined) {
			return now < this.#ejectedUntil ? 'ejected' : 'half-open';
		}

		return this.#failures >= failuresToSuspect ? 'half-open' : 'healthy';
	}

	/** Returns whether the server has just recovered from an ejection. */
	onAnswer(): boolean {
		this.#failures = 0;
		this.#answers++;
		if (this.#ejectedUntil === undefined || this.#answers < answersToRecover) {
			return false;
		}

		this.#ejectedUntil = undefined;
		return true;
	}

	onFailure(now: Milliseconds): void {
		this.#answers = 0;
		this.#failures++;
		if (this.#ejectedUntil !== undefined && now >= this.#ejectedUntil) {
			// The request that tried a server again failed.
			this.#failures = Math.max(this.#failures, failuresToEject);
		}
	}

	startEjection(now: Milliseconds): void {
		const length = Math.min(
			longestEjection,
			shortestEjection * 2 ** this.#ejections,
		);
		this.#ejections++;
		this.#answers = 0;
		this.#ejectedUntil = now + length;
	}

	/** Back to one request at a time: the measurement itself is in doubt. */
	cancelEjection(now: Milliseconds): void {
		if (this.#ejectedUntil !== undefined) {
			this.#ejectedUntil = Math.min(this.#ejectedUntil, now);
		}
	}
}
