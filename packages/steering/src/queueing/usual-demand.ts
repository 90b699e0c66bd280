import {minute, type Milliseconds} from '@parsleyvale/shared';

/** Time constant of the moving averages: a burst of seconds changes them little. */
const averagingSpan: Milliseconds = minute;
/** Bounds of a customer's weight; without them, one that starts to send would have none. */
const minimumWeight = 0.5;
const maximumWeight = 4;

type Average = {slotTime: Milliseconds; at: Milliseconds};

/** Learns the slot time that each customer's requests usually take, which is its weight when slots are short. */
export class UsualDemand {
	readonly #averages = new Map<string, Average>();
	readonly #total: Average = {slotTime: 0, at: 0};

	/** Adds a request to the averages. */
	observe(customer: string, slotTime: Milliseconds, now: Milliseconds): void {
		const average = this.#averages.get(customer) ?? {slotTime: 0, at: now};
		this.#averages.set(customer, average);
		for (const each of [average, this.#total]) {
			each.slotTime = decay(each, now) + slotTime;
			each.at = now;
		}
	}

	/** Computes the customer's demand relative to the mean of all customers. */
	computeWeight(customer: string, now: Milliseconds): number {
		const average = this.#averages.get(customer);
		const mean = decay(this.#total, now) / this.#averages.size;
		return average === undefined || mean === 0
			? minimumWeight
			: Math.min(
					maximumWeight,
					Math.max(minimumWeight, decay(average, now) / mean),
				);
	}
}

function decay({slotTime, at}: Average, now: Milliseconds): Milliseconds {
	return slotTime * Math.exp((at - now) / averagingSpan);
}
