import {second, type Milliseconds} from '@parsleyvale/shared';
import type {Digest} from './digest.js';
import type {Members} from './members.js';
import type {SteeringCustomer} from './model.js';
import type {RateTolerance} from './settings.js';

/** Time over which a host's demand is averaged: two digests to all hosts. */
const demandSpan: Milliseconds = second;
/** Requests a second below which others need not hear of a customer here. */
const leastDemand = 0.01;
/** Part of a rate that is dealt out by demand; the rest goes evenly to all hosts. */
const partByDemand = 0.9;
/**
 * Part of the burst that is dealt out by shares, not taken freely: it covers
 * what hosts admit before they hear of each other.
 */
const sharedPart = 0.4;
/** Above this part of the burst, counts are told with the regular digests. */
const quietPart = 0.7;
/** Reports that may be due, on their way or lost. */
const reportsOnTheWay = 3;
/** Tokens that a host's share gathers, so that a pair of requests fits. */
const mostOfShare = 2;

type Count = {readonly incarnation: string; readonly admitted: number};

type Bucket = {
	customer: SteeringCustomer;
	/** Tokens of the whole fleet, as far as this host has heard. */
	tokens: number;
	/** What this host's share has gathered. */
	ofShare: number;
	refilledAt: Milliseconds;
	/** Requests a second that ask for tokens here. */
	demand: number;
	demandAt: Milliseconds;
	/** Tokens taken here in all, and those that the others have been told of. */
	admitted: number;
	reported: number;
	/** What others have said that they took. */
	readonly others: Map<string, Count>;
};

export type CustomerRatesOptions = {
	readonly members: Members;
	/** Whether buckets begin full; a restarted host does not know what was admitted before. */
	readonly isFirstStart: boolean;
	readonly tolerance: RateTolerance;
};

/**
 * Customers' rates and bursts, counted over all hosts. Every host keeps the
 * fleet's bucket from what all say that they admitted. While it is well filled,
 * a host takes from it freely; below that, it also needs a token of its share
 * of the rate, which follows its part of the demand. Hosts that are silent may
 * go on alone: an even part of the rate and the burst is left to each of them.
 */
export class CustomerRates {
	readonly #options: CustomerRatesOptions;
	readonly #buckets = new Map<string, Bucket>();

	constructor(options: CustomerRatesOptions) {
		this.#options = options;
	}

	/** Takes a token; the time until there may be one when there is none. */
	take(
		customer: SteeringCustomer,
		now: Milliseconds,
	): Milliseconds | undefined {
		const {ratePerSecond, burst} = customer;
		if (ratePerSecond === 0) {
			return undefined;
		}

		const bucket = this.#refill(customer, now);
		bucket.demand += second / demandSpan;
		const isFree =
			bucket.tokens > burst * sharedPart &&
			bucket.admitted - bucket.reported < this.#computeMostUnreported(burst);
		if (bucket.tokens >= 1 && (isFree || bucket.ofShare >= 1)) {
			bucket.tokens -= 1;
			bucket.ofShare = Math.max(0, bucket.ofShare - 1);
			bucket.admitted += 1;
			return undefined;
		}

		const missing = Math.max(1 - bucket.tokens, 1 - bucket.ofShare);
		return (missing / ratePerSecond) * second;
	}

	/** Gives a token back for a request that no server ran. */
	giveBack({name, burst}: SteeringCustomer): void {
		const bucket = this.#buckets.get(name);
		if (bucket !== undefined) {
			bucket.tokens = Math.min(burst, bucket.tokens + 1);
			bucket.admitted -= 1;
		}
	}

	/** Takes what another host says that it admitted. */
	onDigest(digest: Digest): void {
		const {name, incarnation, customers} = digest;
		if (!this.#options.members.isNewest(digest)) {
			return;
		}

		for (const [customer, [, admitted]] of Object.entries(customers ?? {})) {
			const bucket = this.#buckets.get(customer);
			const known = bucket?.others.get(name);
			if (bucket === undefined) {
				continue;
			}

			bucket.others.set(name, {incarnation, admitted});
			if (known !== undefined) {
				const since = known.incarnation === incarnation ? known.admitted : 0;
				bucket.tokens -= admitted - since;
			}
		}
	}

