import {second, type Milliseconds} from '@parsleyvale/shared';
import {demandMemory} from './timing.js';

/** Time over which the mean of the demand is taken. */
const averagingSpan: Milliseconds = 2 * second;

/** What was asked of one budget at this host lately. */
export class Demand {
	#perSecond = 0;
	#updatedAt = Number.NEGATIVE_INFINITY;
	#wantedAt = Number.NEGATIVE_INFINITY;
	#wanted = 0;

	add(amount: number, now: Milliseconds): void {
		this.#perSecond =
			this.getPerSecond(now) + (amount * second) / averagingSpan;
		this.#updatedAt = now;
	}

	/** Amount a second, an exponentially weighted mean. */
	getPerSecond(now: Milliseconds): number {
		const age = now - this.#updatedAt;
		return age > 4 * averagingSpan
			? 0
			: this.#perSecond * Math.exp(-age / averagingSpan);
	}

	isActive(now: Milliseconds): boolean {
		return now - this.#updatedAt < demandMemory;
	}

	/** The amount asked of other hosts since the given time. */
	getWanted(since: Milliseconds): number {
		return this.#wantedAt >= since ? this.#wanted : 0;
	}

	get wantedAt(): Milliseconds {
		return this.#wantedAt;
	}

	setWanted(amount: number, now: Milliseconds): void {
		this.#wantedAt = now;
		this.#wanted = amount;
	}
}
