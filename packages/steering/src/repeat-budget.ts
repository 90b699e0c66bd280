import type {Milliseconds} from '@parsleyvale/shared';

export type RetryBudgetOptions = {
	/** Retries for each arrived request. */
	readonly ratio: number;
	/** Additional retries in each window, over all hosts. */
	readonly allowance: number;
	readonly window: Milliseconds;
};

/** Fraction of the bound that is used; the rest covers windows that span refills unfavourably. */
const usedFraction = 0.7;

/** In a large fleet a host's share of the allowance is below one retry: earned retries still accumulate up to one. */
const oneRetry = 1;

type RetryBucket = {retries: number; refilledAt: Milliseconds};

/** Limits the retries of each service. */
export class RetryBudget {
	readonly #options: RetryBudgetOptions;
	readonly #buckets = new Map<string, RetryBucket>();

	constructor(options: RetryBudgetOptions) {
		this.#options = options;
	}

	/** Adds the retries that an arrived request earns. */
	onRequest(service: string, hosts: number, now: Milliseconds): void {
		const bucket = this.#refill(service, hosts, now);
		const earned = this.#options.ratio * usedFraction;
		const maximum = Math.max(oneRetry, this.#computeMaximum(hosts) + earned);
		bucket.retries = Math.min(maximum, bucket.retries + earned);
	}

	/** Takes one retry; returns false if none is left. */
	take(service: string, hosts: number, now: Milliseconds): boolean {
		const bucket = this.#refill(service, hosts, now);
		if (bucket.retries < 1) {
			return false;
		}

		bucket.retries -= 1;
		return true;
	}

	/** Returns a retry that was not sent. */
	refund(service: string): void {
		const bucket = this.#buckets.get(service);
		if (bucket !== undefined) {
			bucket.retries += 1;
		}
	}

	/** Capacity of a host's bucket: half of its share, so that a full bucket and a window's refill stay below the allowance. */
	#computeMaximum(hosts: number): number {
		return (this.#options.allowance * usedFraction) / 2 / hosts;
	}

	#refill(service: string, hosts: number, now: Milliseconds): RetryBucket {
		const maximum = this.#computeMaximum(hosts);
		const bucket = this.#buckets.get(service) ?? {
			retries: maximum,
			refilledAt: now,
		};
		const refill = (maximum * (now - bucket.refilledAt)) / this.#options.window;
		bucket.retries = Math.max(
			bucket.retries,
			Math.min(maximum, bucket.retries + refill),
		);
		bucket.refilledAt = now;
		this.#buckets.set(service, bucket);
		return bucket;
	}
}
