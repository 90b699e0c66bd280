import type {Milliseconds} from '@parsleyvale/shared';

export type RetryBudgetOptions = {
	/** Retries for each arrived request. */
	readonly ratio: number;
	/** Additional retries in each window, over all hosts. */
	readonly allowance: number;
	readonly windowDuration: Milliseconds;
};

/** Fraction of the bound that is used: a sliding window can contain parts of two refill periods. */
const usedFraction = 0.7;

/** A bucket holds at least one retry, even if the host's share of the allowance is smaller. */
const minimumCapacity = 1;

/** Fraction of the allowance that the active hosts share; the other hosts share the rest. */
const activeHostsFraction = 0.75;

/**
 * Computes into how many equal parts the allowance is divided, of which this host
 * has one. A few active hosts of a large fleet carry nearly all requests, and so
 * nearly all that fail.
 */
export function computeRetryParts(
	isActive: boolean,
	activeHosts: number,
	allHosts: number,
): number {
	return isActive
		? activeHosts / activeHostsFraction
		: allHosts / (1 - activeHostsFraction);
}

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
		const maximum = Math.max(
			minimumCapacity,
			this.#computeMaximum(hosts) + earned,
		);
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
		const refill =
			(maximum * (now - bucket.refilledAt)) / this.#options.windowDuration;
		bucket.retries = Math.max(
			bucket.retries,
			Math.min(maximum, bucket.retries + refill),
		);
		bucket.refilledAt = now;
		this.#buckets.set(service, bucket);
		return bucket;
	}
}
