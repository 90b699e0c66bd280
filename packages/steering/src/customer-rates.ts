import {second, type Milliseconds} from '@parsleyvale/shared';
import type {Members} from './members.js';
import type {SteeringCustomer} from './model.js';

/** Time over which a host's demand is averaged: two digests to all hosts. */
const demandSpan: Milliseconds = second;
/** Requests a second below which others need not hear of a customer here. */
const leastDemand = 0.01;
/** Part of a rate that is dealt out by demand; the rest goes evenly to all hosts. */
const partByDemand = 0.9;
/** Part of the burst that is never overdrawn: what all hosts admit before they hear of each other stays near the burst. */
const keptPart = 0.4;

type Bucket = {
	customer: SteeringCustomer;
	tokens: number;
	refilledAt: Milliseconds;
	/** Requests a second that ask for tokens here. */
	demand: number;
	demandAt: Milliseconds;
};

export type CustomerRatesOptions = {
	readonly members: Members;
	/** Whether buckets begin full; those of a restarted host begin empty. */
	readonly isFirstStart: boolean;
};

/**
 * Customers' rates and bursts, counted over all hosts. Each host has a share
 * by its part of the demand and fills a bucket of its own from it. A bucket may
 * go below zero while the others' buckets hold tokens, by no more than this
 * host's share of them, so that a small share does not refuse a burst that fits.
 */
export class CustomerRates {
	readonly #options: CustomerRatesOptions;
	readonly #buckets = new Map<string, Bucket>();

	constructor(options: CustomerRatesOptions) {
		this.#options = options;
	}

	/** Takes a token; the time until there is one again when there is none. */
	take(
		customer: SteeringCustomer,
		now: Milliseconds,
	): Milliseconds | undefined {
		if (customer.ratePerSecond === 0) {
			return undefined;
		}

		const share = this.#computeShare(customer, now);
		const bucket = this.#refill(customer, share, now);
		bucket.demand += second / demandSpan;
		if (
			bucket.tokens >=
			1 - this.#computeOverdraft(customer, {bucket, share}, now)
		) {
			bucket.tokens -= 1;
			return undefined;
		}

		const missing = 1 - bucket.tokens;
		return (missing / (customer.ratePerSecond * share)) * second;
	}

	/** Gives a token back for a request that was sent to no server. */
	giveBack(customer: SteeringCustomer): void {
		const bucket = this.#buckets.get(customer.name);
		if (bucket !== undefined) {
			bucket.tokens = Math.min(customer.burst, bucket.tokens + 1);
		}
	}

	/** Demand and tokens of each customer, for the other hosts. */
	describe(now: Milliseconds): Record<string, [number, number]> {
		const described: Record<string, [number, number]> = {};
		for (const [name, bucket] of this.#buckets) {
			const share = this.#computeShare(bucket.customer, now);
			this.#refill(bucket.customer, share, now);
			if (bucket.demand > leastDemand) {
				described[name] = [toTenths(bucket.demand), toTenths(bucket.tokens)];
			}
		}

		return described;
	}

	#refill(
		customer: SteeringCustomer,
		share: number,
		now: Milliseconds,
	): Bucket {
		const {name, ratePerSecond, burst} = customer;
		const capacity = burst * share;
		let bucket = this.#buckets.get(name);
		if (bucket === undefined) {
			const tokens = this.#options.isFirstStart ? capacity : 0;
			bucket = {customer, tokens, refilledAt: now, demand: 0, demandAt: now};
			this.#buckets.set(name, bucket);
		}

		bucket.customer = customer;
		fadeDemand(bucket, now);
		const refill = (ratePerSecond * share * (now - bucket.refilledAt)) / second;
		bucket.tokens = Math.min(Math.max(1, capacity), bucket.tokens + refill);
		bucket.refilledAt = now;
		return bucket;
	}

	#computeShare({name}: SteeringCustomer, now: Milliseconds): number {
		const holders = this.#options.members.listHolders(now);
		const own = this.#buckets.get(name)?.demand ?? 0;
		let sum = own;
		for (const {digest} of holders) {
			sum += digest?.customers?.[name]?.[0] ?? 0;
		}

		const even = 1 / (holders.length + 1);
		const byDemand = sum > 0 ? own / sum : even;
		return partByDemand * byDemand + (1 - partByDemand) * even;
	}

	#computeOverdraft(
		{name, burst}: SteeringCustomer,
		{bucket, share}: {readonly bucket: Bucket; readonly share: number},
		now: Milliseconds,
	): number {
		const live = this.#options.members.listLive(now);
		let held = Math.max(0, bucket.tokens);
		for (const {digest} of live) {
			held += digest?.customers?.[name]?.[1] ?? 0;
		}

		const spare = Math.max(0, held - burst * keptPart);
		return spare * share;
	}
}

function fadeDemand(bucket: Bucket, now: Milliseconds): void {
	bucket.demand *= Math.exp(-(now - bucket.demandAt) / demandSpan);
	bucket.demandAt = now;
}

function toTenths(value: number): number {
	return Math.round(value * 10) / 10;
}
