import {second, type Milliseconds} from '@parsleyvale/shared';
import {demandTtl} from './timing.js';

/** Time constant of the moving average. */
const averagingWindow: Milliseconds = 2 * second;

/** Recent demand for one budget on this host. */
export class Demand {
	#perSecond = 0;
	#updatedAt = Number.NEGATIVE_INFINITY;
	#lastRequestedAt = Number.NEGATIVE_INFINITY;
	#lastRequestedAmount = 0;

	add(amount: number, now: Milliseconds): void {
		this.#perSecond =
			this.getPerSecond(now) + (amount * second) / averagingWindow;
		this.#updatedAt = now;
	}

	/**
	 * Returns the exponentially weighted moving average, in amount per second.
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
	 * Returns the last amount requested from other hosts, or 0 if before `since`.
	 */
	getRequestedAmount(since: Milliseconds): number {
		return this.#lastRequestedAt >= since ? this.#lastRequestedAmount : 0;
	}

	get lastRequestedAt(): Milliseconds {
		return this.#lastRequestedAt;
	}

	recordRequest(amount: number, now: Milliseconds): void {
		this.#lastRequestedAt = now;
		this.#lastRequestedAmount = amount;
	}
}
