import {second, type Milliseconds} from '@parsleyvale/shared';
import type {Digest} from './digest.js';
import type {Members} from './members.js';
import type {SteeringCustomer} from './model.js';
import type {RateTolerance} from './settings.js';

/** Time constant of the demand average: two intervals between digests to all hosts. */
const demandTimeConstant: Milliseconds = second;
/** Requests per second below which a customer's demand is not reported. */
const minimumReportedDemand = 0.01;
/** Fraction of a rate that is shared by demand; the rest is shared evenly among hosts. */
const demandWeight = 0.9;
/** Fraction of the burst that is reserved for the hosts' shares, as counts from other hosts arrive late. */
const reservedBurstFraction = 0.4;
/** Below this fraction of the burst, counts are reported without waiting for the next digest. */
const urgentReportFraction = 0.7;
/** Reports that may be due, in transit or lost at the same time. */
const maximumReportsInTransit = 3;
/**
 * Reports arrive at least this often, unless some are lost, from any host of a fleet
 * of up to 20 hosts, and from active hosts; the interval grows with the fleet.
 */
const regularReportInterval: Milliseconds = 1.5 * second;
const hostsAtRegularInterval = 20;
/** Fraction of the limit on unreported admissions at which they are reported without waiting for the next digest. */
const unreportedFractionToReport = 0.6;
/** Bounds of the delay after which a caller beyond its rate should return. */
const minimumRetryAfter: Milliseconds = 50;
const maximumRetryAfter: Milliseconds = 3 * second;
/** Fraction by which the delay is extended at random, so that callers do not return at once. */
const retryJitter = 0.5;
/** Tokens that a host's share accumulates: enough for two requests in a row. */
const maximumShareTokens = 2;

type CustomerSummary = Record<string, [demand: number, admitted: number]>;

type RemoteCount = {
	readonly incarnation: string;
	readonly admitted: number;
	readonly reportedAt: Milliseconds;
};

type Bucket = {
	customer: SteeringCustomer;
	/** Tokens of the whole fleet, by the counts received so far. */
	tokens: number;
	/** Tokens accumulated from this host's share of the rate. */
	shareTokens: number;
	refilledAt: Milliseconds;
	/** This host's share of the rate. */
	share: number;
	/** Moving average of requests per second at this host. */
	demand: number;
	demandAt: Milliseconds;
	/** Tokens taken at this host, less refunds. */
	admitted: number;
	/** Value of `admitted` that other hosts were last sent. */
	reported: number;
	/** Tokens taken by each other host, as last reported. */
	readonly remoteCounts: Map<string, RemoteCount>;
};

export type CustomerRatesOptions = {
	readonly members: Members;
	/** Whether buckets start full; after a restart, earlier admissions are not known. */
	readonly isFirstStart: boolean;
	readonly tolerance: RateTolerance;
	/** Uniform numbers from 0 to below 1. */
	readonly random: () => number;
};

/**
 * Enforces customers' rates and bursts over all hosts. Every host maintains a
 * token bucket for the fleet from the admissions that all hosts report. While it
 * holds more than the reserved fraction, a host takes tokens freely; below that,
 * it also needs a token of its own share of the rate, which follows its share of
 * the demand. A host that is not heard from may still admit requests, so an even
 * share of the rate and the burst remains reserved for it.
 */
export class CustomerRates {
	readonly #options: CustomerRatesOptions;
	readonly #buckets = new Map<string, Bucket>();

	constructor(options: CustomerRatesOptions) {
		this.#options = options;
	}

	/** Takes a token; if there is none, returns the delay after which one may be available. */
	tryTake(
		customer: SteeringCustomer,
		now: Milliseconds,
	): Milliseconds | undefined {
		const {ratePerSecond, burst} = customer;
		if (ratePerSecond === 0) {
			return undefined;
		}

		const bucket = this.#refill(customer, now);
		bucket.demand += second / demandTimeConstant;
		const hasUnreservedTokens =
			bucket.tokens > burst * reservedBurstFraction &&
			bucket.admitted - bucket.reported < this.#computeMaximumUnreported(burst);
		if (
			bucket.tokens >= 1 &&
			(hasUnreservedTokens || bucket.shareTokens >= 1)
		) {
			bucket.tokens -= 1;
			bucket.shareTokens = Math.max(0, bucket.shareTokens - 1);
			bucket.admitted += 1;
			return undefined;
		}

		return this.#computeRetryAfter(bucket);
	}