	/** Whether others should hear at once of what was admitted here. */
	hasUnreported(): boolean {
		const hosts = this.#options.members.listActive(0).length + 1;
		for (const {
			customer,
			tokens,
			admitted,
			reported,
		} of this.#buckets.values()) {
			const unreported = Math.max(1, (customer.burst * sharedPart) / hosts);
			const isLow = tokens < customer.burst * quietPart;
			if (isLow && admitted - reported >= unreported) {
				return true;
			}
		}

		return false;
	}

	/** Demand here and tokens taken here of each customer, for the other hosts. */
	describe(now: Milliseconds): Record<string, [number, number]> {
		const described: Record<string, [number, number]> = {};
		for (const [name, bucket] of this.#buckets) {
			fadeDemand(bucket, now);
			if (bucket.demand > leastDemand || bucket.reported !== bucket.admitted) {
				described[name] = [toTenths(bucket.demand), bucket.admitted];
			}
		}

		return described;
	}

	/** All hosts that count have been told of what was admitted here. */
	markReported(): void {
		for (const bucket of this.#buckets.values()) {
			bucket.reported = bucket.admitted;
		}
	}

	/** Begins buckets of customers that are new, so that others' counts find them. */
	define(customers: readonly SteeringCustomer[], now: Milliseconds): void {
		for (const customer of customers) {
			if (customer.ratePerSecond > 0) {
				this.#refill(customer, now);
			}
		}
	}

	/** What a host may take of the shared part before others have heard of it. */
	#computeMostUnreported(burst: number): number {
		const {members} = this.#options;
		const hosts = members.listActive(0).length + 1;
		return Math.max(1, (burst * sharedPart) / hosts) * reportsOnTheWay;
	}

	#refill(customer: SteeringCustomer, now: Milliseconds): Bucket {
		const {name, ratePerSecond, burst} = customer;
		const bucket = this.#getBucket(customer, now);
		fadeDemand(bucket, now);
		const {share, heardPart} = this.#computeShare(bucket, now);
		const refill = (ratePerSecond * (now - bucket.refilledAt)) / second;
		bucket.customer = customer;
		bucket.tokens = Math.min(
			burst * heardPart,
			bucket.tokens + refill * heardPart,
		);
		bucket.ofShare = Math.min(mostOfShare, bucket.ofShare + refill * share);
		bucket.refilledAt = now;
		this.#buckets.set(name, bucket);
		return bucket;
	}

	#getBucket(customer: SteeringCustomer, now: Milliseconds): Bucket {
		return (
			this.#buckets.get(customer.name) ?? {
				customer,
				tokens: this.#computeFirstTokens(customer),
				ofShare: 0,
				refilledAt: now,
				demand: 0,
				demandAt: now,
				admitted: 0,
				reported: 0,
				others: new Map(),
			}
		);
	}

	/**
	 * After a restart, half of what may go beyond the limit: before, the
	 * customer may have had all that it is owed.
	 */
	#computeFirstTokens({ratePerSecond, burst}: SteeringCustomer): number {
		const {isFirstStart, tolerance} = this.#options;
		if (isFirstStart) {
			return burst;
		}

		const {window, part, requests} = tolerance;
		const owed = (ratePerSecond * window) / second + burst;
		return Math.min(burst, (part * owed + requests) / 2);
	}

	/** This host's part of the rate, and that of all hosts which hear each other. */
	#computeShare(
		{customer, demand}: Bucket,
		now: Milliseconds,
	): {readonly share: number; readonly heardPart: number} {
		const {members} = this.#options;
		const live = members.listLive(now);
		const holders = Math.max(live.length, members.listHolders(now).length) + 1;
		let sum = demand;
		for (const {digest} of live) {
			sum += digest?.customers?.[customer.name]?.[0] ?? 0;
		}

		const even = 1 / holders;
		const heardPart = (live.length + 1) * even;
		const byDemand = sum > 0 ? (demand / sum) * heardPart : even;
		return {
			share: partByDemand * byDemand + (1 - partByDemand) * even,
			heardPart,
		};
	}
}

function fadeDemand(bucket: Bucket, now: Milliseconds): void {
	bucket.demand *= Math.exp(-(now - bucket.demandAt) / demandSpan);
	bucket.demandAt = now;
}

function toTenths(value: number): number {
	return Math.round(value * 10) / 10;
}
