import {second, type Milliseconds} from '@parsleyvale/shared';
import {demandTtl} from './timing.js';

/** Time constant of the moving average. */
const averagingWindow: Milliseconds = 2 * second;

/** Recent demand for one budget on this host, and its last loan request. */
export class Demand {
	#perSecond = 0;
	#updatedAt = Number.NEGATIVE_INFINITY;
	#lastLoanRequestedAt = Number.NEGATIVE_INFINITY;
	#lastLoanRequestAmount = 0;

	add(amount: number, now: Milliseconds): void {
		this.#perSecond =
			this.getPerSecond(now) + (amount * second) / averagingWindow;
		this.#updatedAt = now;
	}

	/**
	 * Returns the demand per second, as an exponentially weighted moving average.
	 */
	getPerSecond(now: Milliseconds): number {
		const age = now - this.#updatedAt;
		return age > 4 * averagingWindow
			? 0
			: this.#perSecond * Math.exp(-age / averagingWindow);
	}

	isActive(now: Milliseconds): boolean {
		return now - this.#updatedAt < demandTtl;
	}

	/**
	 * Returns the amount of the last loan request, or 0 if it was before `since`.
	 */
	getRecentLoanRequestAmount(since: Milliseconds): number {
		return this.#lastLoanRequestedAt >= since ? this.#lastLoanRequestAmount : 0;
	}

	get lastLoanRequestedAt(): Milliseconds {
		return this.#lastLoanRequestedAt;
	}

	recordLoanRequest(amount: number, now: Milliseconds): void {
		this.#lastLoanRequestedAt = now;
		this.#lastLoanRequestAmount = amount;
	}
}