	/** Returns the token of a request that no server ran. */
	refund({name, burst}: SteeringCustomer): void {
		const bucket = this.#buckets.get(name);
		if (bucket !== undefined) {
			bucket.tokens = Math.min(burst, bucket.tokens + 1);
			bucket.admitted -= 1;
		}
	}

	/** Applies the admissions that another host reports. */
	onDigest(digest: Digest, now: Milliseconds): void {
		const {name, incarnation, customers} = digest;
		if (!this.#options.members.isNewest(digest)) {
			return;
		}

		const hosts = this.#options.members.listKnown().length;
		const regularInterval =
			regularReportInterval * Math.max(1, hosts / hostsAtRegularInterval);
		for (const [customer, [, admitted]] of Object.entries(customers ?? {})) {
			const bucket = this.#buckets.get(customer);
			const lastCount = bucket?.remoteCounts.get(name);
			if (bucket === undefined) {
				continue;
			}

			bucket.remoteCounts.set(name, {incarnation, admitted, reportedAt: now});
			if (lastCount !== undefined) {
				const alreadyCounted =
					lastCount.incarnation === incarnation ? lastCount.admitted : 0;
				bucket.tokens -= computeUnpaid(
					admitted - alreadyCounted,
					now - lastCount.reportedAt,
					{ratePerSecond: bucket.customer.ratePerSecond, regularInterval},
				);
			}
		}
	}

	/** Whether admissions at this host must be reported without waiting for the next digest. */
	hasUrgentReport(): boolean {
		const hosts = this.#options.members.listActive(0).length + 1;
		for (const {
			customer,
			tokens,
			admitted,
			reported,
		} of this.#buckets.values()) {
			const reportThreshold = Math.max(
				1,
				(customer.burst * reservedBurstFraction) / hosts,
			);
			const isLow = tokens < customer.burst * urgentReportFraction;
			if (isLow && admitted - reported >= reportThreshold) {
				return true;
			}
		}

		return false;
	}

	/**
	 * Whether this host will soon have admitted as many requests of a customer as it
	 * may before the other hosts know, so that it would refuse the next ones
	 * although the fleet has tokens.
	 */
	isNearUnreportedLimit(): boolean {
		for (const {customer, admitted, reported} of this.#buckets.values()) {
			const limit = this.#computeMaximumUnreported(customer.burst);
			if (admitted - reported >= limit * unreportedFractionToReport) {
				return true;
			}
		}

		return false;
	}

	/** Returns each customer's demand and tokens taken at this host, for the other hosts. */
	summarize(now: Milliseconds): CustomerSummary {
		return this.#summarize(
			now,
			({demand, reported, admitted}) =>
				demand > minimumReportedDemand || reported !== admitted,
		);
	}

	/** Returns the same for the customers whose number has changed since the last report. */
	summarizeChanged(now: Milliseconds): CustomerSummary {
		return this.#summarize(
			now,
			({reported, admitted}) => reported !== admitted,
		);
	}

	/** Records that all active hosts were sent the current counts. */
	markReported(): void {
		for (const bucket of this.#buckets.values()) {
			bucket.reported = bucket.admitted;
		}
	}

	/** Creates the buckets of new customers, so that other hosts' counts can be applied to them. */
	createBuckets(
		customers: readonly SteeringCustomer[],
		now: Milliseconds,
	): void {
		for (const customer of customers) {
			if (customer.ratePerSecond > 0 && !this.#buckets.has(customer.name)) {
				this.#buckets.set(customer.name, this.#createBucket(customer, now));
			}
		}
	}

	/** Computes the delay after which both the fleet and this host's share have a token. */
	#computeRetryAfter({
		customer: {ratePerSecond},
		tokens,
		shareTokens,
		share,
	}: Bucket): Milliseconds {
		// Other hosts take their part of the fleet's tokens meanwhile.
		const computeWait = (deficit: number) =>
			(Math.max(0, deficit) / (ratePerSecond * share)) * second;
		const wait = computeWait(1 - Math.min(tokens, shareTokens));
		const jitter = 1 + retryJitter * this.#options.random();
		return Math.min(
			maximumRetryAfter,
			Math.max(minimumRetryAfter, wait) * jitter,
		);
	}

	#summarize(
		now: Milliseconds,
		isIncluded: (bucket: Bucket) => boolean,
	): CustomerSummary {
		const summary: CustomerSummary = {};
		for (const [name, bucket] of this.#buckets) {
			decayDemand(bucket, now);
			if (isIncluded(bucket)) {
				summary[name] = [roundToTenths(bucket.demand), bucket.admitted];
			}
		}

		return summary;
	}

	/** Tokens that a host may take outside its share before other hosts have received its counts. */
	#computeMaximumUnreported(burst: number): number {
		const {members} = this.#options;
		const hosts = members.listActive(0).length + 1;
		return (
			Math.max(1, (burst * reservedBurstFraction) / hosts) *
			maximumReportsInTransit
		);
	}

	#refill(customer: SteeringCustomer, now: Milliseconds): Bucket {
		const {name, ratePerSecond, burst} = customer;
		const bucket = this.#buckets.get(name) ?? this.#createBucket(customer, now);
		decayDemand(bucket, now);
		const {share, liveFraction} = this.#computeShare(bucket, now);
		const refill = (ratePerSecond * (now - bucket.refilledAt)) / second;
		bucket.customer = customer;
		bucket.tokens = Math.min(
			burst * liveFraction,
			bucket.tokens + refill * liveFraction,
		);
		bucket.shareTokens = Math.min(
			maximumShareTokens,
			bucket.shareTokens + refill * share,
		);
		bucket.refilledAt = now;
		bucket.share = share;
		this.#buckets.set(name, bucket);
		return bucket;
	}

	#createBucket(customer: SteeringCustomer, now: Milliseconds): Bucket {
		return {
			customer,
			tokens: this.#computeInitialTokens(customer),
			shareTokens: 0,
			refilledAt: now,
			share: 1,
			demand: 0,
			demandAt: now,
			admitted: 0,
			reported: 0,
			remoteCounts: new Map(),
		};
	}

	/**
	 * After a restart, a bucket starts with half of the tolerated excess, since the
	 * customer may have used its whole rate and burst before.
	 */
	#computeInitialTokens({ratePerSecond, burst}: SteeringCustomer): number {
		const {isFirstStart, tolerance} = this.#options;
		if (isFirstStart) {
			return burst;
		}

		const {windowDuration, fraction, requests} = tolerance;
		const entitlement = (ratePerSecond * windowDuration) / second + burst;
		return Math.min(burst, (fraction * entitlement + requests) / 2);
	}

	/** Computes this host's share of the rate, and the fraction of the rate for this host and the other live ones. */
	#computeShare(
		{customer, demand}: Bucket,
		now: Milliseconds,
	): {readonly share: number; readonly liveFraction: number} {
		const {members} = this.#options;
		const live = members.listLive(now);
		const shareHolderCount =
			Math.max(live.length, members.listShareHolders(now).length) + 1;
		let sum = demand;
		for (const {digest} of live) {
			sum += digest?.customers?.[customer.name]?.[0] ?? 0;
		}

		const evenShare = 1 / shareHolderCount;
		const liveFraction = (live.length + 1) * evenShare;
		const demandShare = sum > 0 ? (demand / sum) * liveFraction : evenShare;
		return {
			share: demandWeight * demandShare + (1 - demandWeight) * evenShare,
			liveFraction,
		};
	}
}

/**
 * Computes how many of the admissions since another host's last report still
 * reduce the tokens. An idle host gets no regular reports; after a long interval,
 * most of the admissions were paid by the refill of that interval, which a full
 * bucket here has discarded.
 */
function computeUnpaid(
	admissions: number,
	interval: Milliseconds,
	{
		ratePerSecond,
		regularInterval,
	}: {readonly ratePerSecond: number; readonly regularInterval: Milliseconds},
): number {
	const paidByRefill = (ratePerSecond * interval) / second;
	const recent = admissions * Math.min(1, regularInterval / interval);
	return Math.max(recent, admissions - paidByRefill);
}

function decayDemand(bucket: Bucket, now: Milliseconds): void {
	bucket.demand *= Math.exp(-(now - bucket.demandAt) / demandTimeConstant);
	bucket.demandAt = now;
}

function roundToTenths(value: number): number {
	return Math.round(value * 10) / 10;
}
